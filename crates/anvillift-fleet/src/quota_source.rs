//! By what a request was counted against the quota of its team.

/// Source of the amounts that a host may spend.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub enum QuotaSource {
    /// The owner of the quotas has granted them.
    #[display("granted")]
    Granted,
    /// The host has no owner and spends its own share of the quota.
    #[display("own_share")]
    OwnShare,
}
