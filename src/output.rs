//! Writes answers to standard output, and notes and errors to standard error.

use std::fmt::Display;
use std::io::{self, Write};

use derive_more::FromStr;
use serde::Serialize;
use serde_json::json;
use snafu::ResultExt;

use crate::error::{Error, WriteSnafu};

/// Format of answers and errors.
#[derive(Clone, Copy, Debug, Default, Eq, FromStr, PartialEq)]
pub(crate) enum Format {
    /// Plain text and tables.
    #[default]
    Text,
    /// A single JSON document.
    Json,
}

/// Writes an answer: `text` in text format, `value` in JSON format.
pub(crate) fn print<T: Serialize>(
    format: Format,
    value: &T,
    text: impl Display,
) -> Result<(), Error> {
    let text = match format {
        Format::Text => text.to_string(),
        Format::Json => to_json(value),
    };
    let mut out = io::stdout().lock();
    writeln!(out, "{}", text.trim_end()).and_then(|()| out.flush()).context(WriteSnafu)
}

/// Writes a part of an answer and flushes it, so that its text appears as soon
/// as it arrives.
pub(crate) fn print_part(part: &str) -> Result<(), Error> {
    let mut out = io::stdout().lock();
    out.write_all(part.as_bytes()).and_then(|()| out.flush()).context(WriteSnafu)
}

/// Writes a note to standard error, so that standard output holds only the answer.
pub(crate) fn print_note(note: impl Display) {
    let _ = writeln!(io::stderr(), "{note}");
}

/// Writes an error; in JSON format, with its exit code and problem details.
pub(crate) fn print_error(format: Format, error: &Error) {
    let _ = match format {
        Format::Text => writeln!(io::stderr(), "error: {error}"),
        Format::Json => {
            let value = json!({
                "error": error.to_string(),
                "exit_code": error.exit_code(),
                "problem": error.problem(),
            });
            writeln!(io::stderr(), "{value}")
        }
    };
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_else(|error| json!(error.to_string()).to_string())
}
