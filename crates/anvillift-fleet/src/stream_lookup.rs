//! Finds the software version at which another host began a stream, from the answers of cores.
//!
//! A record of a core decides. Without one, all that were asked must know the same single
//! version, and one of them, or this host, must have seen no other one for as long as a
//! stream may last. A host alone can't be sure: it may have missed a version while it stood still
//! or was cut off, or keep versions in mind for too short a time since a configuration
//! lowered the timeouts.

use std::collections::BTreeSet;

use anvillift_schema::fleet::FleetStreamEvidence;
use anvillift_schema::name::Name;

use crate::stream_origin::KnownVersion;

/// Whether a lookup needs more answers, or what came out of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LookupState {
    /// More answers are needed.
    Pending,
    /// The version is known, or `None` if nobody can tell.
    Decided(Option<Name>),
}

/// The answers to one lookup.
#[derive(Clone, Debug)]
pub struct StreamLookup {
    /// What this host knows by itself; `None` if it has seen several versions, or none.
    own: Option<KnownVersion>,
    /// Whether a core of each region was asked.
    asks_all_regions: bool,
    /// Cores that have yet to answer.
    missing: BTreeSet<Name>,
    answers: Vec<Option<KnownVersion>>,
}

impl StreamLookup {
    /// Begins a lookup at some cores.
    pub fn new(
        own: Option<KnownVersion>,
        asks_all_regions: bool,
        cores: impl IntoIterator<Item = Name>,
    ) -> Self {
        Self { own, asks_all_regions, missing: cores.into_iter().collect(), answers: Vec::new() }
    }

    /// Adds the answer of a core, `None` if it can't tell. A second one of the same core, to
    /// another lookup of the stream, is ignored.
    pub fn add(&mut self, core: &Name, answer: Option<KnownVersion>) {
        if self.missing.remove(core) {
            self.answers.push(answer);
        }
    }

    /// Whether the answers so far decide.
    pub fn state(&self) -> LookupState {
        let is_record = |known: &&KnownVersion| known.evidence == FleetStreamEvidence::Record;
        if let Some(known) = self.answers.iter().flatten().find(is_record) {
            LookupState::Decided(Some(known.version.clone()))
        } else if !self.missing.is_empty() {
            LookupState::Pending
        } else {
            LookupState::Decided(self.agreed_version())
        }
    }

    fn agreed_version(&self) -> Option<Name> {
        let own = self.own.as_ref().filter(|_| self.asks_all_regions)?;
        let agrees = |answer: &Option<KnownVersion>| {
            answer.as_ref().is_some_and(|known| known.version == own.version)
        };
        let is_certain =
            |known: &KnownVersion| known.evidence == FleetStreamEvidence::OnlyVersionForRetention;
        let is_vouched_for = is_certain(own) || self.answers.iter().flatten().any(is_certain);
        let is_agreed = !self.answers.is_empty() && self.answers.iter().all(agrees);
        (is_agreed && is_vouched_for).then(|| own.version.clone())
    }
}
