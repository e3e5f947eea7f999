//! Why a replica takes no proposal or read.

use anvillift_schema::name::Name;

/// Reasons for which a proposal or a read is rejected before it has any effect.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
pub enum ProposeError {
    /// This replica is not the leader, or it is transferring its leadership.
    #[snafu(display("this replica is not the leader of the group"))]
    NotLeader {
        /// Host of the leader, or `None` if no other host is known to lead.
        leader: Option<Name>,
    },
}
