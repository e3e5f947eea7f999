//! The data folder: identity, checksummed log, vote and snapshots.
//!
//! A folder is formatted once, which draws the storage id of the host; every
//! file is checksummed together with that id. Each group has a folder of its
//! own below it. Entries are written to segments, one frame for all that were
//! appended between two syncs, so that a good frame proves that the ones
//! before it were synced: a bad frame at the end was torn by a crash and is
//! cut, a bad frame before good ones is damage, and the replica must fetch its
//! log again before it votes. Start at [`DataFolder`].

mod error;
mod file;
mod folder;
mod frame;
mod group;
mod io;
mod recovery;
mod segment;

pub use error::StorageError;
pub use folder::DataFolder;
pub use group::GroupStorage;
pub use io::Io;
pub use recovery::{RecoveredGroup, Repair};
