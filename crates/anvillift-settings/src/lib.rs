//! Reads and checks INI settings and change files.
//!
//! A text is parsed into sections with line numbers, each section is read into
//! its typed settings, and then the references between sections are checked. All
//! faults of a file are collected, with section, key, line and what is allowed,
//! so that one run of `anvillift settings check` shows all of them. Start at
//! [`load_settings`] for the settings of a daemon and at [`parse_change`] for a change.

mod change;
mod check;
mod configuration;
mod document;
mod fault;
mod hint;
mod host;
mod reader;

use std::fs;
use std::path::Path;

use anvillift_schema::configuration::Edit;
use anvillift_schema::settings::HostSettings;

pub use fault::{Fault, SettingsError};

/// File name shown in faults of a change that was not read from a file.
const UNNAMED_FILE: &str = "change";

/// Reads and checks the settings file of one daemon.
pub fn load_settings(path: &Path) -> Result<HostSettings, SettingsError> {
    let file = path.display().to_string();
    let text = read(path, &file)?;
    parse_settings(&file, &text)
}

/// Parses and checks the text of a settings file; `file` is its name in faults.
pub fn parse_settings(file: &str, text: &str) -> Result<HostSettings, SettingsError> {
    host::parse(file, text)
}

/// Reads a change file and returns its edits in the order of the file.
pub fn load_change(path: &Path) -> Result<Vec<Edit>, SettingsError> {
    let file = path.display().to_string();
    let text = read(path, &file)?;
    change::parse(&file, &text)
}

/// Parses the text of a change and returns its edits in the order of the text.
pub fn parse_change(text: &str) -> Result<Vec<Edit>, SettingsError> {
    change::parse(UNNAMED_FILE, text)
}

fn read(path: &Path, file: &str) -> Result<String, SettingsError> {
    fs::read_to_string(path).map_err(|error| {
        let message = format!("cannot be read: {error}");
        SettingsError { faults: vec![Fault::of_file(file, message)] }
    })
}
