//! Error type shared by stand-ins and experiments.

use std::io;

/// Reason why a stand-in or an experiment cannot run.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum BenchError {
    /// Binding or listening on a TCP address failed.
    #[snafu(display("cannot listen on {address}"))]
    Listen {
        /// Requested IP address and port, as text.
        address: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The TLS backend or the options of the HTTP client are unusable.
    #[snafu(display("cannot build the HTTP client"))]
    Client {
        /// Error of the HTTP library.
        source: reqwest::Error,
    },
    /// An experiment file cannot be read or has an invalid section, key or value.
    #[snafu(display("{file}: {message}"))]
    Experiment {
        /// Path of the experiment file.
        file: String,
        /// Description of the fault, with section and key.
        message: String,
    },
    /// A result file or settings file cannot be written.
    #[snafu(display("cannot write {path}"))]
    Write {
        /// Path of the file or folder.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Drawing or writing an SVG plot failed.
    #[snafu(display("cannot draw {path}: {message}"))]
    Plot {
        /// Path of the SVG file.
        path: String,
        /// Error text of the plotting library.
        message: String,
    },
    /// An entry host or daemon did not start.
    #[snafu(display("cannot start host {host}: {message}"))]
    Host {
        /// Name of the host.
        host: String,
        /// Error text of the gateway or of the process start.
        message: String,
    },
    /// A condition was not met within its time limit.
    #[snafu(display("{condition} after {limit_ms} ms"))]
    Timeout {
        /// Statement that the condition is not met.
        condition: String,
        /// Time limit in milliseconds; 0 when the limit is a number of attempts.
        limit_ms: u64,
    },
}
