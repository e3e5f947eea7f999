//! Why the replicas of a group were not changed.

use anvillift_consensus::ChangeError;

/// Why the replicas of a group were not changed.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
pub enum ReplaceError {
    /// The group refused the change.
    #[snafu(display("{source}"), context(false))]
    Refused {
        /// Cause.
        source: ChangeError,
    },
    /// The replica is stopped.
    #[snafu(display("the replica is stopped"))]
    Stopped,
}
