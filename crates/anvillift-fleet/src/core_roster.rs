//! Which change of the voters the leader of control makes next.
//!
//! Every core host that is heard and whose disk is no member joins, one at a
//! time. A voter that has fallen silent is removed once enough others are
//! there without it, so that a host that was replaced doesn't count for ever.

use anvillift_schema::consensus::{Voter, VoterSet};
use anvillift_schema::fleet::{FleetHost, FleetHostRole, FleetHostState};

use crate::host_table::HostTable;

/// Silence after which a voter may be removed, in milliseconds.
const REMOVE_AFTER_MS: u64 = 3_000;
/// Voters that remain at least when a silent one is removed.
const MIN_VOTERS: usize = 3;

/// A change of the voters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RosterChange {
    /// A replica joins.
    Add(Voter),
    /// A replica is removed.
    Remove(Voter),
}

/// What the leader sees of the hosts.
#[derive(Clone, Copy, Debug)]
pub struct Sight<'a> {
    /// Own name; the leader itself is never gone.
    pub me: &'a str,
    /// Hosts.
    pub hosts: &'a HostTable,
    /// Now.
    pub now_ms: u64,
    /// How long this host has led: a voter that it has never heard has been
    /// silent for that long at least.
    pub led_ms: u64,
}

/// The next change, if there is one to be made.
pub fn next_change(sight: &Sight<'_>, voters: &VoterSet) -> Option<RosterChange> {
    let Sight { hosts, now_ms, .. } = *sight;
    if let Some(learner) = voters.learners.iter().find(|learner| is_gone(sight, learner)) {
        return Some(RosterChange::Remove(learner.clone()));
    }
    if !voters.learners.is_empty() {
        return None;
    }
    let joins = |(host, alive): &(&FleetHost, bool)| {
        *alive
            && host.role == FleetHostRole::Core
            && host.state != FleetHostState::Leaving
            && !host.storage_id.is_empty()
            && !voters.voters.contains(&replica(host))
    };
    if let Some((host, _)) = hosts.iter(now_ms).find(joins) {
        return Some(RosterChange::Add(replica(host)));
    }
    let present = voters.voters.iter().filter(|voter| !is_gone(sight, voter)).count();
    let gone = voters.voters.iter().find(|voter| is_gone(sight, voter))?;
    let removable = present >= MIN_VOTERS && voters.voters.len() > MIN_VOTERS;
    removable.then(|| RosterChange::Remove(gone.clone()))
}

fn replica(host: &FleetHost) -> Voter {
    Voter { host: host.name.clone(), storage_id: host.storage_id.clone() }
}

/// Whether a replica is silent, or its host has come back with another disk.
fn is_gone(sight: &Sight<'_>, voter: &Voter) -> bool {
    if voter.host.as_str() == sight.me {
        return false;
    }
    let host = sight.hosts.get(&voter.host);
    let has_another_disk = host.is_some_and(|host| host.storage_id != voter.storage_id);
    let silent_ms = sight.hosts.silent_ms(sight.now_ms, &voter.host).unwrap_or(sight.led_ms);
    has_another_disk || silent_ms >= REMOVE_AFTER_MS
}
