//! The replicated log core, without I/O, clock or randomness of its own.
//!
//! A [`Replica`] takes the time and messages in and gives [`Effect`]s out; the
//! caller makes `Append`, `SaveVote` and `InstallSnapshot` durable before it
//! sends or answers anything that follows them, and then reports what is
//! durable with [`Replica::synced`]. The protocol is Raft with pre-vote,
//! check-quorum, a leader lease, learners and single-server changes of the
//! voters. A replica is a host together with the id of its storage, so that a
//! wiped disk is another replica and never votes in the name of the old one.
//! Start at [`Replica`].

mod change;
mod effect;
mod election;
mod follower;
mod formation;
mod leader;
mod log;
mod progress;
mod quorum;
mod replica;
mod role;
mod settings;
mod snapshot;

pub use change::ChangeError;
pub use effect::{AnswerError, Effect};
pub use replica::{ProposeError, Recovered, Replica, ReplicaStatus};
pub use role::RoleKind;
pub use settings::ReplicaSettings;
pub use snapshot::Snapshot;
