//! What hosts look up in the teams of a configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use anvillift_schema::key_hash::KeyHash;
use anvillift_schema::name::Name;

use crate::configuration::FleetConfiguration;
use crate::fleet_team::FleetTeam;
use crate::route::Route;

/// Index of the priorities of a configuration's teams. Teams and keys are looked up in the
/// configuration: a copy for 30,000 teams would take several megabytes.
#[derive(Clone, Debug, Default)]
pub struct TeamTable {
    /// The most urgent priority that a request for a service may have.
    most_urgent_priorities: BTreeMap<Name, u8>,
}

impl TeamTable {
    /// Builds the table of a configuration.
    pub fn new(configuration: &FleetConfiguration) -> Self {
        Self { most_urgent_priorities: most_urgent_priorities(configuration) }
    }

    /// The team of a key in the configuration of this table, or `None` if the key is unknown.
    pub fn team_of_key(
        &self,
        configuration: &FleetConfiguration,
        presented: &KeyHash,
    ) -> Option<Arc<FleetTeam>> {
        let team = configuration.teams.get(configuration.team_keys.team(presented)?)?;
        Some(Arc::new(team.clone()))
    }

    /// Whether no request for a service may be more urgent than one of this priority.
    pub fn is_most_urgent(&self, service: &str, priority: u8) -> bool {
        self.most_urgent_priorities.get(service).is_none_or(|most_urgent| priority <= *most_urgent)
    }
}

/// Priority of the requests of a team, or of callers without one, on a route.
pub fn priority(route: &Route, team: Option<&FleetTeam>) -> u8 {
    team.and_then(|team| team.priority).unwrap_or(route.priority)
}

fn most_urgent_priorities(configuration: &FleetConfiguration) -> BTreeMap<Name, u8> {
    let teams = &configuration.teams;
    let of_teams = teams.values().filter_map(|team| team.priority).min();
    let is_route_decisive = teams.is_empty() || teams.values().any(|team| team.priority.is_none());
    let mut priorities = BTreeMap::new();
    for route in &configuration.routes {
        let of_route = (is_route_decisive || route.allows_anonymous).then_some(route.priority);
        let Some(most_urgent) = of_route.into_iter().chain(of_teams).min() else { continue };
        for target in &route.targets {
            let priority = priorities.entry(target.service.clone()).or_insert(most_urgent);
            *priority = most_urgent.min(*priority);
        }
    }
    priorities
}
