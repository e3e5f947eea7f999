//! Errors of a command and their exit codes.
//!
//! The exit code for a numbered result code is that number divided by 100, so
//! 1601 gives 16; `docs/RESULT-CODES.md` has the table.

use std::io;
use std::path::PathBuf;

use anvillift_schema::public::Problem;
use anvillift_settings::SettingsError;

/// Exit code for a local error, such as an unreadable file, and for errors found in a change.
const EXIT_LOCAL: u8 = 1;
/// Exit code for wrong arguments, including those that argh rejects.
pub(crate) const EXIT_USAGE: u8 = 2;
/// Exit code for an incomplete answer, the same as for result codes 14xx.
const EXIT_INCOMPLETE: u8 = 14;
/// Exit code for invalid settings, the same as for result codes 17xx.
const EXIT_SETTINGS: u8 = 17;
/// Exit code when no host answered.
const EXIT_NO_ANSWER: u8 = 20;
/// Exit code for an answer that does not have the documented format.
const EXIT_UNREADABLE: u8 = 21;
/// Number of result codes that share an exit code.
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
    /// The answer could not be written to standard output.
    #[snafu(display("the answer could not be written to standard output: {source}"))]
    Write { source: io::Error },
    /// The HTTP client could not be created, for example for an invalid authority file.
    #[snafu(display("the HTTP client could not be created: {source}"))]
    HttpClient { source: reqwest::Error },
    /// A settings or change file is invalid.
    #[snafu(display("{source}"))]
    Settings { source: SettingsError },
    /// The check of a change found errors, which are printed with the answer.
    #[snafu(display("the change would be rejected; errors found: {errors}"))]
    ChangeHasErrors { errors: usize },
    /// The host did not answer, or the connection failed.
    #[snafu(display("{url} did not answer: {}", error_chain(source)))]
    NoAnswer { url: String, source: reqwest::Error },
    /// The host answered with problem details.
    #[snafu(display("{}", describe(problem)))]
    Refused { problem: Box<Problem> },
    /// The answer ended before its last event, `[DONE]`, or is not a valid stream.
    #[snafu(display("the answer is incomplete: {reason}"))]
    Incomplete { reason: String },
    /// The answer does not have the documented format.
    #[snafu(display("{url} sent an unreadable answer: {reason}"))]
    Unreadable { url: String, reason: String },
    /// The requested operation was started but did not finish in time.
    #[snafu(display("{message}"))]
    Unfinished { message: String },
    /// No host returned its service-level counters.
    #[snafu(display("no host returned its counters"))]
    NoCounters,
    /// A change was sent, and it is unknown whether the host accepted it.
    #[snafu(display(
        "{source}; the change may have been accepted: \
         send the same file again with --change-id {change_id}, \
         or run `anvillift change status {change_id}`"
    ))]
    ChangeOutcomeUnknown {
        change_id: String,
        #[snafu(source(from(Error, Box::new)))]
        source: Box<Self>,
    },
    /// A plot could not be drawn.
    #[snafu(display("{source}"))]
    Plot { source: anvillift_telemetry::PlotError },
}

impl Error {
    /// Exit code that the process ends with for this error.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } => EXIT_USAGE,
            Self::Settings { .. } => EXIT_SETTINGS,
            Self::NoAnswer { .. } | Self::NoCounters => EXIT_NO_ANSWER,
            Self::Refused { problem } => {
                u8::try_from(problem.code / CODES_PER_EXIT).unwrap_or(EXIT_UNREADABLE)
            }
            Self::Incomplete { .. } => EXIT_INCOMPLETE,
            Self::Unreadable { .. } => EXIT_UNREADABLE,
            Self::ChangeOutcomeUnknown { source, .. } => source.exit_code(),
            _ => EXIT_LOCAL,
        }
    }

    /// Problem details sent by a host; `None` if the error has another cause.
    pub(crate) fn problem(&self) -> Option<&Problem> {
        match self {
            Self::Refused { problem } => Some(problem),
            Self::ChangeOutcomeUnknown { source, .. } => source.problem(),
            _ => None,
        }
    }
}

/// Message of an error followed by the messages of all its sources.
fn error_chain(error: &reqwest::Error) -> String {
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
        text.push_str(&format!("; use {} instead", problem.hosts.join(", ")));
    }
    if let Some(retry_after_ms) = problem.retry_after_ms {
        text.push_str(&format!("; retry after {retry_after_ms} ms"));
    }
    text
}
