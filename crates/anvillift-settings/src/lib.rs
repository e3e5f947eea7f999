//! Reads and checks INI settings and change files.
//!
//! A text is parsed into sections with line numbers, each section is read into
//! its typed settings, and then the references between sections are checked. All
//! faults of a file are collected, with section, key, line and what is allowed,
//! so that one run of `anvillift settings check` shows all of them. Start at
//! [`load_settings`] for the settings of a daemon, at [`parse_change`] for a change and at
//! [`check_change`] for the check of a change before it is sent.

mod baseline;
mod change;
mod change_check;
mod change_draft;
mod change_report;
mod check;
mod configuration;
mod document;
mod draft_edit;
mod fault;
mod finding;
mod finding_code;
mod hint;
mod host;
mod known_places;
mod part;
mod reader;
mod redact;
mod severity;
mod text_file;

use std::fs;
use std::path::Path;

use anvillift_schema::configuration::Edit;
use anvillift_schema::settings::HostSettings;

pub use baseline::Baseline;
pub use change_check::check_change;
pub use change_draft::ChangeDraft;
pub use change_report::ChangeReport;
pub use draft_edit::DraftEdit;
pub use fault::{Fault, SettingsError};
pub use finding::Finding;
pub use finding_code::FindingCode;
pub use known_places::KnownPlaces;
pub use severity::Severity;

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

/// Reads a change file of at most 64 MiB with its faults; fails if it cannot be read.
pub fn load_change_draft(path: &Path) -> Result<ChangeDraft, SettingsError> {
    let file = path.display().to_string();
    let text = text_file::read(path, &file)?;
    Ok(change::parse_draft(&file, &text))
}

/// Parses the text of a change with its faults; `file` is its name in findings.
pub fn parse_change_draft(file: &str, text: &str) -> ChangeDraft {
    change::parse_draft(file, text)
}

/// Reads the configuration in force from a settings or change file of at most 64 MiB.
pub fn load_baseline(path: &Path) -> Result<Baseline, SettingsError> {
    let file = path.display().to_string();
    let text = text_file::read(path, &file)?;
    Baseline::parse(&file, &text)
}

/// Parses the configuration in force from the text of a settings or change file.
pub fn parse_baseline(file: &str, text: &str) -> Result<Baseline, SettingsError> {
    Baseline::parse(file, text)
}

fn read(path: &Path, file: &str) -> Result<String, SettingsError> {
    fs::read_to_string(path).map_err(|error| {
        let message = format!("cannot be read: {error}");
        SettingsError { faults: vec![Fault::of_file(file, message)] }
    })
}
