//! Faults of a settings file.
//!
//! Start at [`SettingsError`], which holds every fault that was found.

use std::fmt;

/// One fault of a file.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Fault {
    /// File that was read.
    pub file: String,
    /// Section as it is written, without brackets; empty for the whole file.
    pub section: String,
    /// Key, or empty for the whole section.
    pub key: String,
    /// Line, counted from 1.
    pub line: usize,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl Fault {
    /// A fault of the file as a whole.
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

/// Every fault of a file, by line.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
#[snafu(display("{}", joined(faults)))]
pub struct SettingsError {
    /// Faults, by line.
    pub faults: Vec<Fault>,
}

fn joined(faults: &[Fault]) -> String {
    faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("\n")
}

/// Gives `value` if no fault was found.
pub(crate) fn without_faults<T>(value: T, mut faults: Vec<Fault>) -> Result<T, SettingsError> {
    if faults.is_empty() {
        return Ok(value);
    }
    faults.sort_by_key(|fault| fault.line);
    Err(SettingsError { faults })
}
