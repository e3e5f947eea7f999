//! Validation of a change before it is accepted.
//!
//! The edits are checked one by one against the present configuration, and then the
//! configuration that results from all of them.

use std::collections::BTreeMap;

use anvillift_schema::configuration::{Change, Configuration, Edit, Profile, Team};
use anvillift_schema::name::Name;

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

/// Checks each edit against the configuration before the change.
pub(crate) fn check_edits(change: &Change, before: &Configuration) -> Result<(), InvalidChange> {
    if change.edits.is_empty() || change.edits.len() > MAX_EDITS {
        return Err(InvalidChange::EditCount);
    }
    check_name(&change.change_id)?;
    change.edits.iter().try_for_each(|edit| match edit {
        Edit::PutProfile(profile) => check_profile(profile),
        Edit::PutService(service) => check_name(&service.name),
        Edit::PutTeam(team) => check_team(team),
        Edit::RemoveProfile(name) => require("profile", name, before.profiles.contains_key(name)),
        Edit::RemoveService(name) => require("service", name, before.services.contains_key(name)),
        Edit::RemoveTeam(name) => require("team", name, before.teams.contains_key(name)),
    })
}

/// Checks the configuration after the change.
pub(crate) fn check_result(change: &Change, after: &Configuration) -> Result<(), InvalidChange> {
    let affects_services = change
        .edits
        .iter()
        .any(|edit| matches!(edit, Edit::PutService(_) | Edit::RemoveProfile(_)));
    if affects_services {
        check_profiles_exist(after)?;
    }
    if change.edits.iter().any(|edit| matches!(edit, Edit::PutTeam(_))) {
        check_keys_are_distinct(after)?;
    }
    Ok(())
}

fn require(kind: &'static str, name: &Name, exists: bool) -> Result<(), InvalidChange> {
    if exists { Ok(()) } else { Err(InvalidChange::Missing { kind, name: name.clone() }) }
}

fn check_name(name: &Name) -> Result<(), InvalidChange> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    let is_valid = !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_allowed);
    if is_valid { Ok(()) } else { Err(InvalidChange::InvalidName { name: name.clone() }) }
}

fn check_profile(profile: &Profile) -> Result<(), InvalidChange> {
    check_name(&profile.name)?;
    profile.places.iter().try_for_each(check_name)?;
    let bounds = [
        ("objective_milli", profile.objective_milli <= MAX_MILLI),
        ("retry_share_milli", profile.retry_share_milli <= MAX_MILLI),
        ("deadline_ms", profile.deadline_ms > 0),
        ("max_body_bytes", profile.max_body_bytes > 0),
        ("command_retention_ms", profile.command_retention_ms > 0),
    ];
    match bounds.iter().find(|(_, is_within)| !is_within) {
        Some((field, _)) => Err(InvalidChange::OutOfBounds { name: profile.name.clone(), field }),
        None => Ok(()),
    }
}

fn check_team(team: &Team) -> Result<(), InvalidChange> {
    check_name(&team.name)?;
    team.home.iter().try_for_each(check_name)?;
    let is_digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    let is_well_formed =
        |hash: &String| hash.len() == KEY_HASH_DIGITS && hash.chars().all(is_digit);
    if team.key_hashes.iter().all(is_well_formed) {
        Ok(())
    } else {
        Err(InvalidChange::MalformedKeyHash { team: team.name.clone() })
    }
}

fn check_profiles_exist(configuration: &Configuration) -> Result<(), InvalidChange> {
    let mut services = configuration.services.values();
    match services.find(|service| !configuration.profiles.contains_key(&service.profile)) {
        Some(service) => Err(InvalidChange::UnknownProfile {
            service: service.name.clone(),
            profile: service.profile.clone(),
        }),
        None => Ok(()),
    }
}

fn check_keys_are_distinct(configuration: &Configuration) -> Result<(), InvalidChange> {
    let mut teams_by_hash: BTreeMap<&str, &Name> = BTreeMap::new();
    for team in configuration.teams.values() {
        for hash in &team.key_hashes {
            if let Some(first) = teams_by_hash.insert(hash, &team.name)
                && *first != team.name
            {
                return Err(InvalidChange::SharedKey {
                    first: first.clone(),
                    second: team.name.clone(),
                });
            }
        }
    }
    Ok(())
}
