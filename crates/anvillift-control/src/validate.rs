//! Validation of a change before it is accepted.
//!
//! The edits are checked one by one against the present configuration, and then the
//! configuration that results from all of them. The state machine rejects a change for the
//! first error; [`find_invalid`] returns all of them for the check of a change before it is sent.

use std::collections::{BTreeMap, BTreeSet};
use std::iter;

use anvillift_schema::configuration::{Change, Configuration, Edit, Profile, Team};
use anvillift_schema::name::Name;

use crate::edit;

const MAX_NAME_BYTES: usize = 128;
const MAX_EDITS: usize = 4_096;
const MAX_MILLI: u32 = 1_000;
const KEY_HASH_DIGITS: usize = 64;

/// Why a change was rejected.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
pub enum InvalidChange {
    /// The change has no edits or too many.
    #[snafu(display("a change must have 1 to {MAX_EDITS} edits"))]
    EditCount,
    /// A name is empty, too long or contains characters that are not allowed.
    #[snafu(display(
        "{name:?} is not a valid name: use 1 to {MAX_NAME_BYTES} letters, digits or any of -_.:"
    ))]
    InvalidName {
        /// The name as submitted.
        name: Name,
    },
    /// The change removes something that does not exist.
    #[snafu(display("cannot remove {kind} {name}: it does not exist"))]
    Missing {
        /// `profile`, `service` or `team`.
        kind: &'static str,
        /// Name to be removed.
        name: Name,
    },
    /// A service refers to a profile that does not exist.
    #[snafu(display("service {service} refers to profile {profile}, which does not exist"))]
    UnknownProfile {
        /// Service with the reference.
        service: Name,
        /// Profile that it refers to.
        profile: Name,
    },
    /// A value of a profile is out of bounds.
    #[snafu(display("profile {name}: {field} is out of bounds"))]
    OutOfBounds {
        /// Profile with the value.
        name: Name,
        /// Field that holds the value.
        field: &'static str,
    },
    /// A key hash is not a SHA-256 hash in lower-case hexadecimal.
    #[snafu(display(
        "team {team}: a key hash must have {KEY_HASH_DIGITS} lower-case hexadecimal digits"
    ))]
    MalformedKeyHash {
        /// Team with the key hash.
        team: Name,
    },
    /// Two teams have the same key hash.
    #[snafu(display("teams {first} and {second} have the same key"))]
    SharedKey {
        /// Team that comes first by name.
        first: Name,
        /// Team that repeats its key hash.
        second: Name,
    },
}

/// All reasons for which a change with these edits would be rejected, in the order of the checks.
///
/// The id and the expected revision of the change are not part of this check.
pub fn find_invalid(edits: &[Edit], before: &Configuration) -> Vec<InvalidChange> {
    let mut invalid = edit_errors(edits, before);
    let mut after = before.clone();
    edit::apply(&mut after, edits);
    invalid.extend(result_errors(edits, &after));
    invalid
}

/// Checks the change and each edit against the configuration before the change.
pub(crate) fn check_edits(change: &Change, before: &Configuration) -> Result<(), InvalidChange> {
    check_count(&change.edits)?;
    check_name(&change.change_id)?;
    first_as_error(edit_errors(&change.edits, before))
}

/// Checks the configuration after the change.
pub(crate) fn check_result(change: &Change, after: &Configuration) -> Result<(), InvalidChange> {
    first_as_error(result_errors(&change.edits, after))
}

fn first_as_error(invalid: Vec<InvalidChange>) -> Result<(), InvalidChange> {
    invalid.into_iter().next().map_or(Ok(()), Err)
}

fn check_count(edits: &[Edit]) -> Result<(), InvalidChange> {
    let is_within = (1..=MAX_EDITS).contains(&edits.len());
    if is_within { Ok(()) } else { Err(InvalidChange::EditCount) }
}

fn edit_errors(edits: &[Edit], before: &Configuration) -> Vec<InvalidChange> {
    let mut invalid: Vec<InvalidChange> = check_count(edits).err().into_iter().collect();
    for edit in edits {
        match edit {
            Edit::PutProfile(profile) => invalid.extend(profile_errors(profile)),
            Edit::PutService(service) => invalid.extend(check_name(&service.name).err()),
            Edit::PutTeam(team) => invalid.extend(team_errors(team)),
            Edit::RemoveProfile(name) => {
                invalid.extend(missing("profile", name, before.profiles.contains_key(name)));
            }
            Edit::RemoveService(name) => {
                invalid.extend(missing("service", name, before.services.contains_key(name)));
            }
            Edit::RemoveTeam(name) => {
                invalid.extend(missing("team", name, before.teams.contains_key(name)));
            }
        }
    }
    invalid
}

fn result_errors(edits: &[Edit], after: &Configuration) -> Vec<InvalidChange> {
    let mut invalid = Vec::new();
    let affects_services =
        |edit: &Edit| matches!(edit, Edit::PutService(_) | Edit::RemoveProfile(_));
    if edits.iter().any(affects_services) {
        invalid.extend(unknown_profiles(after));
    }
    if edits.iter().any(|edit| matches!(edit, Edit::PutTeam(_))) {
        invalid.extend(shared_keys(after));
    }
    invalid
}

fn missing(kind: &'static str, name: &Name, exists: bool) -> Option<InvalidChange> {
    (!exists).then(|| InvalidChange::Missing { kind, name: name.clone() })
}

fn check_name(name: &Name) -> Result<(), InvalidChange> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    let is_valid = !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_allowed);
    if is_valid { Ok(()) } else { Err(InvalidChange::InvalidName { name: name.clone() }) }
}

fn profile_errors(profile: &Profile) -> Vec<InvalidChange> {
    let names = iter::once(&profile.name).chain(&profile.places);
    let mut invalid: Vec<InvalidChange> = names.filter_map(|name| check_name(name).err()).collect();
    let bounds = [
        ("objective_milli", profile.objective_milli <= MAX_MILLI),
        ("retry_share_milli", profile.retry_share_milli <= MAX_MILLI),
        ("deadline_ms", profile.deadline_ms > 0),
        ("max_body_bytes", profile.max_body_bytes > 0),
        ("command_retention_ms", profile.command_retention_ms > 0),
    ];
    let outside = bounds.into_iter().filter(|(_, is_within)| !is_within);
    invalid.extend(outside.map(|(field, _)| {
        let name = profile.name.clone();
        InvalidChange::OutOfBounds { name, field }
    }));
    invalid
}

fn team_errors(team: &Team) -> Vec<InvalidChange> {
    let names = iter::once(&team.name).chain(&team.home);
    let mut invalid: Vec<InvalidChange> = names.filter_map(|name| check_name(name).err()).collect();
    let is_digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    let is_well_formed =
        |hash: &String| hash.len() == KEY_HASH_DIGITS && hash.chars().all(is_digit);
    if !team.key_hashes.iter().all(is_well_formed) {
        invalid.push(InvalidChange::MalformedKeyHash { team: team.name.clone() });
    }
    invalid
}

fn unknown_profiles(configuration: &Configuration) -> Vec<InvalidChange> {
    let services = configuration.services.values();
    let unknown = services.filter(|service| !configuration.profiles.contains_key(&service.profile));
    unknown
        .map(|service| InvalidChange::UnknownProfile {
            service: service.name.clone(),
            profile: service.profile.clone(),
        })
        .collect()
}

/// One error for each pair of teams that share keys, however many keys they share.
fn shared_keys(configuration: &Configuration) -> Vec<InvalidChange> {
    let mut teams_by_hash: BTreeMap<&str, &Name> = BTreeMap::new();
    let mut pairs: BTreeSet<(&Name, &Name)> = BTreeSet::new();
    let mut invalid = Vec::new();
    for team in configuration.teams.values() {
        for hash in &team.key_hashes {
            let first = *teams_by_hash.entry(hash).or_insert(&team.name);
            if *first != team.name && pairs.insert((first, &team.name)) {
                let (first, second) = (first.clone(), team.name.clone());
                invalid.push(InvalidChange::SharedKey { first, second });
            }
        }
    }
    invalid
}
