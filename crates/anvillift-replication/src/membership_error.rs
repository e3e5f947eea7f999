//! Error of a membership change of a group.

use anvillift_consensus::MembershipChangeError;

/// Reasons for which a membership change fails.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
pub enum MembershipError {
    /// The consensus core rejected the change.
    #[snafu(display("{source}"), context(false))]
    Rejected {
        /// Reason for the rejection.
        source: MembershipChangeError,
    },
    /// The replica is stopped, or its storage failed.
    #[snafu(display("the replica of the group is stopped"))]
    Stopped,
}
