//! Places of profiles and homes of teams that match no host, or not each other.

use anvillift_schema::configuration::{Edit, Profile, Team};
use anvillift_schema::name::Name;

use super::home_regions::HomeRegions;
use super::subject::Subject;
use crate::draft_edit::DraftEdit;
use crate::finding::Finding;
use crate::finding_code::FindingCode;
use crate::hint;
use crate::known_places::KnownPlaces;

/// Number of names that a text lists.
const MAX_LISTED: usize = 3;

/// Warnings about places and homes; none if the places of the hosts are unknown.
pub(super) fn find(subject: &Subject<'_>) -> Vec<Finding> {
    let Some(known) = subject.places else { return Vec::new() };
    let homes = HomeRegions::new(&subject.after, known);
    let mut findings = Vec::new();
    for edit in subject.sound_edits() {
        match &edit.edit {
            Edit::PutProfile(profile) => {
                findings.extend(unknown_places(subject, known, edit, profile));
                findings.extend(teams_outside(subject, &homes, edit, profile));
            }
            Edit::PutTeam(team) => {
                findings.extend(unknown_home(subject, known, edit, team));
                findings.extend(profiles_outside(subject, &homes, edit, team));
            }
            _ => {}
        }
    }
    findings
}

/// One finding for all unknown places of a profile, whose list has no bound but the file's size.
fn unknown_places(
    subject: &Subject<'_>,
    known: &KnownPlaces,
    edit: &DraftEdit,
    profile: &Profile,
) -> Option<Finding> {
    let unknown: Vec<&Name> =
        profile.places.iter().filter(|place| !known.is_place(place)).collect();
    let hint = hint::hint(unknown.first()?, &known.place_names());
    let text = format!("no known region or data centre: {}; {hint}", list(&unknown));
    Some(subject.finding(FindingCode::UnknownPlace, edit, "places", &text))
}

fn unknown_home(
    subject: &Subject<'_>,
    known: &KnownPlaces,
    edit: &DraftEdit,
    team: &Team,
) -> Option<Finding> {
    let home = team.home.as_ref().filter(|home| !known.is_region(home))?;
    let hint = hint::hint(home, &known.region_names());
    let text = format!("no known region: {home}; {hint}");
    Some(subject.finding(FindingCode::UnknownHome, edit, "home", &text))
}

fn profiles_outside(
    subject: &Subject<'_>,
    homes: &HomeRegions<'_>,
    edit: &DraftEdit,
    team: &Team,
) -> Option<Finding> {
    let home = team.home.as_ref()?;
    let profiles = homes.profiles_outside(home);
    let text = format!("`{home}` is outside the places of: {}", list(profiles));
    (!profiles.is_empty())
        .then(|| subject.finding(FindingCode::NoCommonRegion, edit, "home", &text))
}

/// Teams in the file are left out, since they get a finding of their own.
fn teams_outside(
    subject: &Subject<'_>,
    homes: &HomeRegions<'_>,
    edit: &DraftEdit,
    profile: &Profile,
) -> Option<Finding> {
    let mut teams = homes.teams_outside(&profile.name);
    teams.retain(|team| !subject.entries.contains(&("team", *team)));
    let text = format!("no place is in the home of: {}", list(&teams));
    (!teams.is_empty()).then(|| subject.finding(FindingCode::NoCommonRegion, edit, "places", &text))
}

fn list(names: &[&Name]) -> String {
    let listed: Vec<&str> = names.iter().take(MAX_LISTED).map(|name| name.as_str()).collect();
    let listed = listed.join(", ");
    match names.len().saturating_sub(MAX_LISTED) {
        0 => listed,
        more => format!("{listed} and {more} more"),
    }
}
