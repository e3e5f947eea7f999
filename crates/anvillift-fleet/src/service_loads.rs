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
    pub fn add(&mut self, service: &Name, in_flight: InFlight) {
        if in_flight.requests > 0 {
            *self.by_service.entry(service.clone()).or_default() += in_flight;
        }
    }

    /// The sums as they are reported to other hosts.
    pub fn to_report(self) -> Vec<FleetServiceLoad> {
        let to_load = |(service, in_flight): (Name, InFlight)| FleetServiceLoad {
            service,
            requests: in_flight.requests,
            unread_tokens: in_flight.unprocessed_tokens,
        };
        self.by_service.into_iter().map(to_load).collect()
    }
}
