//! Teams: callers that share keys, homes, a priority and a quota.

use std::collections::BTreeSet;
use std::sync::Arc;

use anvillift_schema::name::Name;

use crate::team_quota::TeamQuota;

/// A team, as the configuration describes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetTeam {
    /// Name of the team, unique in the configuration.
    pub name: Name,
    /// Priority of the team's requests, 0 being the most urgent; `None` if that of the route
    /// applies.
    pub priority: Option<u8>,
    /// Regions in which the team's requests may run; empty if any may. Teams with the same ones
    /// share the set.
    pub home_regions: Arc<BTreeSet<Name>>,
    /// What the team may use; `None` if that is not limited.
    pub quota: Option<TeamQuota>,
}
