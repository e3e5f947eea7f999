//! Parses change files.
//!
//! Each section replaces one profile, service or team completely, with defaults
//! for keys that are left out, or removes it with `remove = true`. Start at
//! [`parse`].

use anvillift_schema::configuration::Edit;

use crate::change_draft::ChangeDraft;
use crate::configuration;
use crate::document::{Document, Section};
use crate::draft_edit::DraftEdit;
use crate::fault::{self, Fault, SettingsError};
use crate::hint;
use crate::reader::Reader;

/// Kinds of sections that a change file may contain.
const SECTION_KINDS: [&str; 3] = ["profile", "service", "team"];

/// Parses the text of a change into its edits.
pub(crate) fn parse(file: &str, text: &str) -> Result<Vec<Edit>, SettingsError> {
    let draft = parse_draft(file, text);
    let edits = draft.edits.into_iter().map(|edit| edit.edit).collect();
    fault::into_result(edits, draft.faults)
}

/// Parses the text of a change into its edits and faults.
pub(crate) fn parse_draft(file: &str, text: &str) -> ChangeDraft {
    let mut faults = Vec::new();
    let document = Document::parse(file, text, &mut faults);
    let mut edits = Vec::new();
    for section in &document.sections {
        if is_edit(section) {
            let edit = read_edit(&document, section, &mut faults);
            edits.push(DraftEdit::new(edit, section));
        } else {
            let hint = hint::hint(&section.kind, &SECTION_KINDS);
            faults.push(document.fault(section, format!("unknown section; {hint}")));
        }
    }
    if edits.is_empty() && faults.is_empty() {
        let message = format!("contains no edit; allowed sections: {}", SECTION_KINDS.join(", "));
        faults.push(Fault::of_file(file, message));
    }
    ChangeDraft { file: file.to_owned(), edits, faults }
}

/// Whether a change file may contain this kind of section.
pub(crate) fn is_edit(section: &Section) -> bool {
    SECTION_KINDS.contains(&section.kind.as_str())
}

fn read_edit(document: &Document, section: &Section, faults: &mut Vec<Fault>) -> Edit {
    let mut reader = Reader::new(document, section);
    let remove = reader.flag("remove", false);
    let edit = match (section.kind.as_str(), remove) {
        ("profile", false) => Edit::PutProfile(configuration::read_profile(&mut reader)),
        ("service", false) => Edit::PutService(configuration::read_service(&mut reader)),
        ("team", false) => Edit::PutTeam(configuration::read_team(&mut reader)),
        ("profile", true) => Edit::RemoveProfile(configuration::read_removed_name(&mut reader)),
        ("service", true) => Edit::RemoveService(configuration::read_removed_name(&mut reader)),
        (_, _) => Edit::RemoveTeam(configuration::read_removed_name(&mut reader)),
    };
    reader.finish(faults);
    edit
}
