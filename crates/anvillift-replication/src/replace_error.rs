//! Error of a membership change of a group.

use anvillift_consensus::ChangeError;

/// Reasons for which a membership change fails.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
pub enum ReplaceError {
    /// The consensus core rejected the change.
    #[snafu(display("{source}"), context(false))]
    Refused {
        /// Reason for the rejection.
        source: ChangeError,
    },
    /// The replica is stopped, or its storage failed.
    #[snafu(display("the replica of the group is stopped"))]
    Stopped,
}
