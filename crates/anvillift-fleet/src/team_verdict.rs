//! Decisions about requests by the shares of their teams.

/// Why a request is rejected or not, where a service is overloaded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub enum TeamReason {
    /// Admitted; admission control asks for no rejection of it, and it makes up for no other one.
    #[display("not_overloaded")]
    NotOverloaded,
    /// Admitted; a team above its share is rejected instead.
    #[display("within_share")]
    WithinShare,
    /// Rejected, since the team is above its share.
    #[display("above_share")]
    AboveShare,
    /// Rejected, since the teams above their shares at this host do not send enough to be
    /// rejected instead.
    #[display("shares_exhausted")]
    SharesExhausted,
}

/// Decision about a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamVerdict {
    /// Whether the request is rejected, and why.
    pub reason: TeamReason,
    /// Share of the team, in work per second; infinite while nothing is rejected.
    pub share_per_s: f64,
    /// What the team has asked for before this request, in work per second.
    pub demand_per_s: f64,
    /// Probability with which requests of the team are rejected.
    pub rejection: f64,
}

impl TeamVerdict {
    /// Whether the request is rejected.
    pub fn is_rejected(&self) -> bool {
        matches!(self.reason, TeamReason::AboveShare | TeamReason::SharesExhausted)
    }
}
