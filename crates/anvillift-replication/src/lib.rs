//! Runs consensus replicas: their timers, storage and messages.
//!
//! Each group has a thread of its own, since syncing blocks. It takes all the
//! inputs that wait, gives them to the replica, makes what they wrote durable
//! with one sync, and only then sends answers: proposals that arrive during a
//! sync share the next one. A fault of the storage ends the replica before
//! anything is acknowledged. Start at [`GroupDriver::start`], which gives a
//! [`GroupHandle`].

mod driver;
mod error;
mod handle;
mod input;
mod machine;
mod performer;
mod replace_error;
mod requests;
mod settings;
mod status;

pub use driver::GroupDriver;
pub use error::ProposeError;
pub use handle::GroupHandle;
pub use machine::GroupMachine;
pub use replace_error::ReplaceError;
pub use settings::{GroupDriverSettings, GroupTiming, OpenedGroup, SendFn};
pub use status::GroupStatus;
