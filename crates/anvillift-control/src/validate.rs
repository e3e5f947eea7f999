//! Checks of a change before it is accepted.

use std::collections::BTreeMap;

use anvillift_schema::configuration::{Change, Configuration, Edit, Profile, Team};
use anvillift_schema::name::Name;

const MAX_NAME_BYTES: usize = 128;
const MAX_EDITS: usize = 4_096;
const MAX_MILLI: u32 = 1_000;
const KEY_HASH_DIGITS: usize = 64;

/// Why a change is not valid.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
pub enum Invalid {
    /// There is nothing to do, or too much.
    #[snafu(display("a change has 1 to {MAX_EDITS} edits"))]
    EditCount,
    /// A name is empty, too long or has characters that do not belong there.
    #[snafu(display("{name:?} is not a valid name"))]
    BadName {
        /// Name.
        name: Name,
    },
    /// Something to be removed is not there.
    #[snafu(display("there is no {kind} {name} to remove"))]
    Missing {
        /// Kind.
        kind: &'static str,
        /// Name.
        name: Name,
    },
    /// A service names a profile that is not there.
    #[snafu(display("service {service} names profile {profile}, which does not exist"))]
    NoProfile {
        /// Service.
        service: Name,
        /// Profile.
        profile: Name,
    },
    /// A value is out of its bounds.
    #[snafu(display("{name}: {field} is out of bounds"))]
    OutOfBounds {
        /// Profile or team.
        name: Name,
        /// Field.
        field: &'static str,
    },
    /// A key hash is malformed.
    #[snafu(display(
        "team {team}: a key hash has {KEY_HASH_DIGITS} lower-case hexadecimal digits"
    ))]
    BadKeyHash {
        /// Team.
        team: Name,
    },
    /// Two teams have the same key.
    #[snafu(display("teams {first} and {second} have the same key"))]
    SharedKey {
        /// Team.
        first: Name,
        /// Other team.
        second: Name,
    },
}

/// Checks the edits by themselves.
pub(crate) fn edits(change: &Change, before: &Configuration) -> Result<(), Invalid> {
    if change.edits.is_empty() || change.edits.len() > MAX_EDITS {
        return Err(Invalid::EditCount);
    }
    name(&change.change_id)?;
    change.edits.iter().try_for_each(|edit| match edit {
        Edit::PutProfile(profile) => check_profile(profile),
        Edit::PutService(service) => name(&service.name),
        Edit::PutTeam(team) => check_team(team),
        Edit::RemoveProfile(name) => there("profile", name, before.profiles.contains_key(name)),
        Edit::RemoveService(name) => there("service", name, before.services.contains_key(name)),
        Edit::RemoveTeam(name) => there("team", name, before.teams.contains_key(name)),
    })
}

/// Checks what the edits lead to.
pub(crate) fn outcome(change: &Change, after: &Configuration) -> Result<(), Invalid> {
    let services = change
        .edits
        .iter()
        .any(|edit| matches!(edit, Edit::PutService(_) | Edit::RemoveProfile(_)));
    if services {
        profiles_exist(after)?;
    }
    if change.edits.iter().any(|edit| matches!(edit, Edit::PutTeam(_))) {
        keys_are_distinct(after)?;
    }
    Ok(())
}

fn there(kind: &'static str, name: &Name, there: bool) -> Result<(), Invalid> {
    if there { Ok(()) } else { Err(Invalid::Missing { kind, name: name.clone() }) }
}

fn name(name: &Name) -> Result<(), Invalid> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    let valid = !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(allowed);
    if valid { Ok(()) } else { Err(Invalid::BadName { name: name.clone() }) }
}

fn check_profile(profile: &Profile) -> Result<(), Invalid> {
    name(&profile.name)?;
    profile.places.iter().try_for_each(name)?;
    let bounds = [
        ("objective_milli", profile.objective_milli <= MAX_MILLI),
        ("retry_share_milli", profile.retry_share_milli <= MAX_MILLI),
        ("deadline_ms", profile.deadline_ms > 0),
        ("max_body_bytes", profile.max_body_bytes > 0),
        ("command_retention_ms", profile.command_retention_ms > 0),
    ];
    match bounds.iter().find(|(_, within)| !within) {
        Some((field, _)) => Err(Invalid::OutOfBounds { name: profile.name.clone(), field }),
        None => Ok(()),
    }
}

fn check_team(team: &Team) -> Result<(), Invalid> {
    name(&team.name)?;
    team.home.iter().try_for_each(name)?;
    let digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    let hash = |hash: &String| hash.len() == KEY_HASH_DIGITS && hash.chars().all(digit);
    if team.key_hashes.iter().all(hash) {
        Ok(())
    } else {
        Err(Invalid::BadKeyHash { team: team.name.clone() })
    }
}

fn profiles_exist(configuration: &Configuration) -> Result<(), Invalid> {
    let mut services = configuration.services.values();
    match services.find(|service| !configuration.profiles.contains_key(&service.profile)) {
        Some(service) => Err(Invalid::NoProfile {
            service: service.name.clone(),
            profile: service.profile.clone(),
        }),
        None => Ok(()),
    }
}

fn keys_are_distinct(configuration: &Configuration) -> Result<(), Invalid> {
    let mut owners: BTreeMap<&str, &Name> = BTreeMap::new();
    for team in configuration.teams.values() {
        for hash in &team.key_hashes {
            if let Some(first) = owners.insert(hash, &team.name)
                && *first != team.name
            {
                return Err(Invalid::SharedKey { first: first.clone(), second: team.name.clone() });
            }
        }
    }
    Ok(())
}
