//! The configuration of a fleet: routes, services and limits of callers.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;
use anvillift_schema::team_keys::TeamKeys;

use crate::configuration_error::{
    ConfigurationError, DuplicateMatchSnafu, InvalidTeamNameSnafu, SharedKeySnafu,
    UnknownServiceSnafu, ZeroTimeoutSnafu, ZeroWeightSnafu,
};
use crate::fleet_team::FleetTeam;
use crate::route::Route;
use crate::service::Service;

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest size of the request line and headers, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Time within which the headers of a request have to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time after which a connection without a request is closed, in milliseconds.
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

/// One version of the configuration; hosts use the highest version that they received.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfiguration {
    /// Version number.
    pub version: u64,
    /// Routes, no two of which match the same host and path prefix.
    pub routes: Vec<Route>,
    /// Services by name; the targets of routes refer to them.
    pub services: BTreeMap<Name, Service>,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
    /// Teams by name; without any, requests need no keys.
    pub teams: BTreeMap<Name, FleetTeam>,
    /// Keys of the teams, no two of which share one.
    pub team_keys: TeamKeys,
}

impl FleetConfiguration {
    /// Longest time between the start of a stream and a request that resumes it, in
    /// milliseconds: neither attempt of its caller outlasts its route's timeout.
    pub fn stream_retention_ms(&self) -> u64 {
        let streams = self.routes.iter().filter(|route| route.kind.is_stream());
        2 * streams.map(|route| route.timeout_ms).max().unwrap_or(0)
    }

    /// Shortest target latency of the routes to a service that are at least as urgent as
    /// `priority`, in milliseconds; `None` if none of them has a target.
    pub fn shortest_target_ms(&self, service: &str, priority: u8) -> Option<u64> {
        let routes = self.routes.iter().filter(|route| {
            let mut services = route.targets.iter().map(|target| target.service.as_str());
            route.priority <= priority && services.any(|other| other == service)
        });
        routes.map(|route| route.target_latency_ms).filter(|target_ms| *target_ms > 0).min()
    }

    /// Checks that routes are distinct, refer to existing services, have a target
    /// with a weight above 0 and have a timeout, and that teams share no keys and have
    /// names that fit into a header field.
    pub fn check(&self) -> Result<(), ConfigurationError> {
        let mut routes_by_match: BTreeMap<(&str, &str), &Name> = BTreeMap::new();
        for route in &self.routes {
            self.check_route(route)?;
            let host_and_prefix = (route.host.as_str(), route.path_prefix.as_str());
            if let Some(first) = routes_by_match.insert(host_and_prefix, &route.name) {
                return DuplicateMatchSnafu { first: first.clone(), second: route.name.clone() }
                    .fail();
            }
        }
        self.check_teams()
    }

    fn check_teams(&self) -> Result<(), ConfigurationError> {
        for team in self.teams.values() {
            let is_trimmed = team.name.trim().len() == team.name.len() && !team.name.is_empty();
            if !is_trimmed || team.name.contains(char::is_control) {
                return InvalidTeamNameSnafu { team: team.name.clone() }.fail();
            }
        }
        match self.team_keys.shared_key() {
            Some((key, [first, second])) => {
                SharedKeySnafu { first: first.clone(), second: second.clone(), key: *key }.fail()
            }
            None => Ok(()),
        }
    }

    fn check_route(&self, route: &Route) -> Result<(), ConfigurationError> {
        let unknown_target =
            route.targets.iter().find(|target| !self.services.contains_key(&target.service));
        if let Some(target) = unknown_target {
            let (route, service) = (route.name.clone(), target.service.clone());
            return UnknownServiceSnafu { route, service }.fail();
        }
        if route.targets.iter().all(|target| target.weight == 0) {
            return ZeroWeightSnafu { route: route.name.clone() }.fail();
        }
        if route.timeout_ms == 0 {
            return ZeroTimeoutSnafu { route: route.name.clone() }.fail();
        }
        Ok(())
    }
}
