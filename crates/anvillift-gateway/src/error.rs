//! Errors that prevent a gateway from starting.

use std::io;

use anvillift_schema::code::Code;
use snafu::Snafu;

/// Error that prevents a gateway from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// Listening on the address for callers failed.
    #[snafu(display("cannot listen for callers on {address}"))]
    Listen {
        /// Address from the settings, as IP and port.
        address: String,
        /// Error of the socket, or of reading a TLS file.
        source: io::Error,
    },
    /// The links to other hosts cannot start.
    #[snafu(display("cannot start the links to other hosts"))]
    Mesh {
        /// Why the links failed to start, such as an address that cannot be bound.
        source: anvillift_mesh::StartError,
    },
    /// A certificate or key cannot be used.
    #[snafu(display("certificate or key file {path} cannot be used: {reason}"))]
    KeyFile {
        /// Path of the file that cannot be used.
        path: String,
        /// Why the file was refused, such as an expired certificate.
        reason: String,
    },
    /// The data folder cannot be used.
    #[snafu(display("cannot open the data folder"))]
    Storage {
        /// Error of opening the folder, such as a lock held by another process.
        source: anvillift_storage::StorageError,
    },
    /// The client for upstreams cannot be built.
    #[snafu(display("cannot build the HTTP client for upstreams"))]
    Client {
        /// Error of the HTTP library.
        source: reqwest::Error,
    },
}

impl StartError {
    /// Result code under which the daemon reports the error.
    pub fn code(&self) -> Code {
        match self {
            Self::KeyFile { .. }
            | Self::Mesh { source: anvillift_mesh::StartError::KeyFile { .. } } => {
                Code::KeyFileInvalid
            }
            Self::Listen { .. } | Self::Mesh { .. } => Code::SettingsInvalid,
            Self::Storage { source } => source.code(),
            Self::Client { .. } => Code::Internal,
        }
    }
}
