//! The core of a Raft replicated log, without I/O, a clock or a random source of
//! its own.
//!
//! A [`Replica`] takes the current time and received messages as input and
//! returns [`Effect`]s. The caller performs the effects in order: it makes
//! `Append`, `SaveVote` and `InstallSnapshot` durable before it performs the
//! sends and answers that come after them in the list, and then reports the
//! durable index with [`Replica::synced`].
//!
//! The protocol is Raft with pre-vote, check-quorum, a leader lease, learners and
//! single-server membership changes. A replica is identified by its host together
//! with the id of its storage. A host whose disk was wiped is therefore a
//! different replica and never votes under the identity of the old one. Start at
//! [`Replica`].

mod change;
mod effect;
mod election;
mod follower;
mod followers;
mod formation;
mod inspection;
mod leader;
mod log;
mod progress;
mod propose_error;
mod quorum;
mod quorum_contact;
mod recovered_state;
mod replica;
mod role;
mod settings;
mod snapshot;
mod status;
mod step_down;

pub use change::MembershipChangeError;
pub use effect::{AnswerError, Effect};
pub use propose_error::ProposeError;
pub use recovered_state::RecoveredState;
pub use replica::Replica;
pub use role::RoleKind;
pub use settings::ReplicaSettings;
pub use snapshot::Snapshot;
pub use status::ReplicaStatus;
