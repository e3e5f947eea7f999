//! Change files.
//!
//! Each section puts one profile, service or team as a whole, keys left out
//! taking their defaults, or takes it away with `remove = true`. Start at
//! [`parse`].

use anvillift_schema::configuration::Edit;

use crate::configuration;
use crate::document::{Document, Section};
use crate::fault::{self, Fault, SettingsError};
use crate::hint;
use crate::reader::Reader;

/// Kinds of sections in a change file.
const KINDS: [&str; 3] = ["profile", "service", "team"];

/// Reads the edits of a change.
pub(crate) fn parse(file: &str, text: &str) -> Result<Vec<Edit>, SettingsError> {
    let mut faults = Vec::new();
    let document = Document::parse(file, text, &mut faults);
    let mut edits = Vec::new();
    for section in &document.sections {
        if KINDS.contains(&section.kind.as_str()) {
            edits.push(edit(&document, section, &mut faults));
        } else {
            let hint = hint::hint(&section.kind, &KINDS);
            faults.push(document.fault(section, format!("unknown section; {hint}")));
        }
    }
    if edits.is_empty() && faults.is_empty() {
        let message = format!("holds no edit; allowed: {}", KINDS.join(", "));
        faults.push(Fault::of_file(file, message));
    }
    fault::without_faults(edits, faults)
}

fn edit(document: &Document, section: &Section, faults: &mut Vec<Fault>) -> Edit {
    let mut reader = Reader::new(document, section);
    let remove = reader.flag("remove", false);
    let edit = match (section.kind.as_str(), remove) {
        ("profile", false) => Edit::PutProfile(configuration::profile(&mut reader)),
        ("service", false) => Edit::PutService(configuration::service(&mut reader)),
        ("team", false) => Edit::PutTeam(configuration::team(&mut reader)),
        ("profile", true) => Edit::RemoveProfile(configuration::removed(&mut reader)),
        ("service", true) => Edit::RemoveService(configuration::removed(&mut reader)),
        (_, _) => Edit::RemoveTeam(configuration::removed(&mut reader)),
    };
    reader.finish(faults);
    edit
}
