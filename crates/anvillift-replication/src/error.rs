//! Why a command has no answer.

use anvillift_schema::name::Name;

/// Why a command has no answer.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
pub enum ProposeError {
    /// Another host leads; the command was not taken.
    #[snafu(display("host {leader} leads the group"))]
    NotLeader {
        /// Leader.
        leader: Name,
    },
    /// No leader is known; the command was not taken.
    #[snafu(display("the group has no leader in reach"))]
    NoLeader,
    /// Too many commands wait; the command was not taken.
    #[snafu(display("too many commands wait"))]
    Busy,
    /// The command may be committed or not.
    #[snafu(display("the command may be committed or not"))]
    Unknown,
    /// The replica is stopped or its storage failed; the command was not taken.
    #[snafu(display("the replica is stopped"))]
    Stopped,
}
