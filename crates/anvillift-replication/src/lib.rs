//! Runs consensus replicas: their timers, storage and messages.
//!
//! Each group has its own thread, since a sync of the storage blocks. The thread
//! takes all queued inputs, passes them to the replica, makes the resulting
//! writes durable with one sync, and only then sends answers. Proposals that
//! arrive during a sync share the next one. If the storage fails, the replica
//! stops before anything that is not durable is acknowledged, and continues once
//! the storage can be opened again. Start at [`GroupDriver::start`], which returns a [`GroupHandle`].

mod driver;
mod error;
mod handle;
mod input;
mod machine;
mod membership_error;
mod performer;
mod replica_source;
mod requests;
mod settings;
mod status;

pub use driver::GroupDriver;
pub use error::ProposeError;
pub use handle::GroupHandle;
pub use machine::GroupMachine;
pub use membership_error::MembershipError;
pub use settings::{GroupDriverSettings, GroupTiming, OpenedGroup, SendFn, StorageOpener};
pub use status::GroupStatus;
