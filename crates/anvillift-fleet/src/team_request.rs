//! A request, as far as the share of its team depends on it.

use anvillift_schema::name::Name;

use crate::fleet_team::FleetTeam;
use crate::prompt::Prompt;

/// Weight of a team without a quota, and of all anonymous requests together.
const DEFAULT_WEIGHT: f64 = 1.0;

/// What the shares of teams are decided by: who sends a request, and what it asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamRequest {
    /// Name of the team; empty for all anonymous requests together.
    pub team: Name,
    /// Weight of the team.
    pub weight: f64,
    /// Estimated work: prompt tokens, or 1 without a prompt.
    pub work: f64,
    /// Whether the request is decided about for the first time.
    pub is_new: bool,
}

impl TeamRequest {
    /// The request of a team, or an anonymous one.
    pub fn new(team: Option<&FleetTeam>, prompt: &Prompt, is_new: bool) -> Self {
        let quota = team.and_then(|team| team.quota);
        Self {
            team: team.map(|team| team.name.clone()).unwrap_or_default(),
            weight: quota.map_or(DEFAULT_WEIGHT, |quota| quota.rate_per_s as f64),
            work: prompt.input_tokens.max(1) as f64,
            is_new,
        }
    }
}
