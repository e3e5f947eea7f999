//! Durable storage in the data folder of a host: its identity, and the
//! checksummed log, vote and snapshots of each group.
//!
//! A folder is formatted once, which generates the storage id of the host. The
//! checksums of all values and group files in it cover that id. Each group has
//! its own folder below the data folder.
//!
//! Log entries are written to segments, with one frame for all entries that were
//! appended between two syncs. A valid frame therefore proves that all frames
//! before it were synced. An invalid frame at the end of the log was torn by a
//! crash and is truncated. An invalid frame before valid ones means that the log
//! is damaged, and the replica must receive its log again before it votes. Start
//! at [`DataFolder`].

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
pub use io::StorageIo;
pub use recovery::{RecoveredGroup, Repair};
