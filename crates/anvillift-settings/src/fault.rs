//! Faults of a settings or change file.
//!
//! Start at [`SettingsError`], which contains all faults of a file.

use std::fmt;

/// One fault of a file, with its place and a message for the operator.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Fault {
    /// Name of the file.
    pub file: String,
    /// Title of the section, without brackets; empty for a fault of the whole file.
    pub section: String,
    /// Key of the value; empty for a fault of the whole section.
    pub key: String,
    /// Line of the key, section or file, counted from 1.
    pub line: usize,
    /// What is wrong and what is allowed instead.
    pub message: String,
}

impl Fault {
    /// Creates a fault that concerns the whole file.
    pub(crate) fn of_file(file: &str, message: String) -> Self {
        Self { file: file.to_owned(), section: String::new(), key: String::new(), line: 1, message }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)
    }
}

/// The settings or the change cannot be used because of these faults.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
#[snafu(display("{}", join_lines(faults)))]
pub struct SettingsError {
    /// All faults of the file, sorted by line; never empty.
    pub faults: Vec<Fault>,
}

fn join_lines(faults: &[Fault]) -> String {
    faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("\n")
}

/// Returns `value` if there are no faults, otherwise all faults sorted by line.
pub(crate) fn into_result<T>(value: T, mut faults: Vec<Fault>) -> Result<T, SettingsError> {
    if faults.is_empty() {
        return Ok(value);
    }
    faults.sort_by_key(|fault| fault.line);
    Err(SettingsError { faults })
}
