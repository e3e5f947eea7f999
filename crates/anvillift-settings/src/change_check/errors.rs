//! Reasons for which a change would be rejected.

use std::collections::BTreeMap;

use anvillift_control::{self as control, InvalidChange};
use anvillift_schema::configuration::Edit;
use anvillift_schema::name::Name;

use super::subject::Subject;
use crate::draft_edit::DraftEdit;
use crate::fault::Fault;
use crate::finding::Finding;
use crate::finding_code::FindingCode;
use crate::redact;

/// The faults of the file and everything that the control state machine refuses.
pub(super) fn find(subject: &Subject<'_>) -> Vec<Finding> {
    let mut findings: Vec<Finding> = subject.draft.faults.iter().map(of_fault).collect();
    let edits: Vec<Edit> = subject.draft.edits.iter().map(|edit| edit.edit.clone()).collect();
    if edits.is_empty() {
        return findings;
    }
    let entries: Entries<'_> =
        subject.draft.edits.iter().map(|edit| (edit.entry(), edit)).collect();
    let invalid = control::find_invalid(&edits, &subject.before);
    let known = invalid.iter().filter(|invalid| is_known(subject, invalid));
    findings.extend(known.filter_map(|invalid| of_invalid(subject, &entries, invalid)));
    findings
}

/// Edits by kind and name of their entry.
type Entries<'a> = BTreeMap<(&'static str, &'a Name), &'a DraftEdit>;

fn of_fault(fault: &Fault) -> Finding {
    let is_team = fault.section.starts_with("team");
    let message = if is_team { redact::hide_value(&fault.message) } else { fault.message.clone() };
    let finding = Finding::of_file(FindingCode::InvalidFile, &fault.file, &message);
    finding.at(&fault.section, &fault.key, fault.line)
}

/// Whether an error is certain without the entries that are unknown if nothing is compared, and
/// does not repeat a fault of the file. The reader of change files has a narrower rule for names,
/// so each name that is refused here is a fault of the file as well.
fn is_known(subject: &Subject<'_>, invalid: &InvalidChange) -> bool {
    match invalid {
        InvalidChange::UnknownProfile { profile, .. } if profile.is_empty() => false,
        InvalidChange::UnknownProfile { profile, .. } => {
            let removal = Edit::RemoveProfile(profile.clone());
            subject.is_compared || subject.draft.edits.iter().any(|edit| edit.edit == removal)
        }
        InvalidChange::InvalidName { .. } => subject.draft.faults.is_empty(),
        InvalidChange::Missing { .. } => subject.is_compared,
        _ => true,
    }
}

fn of_invalid(
    subject: &Subject<'_>,
    entries: &Entries<'_>,
    invalid: &InvalidChange,
) -> Option<Finding> {
    let (code, edit, key) = match invalid {
        InvalidChange::EditCount => (FindingCode::EditCount, None, ""),
        InvalidChange::InvalidName { name } => {
            (FindingCode::InvalidName, edit_with_name(entries, name), "")
        }
        InvalidChange::Missing { kind, name } => {
            (FindingCode::Missing, entries.get(&(*kind, name)), "remove")
        }
        InvalidChange::UnknownProfile { service, profile } => {
            let service = entries.get(&("service", service));
            let edit = service.or_else(|| entries.get(&("profile", profile)));
            let key = if service.is_some() { "profile" } else { "remove" };
            (FindingCode::UnknownProfile, edit, key)
        }
        InvalidChange::OutOfBounds { name, field } => {
            (FindingCode::OutOfBounds, entries.get(&("profile", name)), *field)
        }
        InvalidChange::MalformedKeyHash { team } => {
            (FindingCode::MalformedKeyHash, entries.get(&("team", team)), "key_hashes")
        }
        InvalidChange::SharedKey { first, second } => {
            let edit = entries.get(&("team", second)).or_else(|| entries.get(&("team", first)));
            (FindingCode::SharedKey, edit, "key_hashes")
        }
    };
    let text = invalid.to_string();
    let Some(edit) = edit else {
        return Some(Finding::of_file(code, &subject.draft.file, &text));
    };
    let repeats_fault = is_of_value(code) && subject.faulty_titles.contains(edit.title.as_str());
    (!repeats_fault).then(|| subject.finding(code, edit, key, &text))
}

/// The edit of an entry with this name, whatever its kind, or one that names it.
fn edit_with_name<'a>(entries: &'a Entries<'_>, name: &Name) -> Option<&'a &'a DraftEdit> {
    entries.iter().find(|((_, entry), _)| *entry == name).map(|(_, edit)| edit)
}

/// Whether the reader of change files checks the value as well, with narrower bounds.
fn is_of_value(code: FindingCode) -> bool {
    matches!(code, FindingCode::OutOfBounds | FindingCode::MalformedKeyHash)
}
