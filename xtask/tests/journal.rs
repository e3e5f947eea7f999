//! The check that the pages name each broken rule of the journal.

use std::fs;
use std::path::Path;
use std::process::Command;

use tempfile::TempDir;

const ENTRY: &str = "{\"id\":\"0badc0de\",\"days\":[{\"rules\":{\"BUDGET\":2}},\
                     {\"rules\":{\"LOST\":1}},{\"rules\":{}}]}";

/// A repository with one journal entry and one page.
fn repository(entry: &str, page: &str) -> TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    let root = folder.path();
    for folder in ["journal/blobs", "docs/incidents"] {
        fs::create_dir_all(root.join(folder)).expect("a folder");
    }
    fs::write(root.join("journal/20261204T000000-0badc0de.json"), entry).expect("an entry");
    fs::write(root.join("docs/INCIDENTS.md"), "# Incidents\n").expect("a page");
    fs::write(root.join("docs/incidents/one.md"), page).expect("a page");
    fs::write(root.join("KNOWN-RED.txt"), "").expect("a list");
    folder
}

/// Runs the check; the text is what it prints if it fails.
fn check(root: &Path) -> Result<(), String> {
    let program = env!("CARGO_BIN_EXE_xtask");
    let output = Command::new(program).args(["journal", "--root"]).arg(root).output();
    let output = output.expect("the check runs");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    if output.status.success() { Ok(()) } else { Err(text) }
}

/// A run breaks two rules and the pages name none of them, the entry only, or one rule: the
/// other one is lost.
#[test]
fn entry_whose_rules_are_not_all_named_fails() {
    let pages = ["", "First play: 0badc0de.", "0badc0de broke BUDGET.", "BUDGET and LOST broken."];
    for page in pages {
        let repository = repository(ENTRY, page);
        let error = check(repository.path()).expect_err(page);
        assert!(error.contains("0badc0de with BUDGET, LOST"), "{error}");
    }
}

/// An entry that is named with its rules, or broke none, fails.
#[test]
fn entries_that_are_named_or_broke_no_rule_pass() {
    let named = repository(ENTRY, "| 0badc0de | BUDGET, LOST | mended |");
    assert_eq!(check(named.path()), Ok(()));
    let clean = repository("{\"id\":\"0badc0de\",\"days\":[{\"rules\":{}}]}", "");
    assert_eq!(check(clean.path()), Ok(()));
}

/// An entry that can't be read passes as if no rule were broken.
#[test]
fn unreadable_entry_fails() {
    for entry in ["", "[]", "{\"days\":[]}"] {
        let repository = repository(entry, "");
        assert!(check(repository.path()).is_err(), "{entry}");
    }
}

/// The pages of this repository miss an entry of its own journal.
#[test]
fn journal_of_this_repository_passes() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    assert_eq!(check(&root), Ok(()));
}
