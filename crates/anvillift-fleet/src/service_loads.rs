//! The work under way for each service.

use std::collections::BTreeMap;

use anvillift_schema::fleet::FleetServiceLoad;
use anvillift_schema::name::Name;

use crate::in_flight::InFlight;

/// Sums of work by service.
#[derive(Clone, Debug, Default)]
pub struct ServiceLoads {
    by_service: BTreeMap<Name, InFlight>,
}

impl ServiceLoads {
    /// Adds work for a service; a service without work isn't told of.
    pub fn add(&mut self, service: &Name, work: InFlight) {
        if work.requests > 0 {
            *self.by_service.entry(service.clone()).or_default() += work;
        }
    }

    /// The sums as they are told to other hosts.
    pub fn told(self) -> Vec<FleetServiceLoad> {
        let told = |(service, work): (Name, InFlight)| FleetServiceLoad {
            service,
            requests: work.requests,
            unread_tokens: work.unread_tokens,
        };
        self.by_service.into_iter().map(told).collect()
    }
}
