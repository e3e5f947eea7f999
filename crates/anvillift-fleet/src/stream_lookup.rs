//! Finds the software version at which another host began a stream, from the answers of cores.
//!
//! A record of a core decides. Without one, a core of each region and all cores to which a link is
//! up must know the same single version as this host, and one of them, or this host, must have
//! seen no other one for as long as a stream may last. A host alone can't be sure: it may have
//! missed a version while it stood still or was cut off, or keep versions in mind for too short a
//! time since a configuration lowered the timeouts.
//!
//! A core without a link has not answered either, and may have the record. The lookup waits for it
//! until its timeout, see [`StreamLookup::state_at_timeout`].

use std::collections::{BTreeMap, BTreeSet};

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

/// A core that may know the version of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LookupCore {
    /// Name of the host.
    pub name: Name,
    /// Whether the others can't agree before it has answered: a link to it is up, or nothing is
    /// known of it yet.
    pub is_awaited: bool,
}

/// What the host that looks up a version knows by itself at a moment.
#[derive(Clone, Debug, Default)]
pub struct OwnKnowledge {
    /// The version; `None` if it has seen several versions, or none.
    pub version: Option<KnownVersion>,
    /// Regions of which it has ever known a core.
    pub core_regions: BTreeSet<Name>,
}

/// The answers to one lookup.
#[derive(Clone, Debug)]
pub struct StreamLookup {
    /// Cores that have yet to answer, each with whether it is awaited.
    missing: BTreeMap<Name, bool>,
    /// Regions of the cores that have answered.
    answered_regions: BTreeSet<Name>,
    answers: Vec<Option<KnownVersion>>,
}

impl StreamLookup {
    /// Begins a lookup at all cores that may know.
    pub fn new(cores: impl IntoIterator<Item = LookupCore>) -> Self {
        let missing = cores.into_iter().map(|core| (core.name, core.is_awaited)).collect();
        Self { missing, answered_regions: BTreeSet::new(), answers: Vec::new() }
    }

    /// Adds the answer of a core of a region, `None` if it can't tell. Ignored are a second one of the same
    /// core, to another lookup of the stream, and that of a core that was not known at the start,
    /// unless it has a record.
    pub fn add(&mut self, core: &Name, region: &Name, answer: Option<KnownVersion>) {
        if self.missing.remove(core).is_some() {
            self.answered_regions.insert(region.clone());
        } else if !answer.as_ref().is_some_and(is_record) {
            return;
        }
        self.answers.push(answer);
    }

    /// Whether the answers so far decide.
    pub fn state(&self, own: &OwnKnowledge) -> LookupState {
        if let Some(version) = self.recorded_version() {
            return LookupState::Decided(Some(version));
        }
        if self.missing.values().any(|is_awaited| *is_awaited) {
            return LookupState::Pending;
        }
        match self.agreed_version(own) {
            None if !self.missing.is_empty() => LookupState::Pending,
            version => LookupState::Decided(version),
        }
    }

    /// What the answers amount to once no more are waited for. A core that has not answered counts
    /// like one that is known to be silent.
    pub fn state_at_timeout(&self, own: &OwnKnowledge) -> Option<Name> {
        self.recorded_version().or_else(|| self.agreed_version(own))
    }

    /// Number of cores that have answered.
    pub fn answer_count(&self) -> usize {
        self.answers.len()
    }

    fn recorded_version(&self) -> Option<Name> {
        let record = self.answers.iter().flatten().find(|known| is_record(known));
        record.map(|known| known.version.clone())
    }

    fn agreed_version(&self, own: &OwnKnowledge) -> Option<Name> {
        let hears_all_regions = own.core_regions.is_subset(&self.answered_regions);
        let own = own.version.as_ref().filter(|_| hears_all_regions)?;
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

fn is_record(known: &KnownVersion) -> bool {
    known.evidence == FleetStreamEvidence::Record
}
