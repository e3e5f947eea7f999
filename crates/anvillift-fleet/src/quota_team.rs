//! State of one team at a host: what it may spend.

use anvillift_routing::grants::Grants;
use anvillift_schema::name::Name;

use crate::quota_decision::{QuotaDecision, QuotaRefusal};
use crate::quota_estimate::QuotaEstimate;
use crate::quota_share::QuotaShare;
use crate::quota_source::QuotaSource;
use crate::quota_use::QuotaUse;

/// State of one team.
#[derive(Clone, Debug, Default)]
pub(crate) struct QuotaTeam {
    /// Amounts that the owner has granted.
    pub(crate) grants: Grants,
    /// Own share, only during a time without an owner.
    pub(crate) share: Option<QuotaShare>,
    pub(crate) estimate: QuotaEstimate,
    /// Time until which requests are refused without asking the owner, in milliseconds.
    pub(crate) refuse_until_ms: u64,
    /// Time at which the owner expects to have room for the team, in milliseconds.
    pub(crate) room_at_ms: u64,
    pub(crate) last_used_ms: u64,
}

impl QuotaTeam {
    /// Takes the amount of a request of this team, which is called `team`, from its grants, if they
    /// cover it.
    pub(crate) fn take_granted(
        &mut self,
        now_ms: u64,
        team: &Name,
        amount_milli: u64,
        term: u64,
    ) -> Option<QuotaUse> {
        let valid_until_ms = self.grants.take(now_ms, amount_milli)?;
        let team = team.clone();
        Some(QuotaUse { team, amount_milli, source: QuotaSource::Granted, term, valid_until_ms })
    }

    /// The refusal of a request that the grants don't cover.
    pub(crate) fn refused(&mut self, now_ms: u64, retry_after_ms: u64) -> QuotaDecision {
        QuotaDecision::Refused(QuotaRefusal {
            retry_after_ms,
            available_milli: self.grants.valid_milli(now_ms),
            source: QuotaSource::Granted,
        })
    }
}
