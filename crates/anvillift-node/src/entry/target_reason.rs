//! Rules that choose the target of an attempt.

use anvillift_fleet::spill::SpillReason;

/// Rule that chose the target of an attempt, as logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub(crate) enum TargetReason {
    /// A healthy worker of this region.
    #[display("local")]
    Local,
    /// Another host of this region, since this one reaches no worker.
    #[display("sibling")]
    Sibling,
    /// A host of another region, since this one has no healthy worker.
    #[display("remote")]
    Remote,
    /// A host of the region whose worker probably caches the prompt's prefix.
    #[display("keeper")]
    CachedPrefix,
    /// A host of a region that is less loaded.
    #[display("spill")]
    Load,
    /// A degraded worker of this region, since nothing better is left.
    #[display("troubled")]
    Degraded,
}

impl From<SpillReason> for TargetReason {
    fn from(reason: SpillReason) -> Self {
        match reason {
            SpillReason::CachedPrefix => Self::CachedPrefix,
            SpillReason::Load => Self::Load,
        }
    }
}
