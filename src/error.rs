//! Failures of a command and their exit codes.
//!
//! A numbered result code of a host ends in the exit code of its hundreds, so
//! that 1601 ends in 16; `docs/RESULT-CODES.md` has the table. Start at
//! [`Error`].

use std::io;
use std::path::PathBuf;

use anvillift_schema::public::Problem;
use anvillift_settings::SettingsError;

/// Exit code of a failure on this machine, such as an unreadable file.
const EXIT_LOCAL: u8 = 1;
/// Exit code of wrong arguments.
pub(crate) const EXIT_USAGE: u8 = 2;
/// Exit code of a cut answer, that of result codes 14xx.
const EXIT_CUT: u8 = 14;
/// Exit code of faulty settings, that of result codes 17xx.
const EXIT_SETTINGS: u8 = 17;
/// Exit code when no host answered.
const EXIT_NO_ANSWER: u8 = 20;
/// Exit code of an answer that is not in the published form.
const EXIT_UNREADABLE: u8 = 21;
/// Result codes that share an exit code.
const CODES_PER_EXIT: u16 = 100;

/// Why a command failed.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    /// An argument or environment variable is wrong.
    #[snafu(display("{message}"))]
    Usage { message: String },
    /// The runtime could not be started.
    #[snafu(display("the runtime could not be started: {source}"))]
    Runtime { source: io::Error },
    /// A file could not be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File { path: PathBuf, source: io::Error },
    /// The answer could not be written.
    #[snafu(display("the answer could not be written: {source}"))]
    Write { source: io::Error },
    /// The HTTP client could not be made.
    #[snafu(display("the HTTP client could not be made: {source}"))]
    HttpClient { source: reqwest::Error },
    /// A settings or change file is faulty.
    #[snafu(display("{source}"))]
    Settings { source: SettingsError },
    /// The host did not answer.
    #[snafu(display("{url} did not answer: {}", chain(source)))]
    NoAnswer { url: String, source: reqwest::Error },
    /// The host answered with a numbered result.
    #[snafu(display("{}", describe(problem)))]
    Refused { problem: Box<Problem> },
    /// The answer broke off before its end.
    #[snafu(display("the answer is not whole: {reason}"))]
    Cut { reason: String },
    /// The answer is not in the published form.
    #[snafu(display("{url} answered in another form: {reason}"))]
    Unreadable { url: String, reason: String },
    /// What was asked for has begun and is not finished.
    #[snafu(display("{message}"))]
    Unfinished { message: String },
    /// No daemon gave its counts.
    #[snafu(display("no daemon answered"))]
    NoDaemon,
    /// A change was sent and nobody knows whether it holds.
    #[snafu(display(
        "{source}; the change may have been accepted: \
         send the same file again with --change-id {change_id}, or ask change status {change_id}"
    ))]
    ChangeUndecided {
        change_id: String,
        #[snafu(source(from(Error, Box::new)))]
        source: Box<Self>,
    },
    /// The burn plot could not be drawn.
    #[snafu(display("{source}"))]
    Plot { source: anvillift_telemetry::PlotError },
}

impl Error {
    /// Exit code of the process.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } => EXIT_USAGE,
            Self::Settings { .. } => EXIT_SETTINGS,
            Self::NoAnswer { .. } | Self::NoDaemon => EXIT_NO_ANSWER,
            Self::Refused { problem } => {
                u8::try_from(problem.code / CODES_PER_EXIT).unwrap_or(EXIT_UNREADABLE)
            }
            Self::Cut { .. } => EXIT_CUT,
            Self::Unreadable { .. } => EXIT_UNREADABLE,
            Self::ChangeUndecided { source, .. } => source.exit_code(),
            _ => EXIT_LOCAL,
        }
    }

    /// The numbered result of a host, if there was one.
    pub(crate) fn problem(&self) -> Option<&Problem> {
        match self {
            Self::Refused { problem } => Some(problem),
            Self::ChangeUndecided { source, .. } => source.problem(),
            _ => None,
        }
    }
}

/// The cause under the cause, to the last.
fn chain(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        text.push_str(&format!(": {cause}"));
        source = cause.source();
    }
    text
}

fn describe(problem: &Problem) -> String {
    let mut text = format!("{} {} ({})", problem.code, problem.title, problem.outcome);
    if let Some(detail) = &problem.detail {
        text.push_str(&format!(": {detail}"));
    }
    if let Some(revision) = problem.revision {
        text.push_str(&format!("; the current revision is {revision}"));
    }
    if !problem.hosts.is_empty() {
        text.push_str(&format!("; ask {}", problem.hosts.join(", ")));
    }
    if let Some(retry_after_ms) = problem.retry_after_ms {
        text.push_str(&format!("; come back in {retry_after_ms} ms"));
    }
    text
}
