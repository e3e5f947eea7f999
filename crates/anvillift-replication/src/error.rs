//! Error of a proposal or a read on a group.

use anvillift_schema::name::Name;

/// Reasons for which a proposal or a read fails.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
pub enum ProposeError {
    /// Another host is the leader. The request had no effect.
    #[snafu(display("this host is not the leader of the group; the leader is {leader}"))]
    NotLeader {
        /// Host to which the request can be sent instead.
        leader: Name,
    },
    /// No leader is known. The request had no effect.
    #[snafu(display("no leader of the group is known to this host"))]
    NoLeader,
    /// Too many requests are queued or wait for an answer. The request had no
    /// effect.
    #[snafu(display("too many requests of the group are pending"))]
    Busy,
    /// The replica lost its leadership or failed after it accepted the request. A
    /// command may or may not be committed.
    #[snafu(display("outcome unknown: the command may or may not be committed"))]
    Unknown,
    /// The replica is stopped, or its storage failed. The request had no effect.
    #[snafu(display("the replica of the group is stopped"))]
    Stopped,
}

impl From<anvillift_consensus::ProposeError> for ProposeError {
    fn from(error: anvillift_consensus::ProposeError) -> Self {
        let anvillift_consensus::ProposeError::NotLeader { leader } = error;
        leader.map_or(Self::NoLeader, |leader| Self::NotLeader { leader })
    }
}
