//! The change under check, with the configurations before and after it.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_control as control;
use anvillift_schema::configuration::{Configuration, Edit, ServiceKind};
use anvillift_schema::name::Name;

use crate::baseline::Baseline;
use crate::change_draft::ChangeDraft;
use crate::draft_edit::DraftEdit;
use crate::finding::Finding;
use crate::finding_code::FindingCode;
use crate::known_places::KnownPlaces;

/// A change with the configurations before and after it.
pub(super) struct Subject<'a> {
    /// The change as it was read.
    pub(super) draft: &'a ChangeDraft,
    /// Configuration in force; empty if it is unknown.
    pub(super) before: Configuration,
    /// Configuration after the change; only the entries of the file if the one in force is
    /// unknown.
    pub(super) after: Configuration,
    /// Whether the configuration in force is known.
    pub(super) is_compared: bool,
    /// Regions and data centres; `None` if they are unknown.
    pub(super) places: Option<&'a KnownPlaces>,
    /// Profiles in use after the change, and whether a plain service is among their services.
    pub(super) plain_by_profile: BTreeMap<Name, bool>,
    /// Kinds and names of the entries in the file.
    pub(super) entries: BTreeSet<(&'static str, &'a Name)>,
    /// Titles of sections with faults, whose values may be defaults.
    pub(super) faulty_titles: BTreeSet<&'a str>,
}

impl<'a> Subject<'a> {
    pub(super) fn new(draft: &'a ChangeDraft, baseline: Option<&'a Baseline>) -> Self {
        let before = baseline.map(|baseline| baseline.configuration.clone()).unwrap_or_default();
        let edits: Vec<Edit> = draft.edits.iter().map(|edit| edit.edit.clone()).collect();
        let mut after = before.clone();
        control::apply_edits(&mut after, &edits);
        let plain_by_profile = plain_by_profile(&after);
        Self {
            draft,
            plain_by_profile,
            entries: draft.edits.iter().map(DraftEdit::entry).collect(),
            before,
            after,
            is_compared: baseline.is_some(),
            places: baseline.and_then(|baseline| baseline.places.as_ref()),
            faulty_titles: draft.faults.iter().map(|fault| fault.section.as_str()).collect(),
        }
    }

    /// Edits of sections without faults.
    pub(super) fn sound_edits(&self) -> impl Iterator<Item = &'a DraftEdit> {
        let is_sound = |edit: &&DraftEdit| !self.faulty_titles.contains(edit.title.as_str());
        self.draft.edits.iter().filter(is_sound)
    }

    /// Creates a finding of an edit, at a key or, if the section does not give it, at the section.
    pub(super) fn finding(
        &self,
        code: FindingCode,
        edit: &DraftEdit,
        key: &str,
        text: &str,
    ) -> Finding {
        let line = edit.key_lines.get(key).copied().unwrap_or(edit.line);
        Finding::of_file(code, &self.draft.file, text).at(&edit.title, key, line)
    }
}

fn plain_by_profile(configuration: &Configuration) -> BTreeMap<Name, bool> {
    let mut plain_by_profile = BTreeMap::new();
    for service in configuration.services.values() {
        let is_plain = service.kind == ServiceKind::Plain;
        *plain_by_profile.entry(service.profile.clone()).or_default() |= is_plain;
    }
    plain_by_profile
}
