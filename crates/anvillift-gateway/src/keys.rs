//! Keys of callers, upstreams and operators, in the authorization header.
//!
//! Hashing and lookup are those of [`KeyHash`] and [`TeamKeys`]; only SHA-256 hashes of keys
//! are stored.

use anvillift_schema::code::Code;
use anvillift_schema::configuration::Configuration;
use anvillift_schema::key_hash::KeyHash;
use anvillift_schema::name::Name;
use anvillift_schema::team_keys::TeamKeys;
use salvo::http::{HeaderMap, header};

use crate::problem::Refusal;

const SCHEME: &str = "Bearer";

/// The keys of the teams of a configuration.
pub(crate) fn team_keys(configuration: &Configuration) -> TeamKeys {
    let teams = configuration.teams.iter();
    let keys = teams.flat_map(|(name, team)| team.key_hashes.iter().map(move |hash| (hash, name)));
    // The settings reader has checked that the texts are hashes.
    keys.filter_map(|(hash, name)| Some((KeyHash::parse(hash)?, name.clone()))).collect()
}

/// Finds the team of the key in the authorization header; refuses unknown keys.
pub(crate) fn team(keys: &TeamKeys, headers: &HeaderMap) -> Result<Name, Refusal> {
    let presented = presented_hash(headers)?;
    keys.team(&presented).cloned().ok_or(Code::UnknownKey.into())
}

/// Checks the key in the authorization header against a list of hashes. The whole list is compared,
/// so that the time does not depend on the position of a match.
pub(crate) fn check(headers: &HeaderMap, hashes: &[String]) -> Result<(), Refusal> {
    let presented = presented_hash(headers)?;
    let is_match =
        |hash: &String| KeyHash::parse(hash).is_some_and(|hash| hash.matches(&presented));
    let is_known = hashes.iter().fold(false, |found, hash| found | is_match(hash));
    if is_known { Ok(()) } else { Err(Code::UnknownKey.into()) }
}

fn presented_hash(headers: &HeaderMap) -> Result<KeyHash, Refusal> {
    let value = headers.get(header::AUTHORIZATION).ok_or(Code::UnknownKey)?;
    KeyHash::of_field(value.as_bytes(), SCHEME).ok_or(Code::UnknownKey.into())
}
