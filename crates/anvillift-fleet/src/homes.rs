//! Where a request may run, by the home regions of its route and of its team.
//!
//! Both have to allow a region. Every choice of a region for a request calls
//! [`allows_region`].

use crate::fleet_team::FleetTeam;
use crate::route::Route;

/// Whether a request of a route and a team may run in a region.
pub fn allows_region(route: &Route, team: Option<&FleetTeam>, region: &str) -> bool {
    let is_home_of_team =
        |team: &FleetTeam| team.home_regions.is_empty() || team.home_regions.contains(region);
    (route.home_regions.is_empty() || route.home_regions.contains(region))
        && team.is_none_or(is_home_of_team)
}

/// Whether no region is home of both a route and a team.
pub fn are_disjoint(route: &Route, team: &FleetTeam) -> bool {
    !route.home_regions.is_empty()
        && !team.home_regions.is_empty()
        && route.home_regions.is_disjoint(&team.home_regions)
}
