//! Checks that the pages name each broken rule of the journal.
//!
//! Every entry of a day in which a rule was broken must stand on a line of the pages with
//! its id and the names of these rules, so that none is lost on the way from a run to a
//! report.

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use serde_json::Value;
use snafu::{ResultExt, ensure};

/// Pages that report on broken rules, and folders of them.
const PAGES: [&str; 3] = ["docs/INCIDENTS.md", "docs/incidents", "KNOWN-RED.txt"];

/// Check that the pages name each broken rule of the journal.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "journal")]
pub(crate) struct Journal {
    /// folder of the repository (default: the current one)
    #[argh(option, default = "PathBuf::from(\".\")")]
    root: PathBuf,
}

/// Why the journal or the pages do not pass.
#[derive(Debug, snafu::Snafu)]
pub(crate) enum JournalError {
    /// A file can't be read.
    #[snafu(display("can't read {}: {source}", path.display()))]
    Read { path: PathBuf, source: io::Error },
    /// An entry is no JSON object with an id.
    #[snafu(display("{} is no entry of the journal: {reason}", path.display()))]
    Entry { path: PathBuf, reason: String },
    /// Entries with broken rules that no page names.
    #[snafu(display("no line of {} names: {}", PAGES.join(", "), unnamed.join("; ")))]
    Unnamed { unnamed: Vec<String> },
}

/// A run in which rules were broken.
struct BrokenRun {
    id: String,
    rules: BTreeSet<String>,
}

impl Journal {
    pub(crate) fn execute(&self) -> Result<(), JournalError> {
        let mut lines = Vec::new();
        for page in PAGES {
            read_lines(&self.root.join(page), &mut lines)?;
        }
        let mut unnamed = Vec::new();
        for path in files_in(&self.root.join("journal"))? {
            if path.extension().is_none_or(|extension| extension != "json") {
                continue;
            }
            let run = broken_run(&path)?;
            if !run.rules.is_empty() && !lines.iter().any(|line| run.is_named_by(line)) {
                let rules: Vec<&str> = run.rules.iter().map(String::as_str).collect();
                unnamed.push(format!("{} with {}", run.id, rules.join(", ")));
            }
        }
        ensure!(unnamed.is_empty(), UnnamedSnafu { unnamed });
        Ok(())
    }
}

impl BrokenRun {
    fn is_named_by(&self, line: &str) -> bool {
        line.contains(&self.id) && self.rules.iter().all(|rule| line.contains(rule))
    }
}

/// The rules that were broken on any day of an entry.
fn broken_run(path: &Path) -> Result<BrokenRun, JournalError> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let entry: Value = serde_json::from_str(&text).map_err(|error| JournalError::Entry {
        path: path.to_owned(),
        reason: error.to_string(),
    })?;
    let reason = "it has no id";
    let Some(id) = entry["id"].as_str() else { return EntrySnafu { path, reason }.fail() };
    let days = entry["days"].as_array().map(Vec::as_slice).unwrap_or_default();
    let rules = days.iter().filter_map(|day| day["rules"].as_object());
    let rules = rules.flat_map(|rules| rules.keys().cloned()).collect();
    Ok(BrokenRun { id: id.to_owned(), rules })
}

/// Adds the lines of a page, or of all pages in a folder.
fn read_lines(path: &Path, lines: &mut Vec<String>) -> Result<(), JournalError> {
    if path.is_dir() {
        for file in files_in(path)? {
            read_lines(&file, lines)?;
        }
        return Ok(());
    }
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    lines.extend(text.lines().map(str::to_owned));
    Ok(())
}

fn files_in(folder: &Path) -> Result<Vec<PathBuf>, JournalError> {
    let entries = fs::read_dir(folder).context(ReadSnafu { path: folder })?;
    let paths: io::Result<Vec<PathBuf>> = entries.map(|entry| Ok(entry?.path())).collect();
    let mut paths = paths.context(ReadSnafu { path: folder })?;
    paths.sort();
    Ok(paths)
}
