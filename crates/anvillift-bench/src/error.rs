//! Errors of the bench.

use std::io;

/// Why a stand-in or an experiment could not run.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum BenchError {
    /// An address could not be listened on.
    #[snafu(display("cannot listen on {address}"))]
    Listen {
        /// Address asked for.
        address: String,
        /// Cause.
        source: io::Error,
    },
    /// The HTTP client could not be built.
    #[snafu(display("cannot build the HTTP client"))]
    Client {
        /// Cause.
        source: reqwest::Error,
    },
    /// An experiment file is wrong.
    #[snafu(display("{file}: {message}"))]
    Experiment {
        /// File.
        file: String,
        /// What is wrong, with section and key.
        message: String,
    },
    /// A result could not be written.
    #[snafu(display("cannot write {path}"))]
    Write {
        /// File.
        path: String,
        /// Cause.
        source: io::Error,
    },
    /// A plot could not be drawn.
    #[snafu(display("cannot draw {path}: {message}"))]
    Plot {
        /// File.
        path: String,
        /// Cause.
        message: String,
    },
    /// A host did not start.
    #[snafu(display("cannot start host {host}: {message}"))]
    Host {
        /// Host.
        host: String,
        /// Cause.
        message: String,
    },
    /// Something did not come to be in time.
    #[snafu(display("{what} after {limit_ms} ms"))]
    Late {
        /// What was waited for.
        what: String,
        /// How long.
        limit_ms: u64,
    },
}
