//! Errors that keep a gateway from starting.

use std::io;

use anvillift_schema::code::Code;
use snafu::Snafu;

/// The gateway could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The address for callers cannot be listened on.
    #[snafu(display("cannot listen for callers on {address}"))]
    Listen {
        /// The address.
        address: String,
        /// Cause.
        source: io::Error,
    },
    /// The links cannot start.
    #[snafu(display("cannot start the links"))]
    Mesh {
        /// Cause.
        source: anvillift_mesh::StartError,
    },
    /// A certificate or key cannot be used.
    #[snafu(display("certificate or key file {path} cannot be used: {reason}"))]
    KeyFile {
        /// The file.
        path: String,
        /// What is wrong.
        reason: String,
    },
    /// The data folder cannot be used.
    #[snafu(display("the data folder cannot be used"))]
    Storage {
        /// Cause.
        source: anvillift_storage::StorageError,
    },
    /// The client for upstreams cannot be built.
    #[snafu(display("cannot build the HTTP client"))]
    Client {
        /// Cause.
        source: reqwest::Error,
    },
}

impl StartError {
    /// Result code of the error.
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
