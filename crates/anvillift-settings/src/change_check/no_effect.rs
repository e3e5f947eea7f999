//! Entries and values that can never match or have no effect.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_schema::configuration::{Edit, Profile, Team};
use anvillift_schema::name::Name;

use super::subject::Subject;
use crate::draft_edit::DraftEdit;
use crate::finding::Finding;
use crate::finding_code::FindingCode;

/// Warnings about entries without effect.
pub(super) fn find(subject: &Subject<'_>) -> Vec<Finding> {
    let mut findings = replaced_sections(subject);
    findings.extend(profiles_that_lose_their_services(subject));
    for edit in subject.sound_edits() {
        match &edit.edit {
            Edit::PutProfile(profile) => {
                findings.extend(unused_profile(subject, edit, profile));
                findings.extend(hedge_of_models(subject, edit, profile));
            }
            Edit::PutTeam(team) => findings.extend(useless_keys(subject, edit, team)),
            _ => {}
        }
    }
    findings
}

/// Sections such as `[team a]` and `[team  a]` differ in their titles but not in their entry.
fn replaced_sections(subject: &Subject<'_>) -> Vec<Finding> {
    let mut later: BTreeMap<(&str, &Name), usize> = BTreeMap::new();
    let mut findings = Vec::new();
    for edit in subject.draft.edits.iter().rev() {
        if let Some(line) = later.insert(edit.entry(), edit.line) {
            let text = format!("the section in line {line} replaces this one");
            findings.push(subject.finding(FindingCode::ReplacedSection, edit, "", &text));
        }
    }
    findings
}

fn is_unused(subject: &Subject<'_>, profile: &Name) -> bool {
    !subject.plain_by_profile.contains_key(profile)
}

fn unused_profile(subject: &Subject<'_>, edit: &DraftEdit, profile: &Profile) -> Option<Finding> {
    let text = "no service uses this profile";
    (subject.is_compared && is_unused(subject, &profile.name))
        .then(|| subject.finding(FindingCode::UnusedProfile, edit, "", text))
}

/// Profiles outside the file whose last service the change removes or gives another profile.
fn profiles_that_lose_their_services(subject: &Subject<'_>) -> Vec<Finding> {
    let mut reported = BTreeSet::new();
    let mut findings = Vec::new();
    for edit in &subject.draft.edits {
        let (Edit::PutService(_) | Edit::RemoveService(_)) = &edit.edit else { continue };
        let Some(service) = subject.before.services.get(edit.entry().1) else { continue };
        let profile = &service.profile;
        let is_reported =
            subject.entries.contains(&("profile", profile)) || !reported.insert(profile);
        if !is_reported && is_unused(subject, profile) {
            let text = format!("after this change, no service uses profile {profile}");
            findings.push(subject.finding(FindingCode::UnusedProfile, edit, "", &text));
        }
    }
    findings
}

fn useless_keys(subject: &Subject<'_>, edit: &DraftEdit, team: &Team) -> Vec<Finding> {
    let finding = |code, text: &str| subject.finding(code, edit, "key_hashes", text);
    if team.key_hashes.is_empty() {
        let text = "the team has no keys, so that no request can belong to it";
        return vec![finding(FindingCode::NoKeys, text)];
    }
    let mut seen = BTreeSet::new();
    let repeated: BTreeSet<&String> =
        team.key_hashes.iter().filter(|hash| !seen.insert(*hash)).collect();
    repeated
        .into_iter()
        .map(|hash| finding(FindingCode::RepeatedKey, &format!("key hash {hash} is listed twice")))
        .collect()
}

/// Only reads of plain services are hedged, see `anvillift-routing::hedge`.
fn hedge_of_models(subject: &Subject<'_>, edit: &DraftEdit, profile: &Profile) -> Option<Finding> {
    let only_models = subject.plain_by_profile.get(&profile.name) == Some(&false);
    let text = "only model services use the profile, and their requests are not hedged";
    (profile.hedge && subject.is_compared && only_models)
        .then(|| subject.finding(FindingCode::HedgeOfModels, edit, "hedge", text))
}
