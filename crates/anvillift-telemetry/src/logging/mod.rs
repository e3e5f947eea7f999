//! Log lines with numbered events.
//!
//! Records of the `log` crate pass through `fern`, which filters them by level
//! and writes each as one [`LogLine`], in text or JSON. Start at [`log_init`].

mod bounded;
mod line;

use std::fs::OpenOptions;
use std::io::{self, Write};
use std::time::SystemTime;

use anvillift_schema::settings::{LogSettings, LogSettingsFormat, LogSettingsLevel};
use fern::Dispatch;
use log::LevelFilter;
use snafu::ResultExt;

pub use bounded::BoundedOutput;
pub use line::LogLine;

/// Why logging could not be set up.
#[derive(Debug, snafu::Snafu)]
pub enum LogError {
    /// The log file cannot be opened.
    #[snafu(display("the log file {file} cannot be opened: {source}"))]
    File {
        /// Log file.
        file: String,
        /// Cause.
        source: io::Error,
    },
    /// The thread that writes lines can't be started.
    #[snafu(display("the log has no thread: {source}"))]
    Thread {
        /// Cause.
        source: io::Error,
    },
    /// Another logger is in place.
    #[snafu(display("logging was set up before"))]
    SetTwice {
        /// Cause.
        source: log::SetLoggerError,
    },
}

/// Sends log records where the settings say; to be called once a process.
pub fn log_init(settings: &LogSettings) -> Result<(), LogError> {
    let output: Box<dyn Write + Send> = match &settings.file {
        Some(file) => {
            let opened = OpenOptions::new().create(true).append(true).open(file);
            Box::new(opened.context(FileSnafu { file })?)
        }
        None => Box::new(io::stderr()),
    };
    dispatch(settings, output).apply().context(SetTwiceSnafu)
}

/// Sends log records as JSON lines to standard output without ever blocking;
/// gives the output, to be drained before the process ends.
pub fn log_to_stdout() -> Result<BoundedOutput, LogError> {
    let output = BoundedOutput::start(io::stdout()).context(ThreadSnafu)?;
    let settings = LogSettings { format: LogSettingsFormat::Json, ..LogSettings::default() };
    dispatch(&settings, Box::new(output.clone())).apply().context(SetTwiceSnafu)?;
    Ok(output)
}

/// A logger that writes lines to `output`.
pub fn dispatch(settings: &LogSettings, output: Box<dyn Write + Send>) -> Dispatch {
    let json = settings.format == LogSettingsFormat::Json;
    Dispatch::new()
        .level(level(settings.level))
        .format(move |out, _message, record| {
            let line = LogLine::of(record, SystemTime::now());
            match json {
                true => out.finish(format_args!("{}", line.json())),
                false => out.finish(format_args!("{}", line.text())),
            }
        })
        .chain(output)
}

fn level(level: LogSettingsLevel) -> LevelFilter {
    match level {
        LogSettingsLevel::Error => LevelFilter::Error,
        LogSettingsLevel::Warn => LevelFilter::Warn,
        LogSettingsLevel::Info => LevelFilter::Info,
        LogSettingsLevel::Debug => LevelFilter::Debug,
    }
}
