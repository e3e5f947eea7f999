//! Logging with numbered events.
//!
//! Records of the `log` crate pass through `fern`, which filters them by level
//! and writes each as one [`LogLine`], as text or JSON. [`init_logging`] sets this up
//! for a process.

mod bounded;
mod line;
mod lossy;

use std::fs::OpenOptions;
use std::io::{self, Write};
use std::time::SystemTime;

use anvillift_schema::settings::{LogSettings, LogSettingsFormat, LogSettingsLevel};
use fern::Dispatch;
use log::LevelFilter;
use snafu::ResultExt;

pub use bounded::BoundedOutput;
pub use line::LogLine;
use lossy::LossyOutput;

/// An error in setting up logging.
#[derive(Debug, snafu::Snafu)]
pub enum LogError {
    /// The log file cannot be opened or created.
    #[snafu(display("the log file {file} cannot be opened: {source}"))]
    File {
        /// Path of the log file from the settings.
        file: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The thread that writes log lines cannot be started.
    #[snafu(display("the thread that writes log lines cannot be started: {source}"))]
    Thread {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The process has a logger already.
    #[snafu(display("a logger is already installed"))]
    AlreadyInstalled {
        /// Error of the `log` crate.
        source: log::SetLoggerError,
    },
}

/// Installs the logger of the process, which writes to the file in the settings or to standard
/// error. A second call fails.
pub fn init_logging(settings: &LogSettings) -> Result<(), LogError> {
    let output: Box<dyn Write + Send> = match &settings.file {
        Some(file) => {
            let opened = OpenOptions::new().create(true).append(true).open(file);
            Box::new(opened.context(FileSnafu { file })?)
        }
        None => Box::new(io::stderr()),
    };
    dispatch(settings, output).apply().context(AlreadyInstalledSnafu)
}

/// Installs a logger that writes JSON lines to standard output and never blocks. The caller must
/// drain the returned output before the process ends, or the last lines are lost.
pub fn log_to_stdout() -> Result<BoundedOutput, LogError> {
    let output = BoundedOutput::start(io::stdout()).context(ThreadSnafu)?;
    let settings = LogSettings { format: LogSettingsFormat::Json, ..LogSettings::default() };
    dispatch(&settings, Box::new(output.clone())).apply().context(AlreadyInstalledSnafu)?;
    Ok(output)
}

/// Creates a logger that writes lines to `output` in the format of the settings. Records below the
/// level of the settings are not written. Lines that `output` can't take are dropped.
pub fn dispatch(settings: &LogSettings, output: Box<dyn Write + Send>) -> Dispatch {
    let is_json = settings.format == LogSettingsFormat::Json;
    Dispatch::new()
        .level(level_filter(settings.level))
        .format(move |out, _message, record| {
            let line = LogLine::from_record(record, SystemTime::now());
            match is_json {
                true => out.finish(format_args!("{}", line.to_json())),
                false => out.finish(format_args!("{}", line.to_text())),
            }
        })
        .chain(Box::new(LossyOutput::new(output)) as Box<dyn Write + Send>)
}

fn level_filter(level: LogSettingsLevel) -> LevelFilter {
    match level {
        LogSettingsLevel::Error => LevelFilter::Error,
        LogSettingsLevel::Warn => LevelFilter::Warn,
        LogSettingsLevel::Info => LevelFilter::Info,
        LogSettingsLevel::Debug => LevelFilter::Debug,
    }
}
