//! Sums of the requests in flight by service.

use std::collections::BTreeMap;

use anvillift_schema::fleet::FleetServiceLoad;
use anvillift_schema::name::Name;

use crate::in_flight::InFlight;

/// Requests in flight by service.
#[derive(Clone, Debug, Default)]
pub struct ServiceLoads {
    by_service: BTreeMap<Name, InFlight>,
}

impl ServiceLoads {
    /// Adds requests of a service. Without any requests the service is left out of the report.
    pub fn add(&mut self, service: &Name, work: InFlight) {
        if work.requests > 0 {
            *self.by_service.entry(service.clone()).or_default() += work;
        }
    }

    /// The sums as they are reported to other hosts.
    pub fn told(self) -> Vec<FleetServiceLoad> {
        let to_load = |(service, work): (Name, InFlight)| FleetServiceLoad {
            service,
            requests: work.requests,
            unread_tokens: work.unread_tokens,
        };
        self.by_service.into_iter().map(to_load).collect()
    }
}
