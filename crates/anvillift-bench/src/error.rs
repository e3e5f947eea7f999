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
}
