//! Keys of callers, upstreams and operators.
//!
//! Only SHA-256 hashes of keys are stored. The hash of a presented key is looked up and then
//! compared in constant time.

use std::collections::BTreeMap;

use anvillift_schema::code::Code;
use anvillift_schema::configuration::Configuration;
use anvillift_schema::name::Name;
use salvo::http::{HeaderMap, header};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::problem::Refusal;

const SCHEME: &str = "Bearer ";

/// Names of teams, by the hashes of their keys.
#[derive(Debug, Default)]
pub(crate) struct TeamKeys {
    teams: BTreeMap<String, Name>,
}

impl TeamKeys {
    pub(crate) fn new(configuration: &Configuration) -> Self {
        let hashes = |(name, team): (&Name, &anvillift_schema::configuration::Team)| {
            let name = name.clone();
            team.key_hashes.clone().into_iter().map(move |hash| (hash, name.clone()))
        };
        Self { teams: configuration.teams.iter().flat_map(hashes).collect() }
    }

    /// Finds the team of the key in the authorization header; refuses unknown keys.
    pub(crate) fn team(&self, headers: &HeaderMap) -> Result<Name, Refusal> {
        let presented = presented_hash(headers)?;
        match self.teams.get_key_value(presented.as_str()) {
            Some((hash, team)) if is_equal(hash, &presented) => Ok(team.clone()),
            _ => Err(Code::UnknownKey.into()),
        }
    }
}

/// Checks the key in the authorization header against a list of hashes. The whole list is compared,
/// so that the time does not depend on the position of a match.
pub(crate) fn check(headers: &HeaderMap, hashes: &[String]) -> Result<(), Refusal> {
    let presented = presented_hash(headers)?;
    let equal = hashes.iter().fold(false, |found, hash| found | is_equal(hash, &presented));
    if equal { Ok(()) } else { Err(Code::UnknownKey.into()) }
}

fn presented_hash(headers: &HeaderMap) -> Result<String, Refusal> {
    let value = headers.get(header::AUTHORIZATION).ok_or(Code::UnknownKey)?;
    let key = value.as_bytes().strip_prefix(SCHEME.as_bytes()).ok_or(Code::UnknownKey)?;
    Ok(hex::encode(Sha256::digest(key)))
}

fn is_equal(one: &str, other: &str) -> bool {
    one.as_bytes().ct_eq(other.as_bytes()).into()
}
