//! Output as text or JSON.

use std::fmt::Display;
use std::io::{self, Write};

use derive_more::FromStr;
use serde::Serialize;
use serde_json::json;
use snafu::ResultExt;

use crate::error::{Error, WriteSnafu};

/// Form of the output.
#[derive(Clone, Copy, Debug, Default, Eq, FromStr, PartialEq)]
pub(crate) enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON document.
    Json,
}

/// Writes an answer: `text` for people, `value` as JSON.
pub(crate) fn print<T: Serialize>(
    format: Format,
    value: &T,
    text: impl Display,
) -> Result<(), Error> {
    let text = match format {
        Format::Text => text.to_string(),
        Format::Json => json(value),
    };
    let mut out = io::stdout().lock();
    writeln!(out, "{}", text.trim_end()).and_then(|()| out.flush()).context(WriteSnafu)
}

/// Writes a piece of an answer as it arrives.
pub(crate) fn print_piece(piece: &str) -> Result<(), Error> {
    let mut out = io::stdout().lock();
    out.write_all(piece.as_bytes()).and_then(|()| out.flush()).context(WriteSnafu)
}

/// Writes a note for people beside the answer.
pub(crate) fn print_note(note: impl Display) {
    let _ = writeln!(io::stderr(), "{note}");
}

/// Writes a failure with its exit code.
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

fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_else(|error| json!(error.to_string()).to_string())
}
