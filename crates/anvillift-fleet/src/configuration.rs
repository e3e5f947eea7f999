//! The configuration of a fleet.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;

use crate::configuration_error::{
    ConfigurationError, NoTimeoutSnafu, NoWeightSnafu, SamePlaceSnafu, UnknownServiceSnafu,
};
use crate::route::Route;
use crate::service::Service;

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: u64,
    /// Longest time for a head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time without a request, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 5_000,
            idle_timeout_ms: 30_000,
        }
    }
}

/// A configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfiguration {
    /// Version; the highest is in force.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Limits of callers.
    pub limits: CallerLimits,
}

impl FleetConfiguration {
    /// Checks what holds between the parts.
    pub fn check(&self) -> Result<(), ConfigurationError> {
        let mut places: BTreeMap<(&str, &str), &Name> = BTreeMap::new();
        for route in &self.routes {
            self.check_route(route)?;
            let place = (route.host.as_str(), route.path_prefix.as_str());
            if let Some(first) = places.insert(place, &route.name) {
                return SamePlaceSnafu { first: first.clone(), second: route.name.clone() }.fail();
            }
        }
        Ok(())
    }

    fn check_route(&self, route: &Route) -> Result<(), ConfigurationError> {
        let unknown =
            route.targets.iter().find(|target| !self.services.contains_key(&target.service));
        if let Some(target) = unknown {
            let (route, service) = (route.name.clone(), target.service.clone());
            return UnknownServiceSnafu { route, service }.fail();
        }
        if route.targets.iter().all(|target| target.weight == 0) {
            return NoWeightSnafu { route: route.name.clone() }.fail();
        }
        if route.timeout_ms == 0 {
            return NoTimeoutSnafu { route: route.name.clone() }.fail();
        }
        Ok(())
    }
}
