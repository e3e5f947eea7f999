//! Errors that keep a process from starting or end it.

use std::io;
use std::net::SocketAddr;

use anvillift_storage::StorageError;

/// An error that keeps a process from starting or ends it. Messages begin with
/// the numbered result code.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NodeError {
    /// The settings file can't be read, or a required setting is missing.
    #[snafu(display("1701 invalid settings: {reason}"), visibility(pub))]
    Settings {
        /// File and parser message, or the missing setting.
        reason: String,
    },
    /// A listening socket can't be opened.
    #[snafu(display("1901 cannot listen on {address}: {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The async runtime or a signal handler can't be created.
    #[snafu(display("1901 cannot create the runtime or a signal handler: {source}"))]
    SetUp {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The data folder can't be opened, read or written.
    #[snafu(display("{} data folder unusable: {source}", source.code().number()))]
    Storage {
        /// Error of the storage, whose code begins the message.
        source: StorageError,
    },
}
