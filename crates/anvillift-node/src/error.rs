//! Why a process can't run.

use std::io;
use std::net::SocketAddr;

use anvillift_storage::StorageError;

/// Why a process can't run.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NodeError {
    /// The settings are not valid.
    #[snafu(display("1701 the settings can't be used: {reason}"), visibility(pub))]
    Settings {
        /// What is wrong.
        reason: String,
    },
    /// An address can't be listened on.
    #[snafu(display("1901 {address} can't be listened on: {source}"))]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The runtime or a signal handler can't be set up.
    #[snafu(display("1901 the process can't be set up: {source}"))]
    SetUp {
        /// Cause.
        source: io::Error,
    },
    /// The data folder can't be used.
    #[snafu(display("{} the data folder can't be used: {source}", source.code().number()))]
    Storage {
        /// Cause.
        source: StorageError,
    },
}
