//! Chooses the next change of the voters of the control log.
//!
//! Each live core host whose storage is not a member is added, one at a time. A
//! voter that has been silent too long is removed once enough others are present,
//! so that a host that was replaced does not count towards the majority
//! indefinitely.

use anvillift_schema::consensus::{Voter, VoterSet};
use anvillift_schema::fleet::{FleetHost, FleetHostRole, FleetHostState};

use crate::host_table::HostTable;

/// Silence after which a voter may be removed, in milliseconds.
const REMOVE_AFTER_MS: u64 = 3_000;
/// A silent voter is removed only if at least this many voters are present without it.
const MIN_VOTERS: usize = 3;

/// A change of the voters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RosterChange {
    /// Adds a replica.
    Add(Voter),
    /// Removes a voter or learner.
    Remove(Voter),
}

/// The state of the hosts as the leader sees it.
#[derive(Clone, Copy, Debug)]
pub struct LeaderView<'a> {
    /// Name of the leader, which never counts as gone.
    pub own_name: &'a str,
    /// Hosts of the fleet.
    pub hosts: &'a HostTable,
    /// Present time, in milliseconds.
    pub now_ms: u64,
    /// How long this host has been leader, in milliseconds. A voter that is
    /// not in the host table counts as silent for that time.
    pub leader_for_ms: u64,
}

/// The change to make next, if any. While a learner catches up, no other change is made.
pub fn next_change(view: &LeaderView<'_>, voters: &VoterSet) -> Option<RosterChange> {
    let LeaderView { hosts, now_ms, .. } = *view;
    if let Some(learner) = voters.learners.iter().find(|learner| is_gone(view, learner)) {
        return Some(RosterChange::Remove(learner.clone()));
    }
    if !voters.learners.is_empty() {
        return None;
    }
    let can_join = |(host, alive): &(&FleetHost, bool)| {
        *alive
            && host.role == FleetHostRole::Core
            && host.state != FleetHostState::Leaving
            && !host.storage_id.is_empty()
            && !voters.voters.contains(&replica(host))
    };
    if let Some((host, _)) = hosts.iter(now_ms).find(can_join) {
        return Some(RosterChange::Add(replica(host)));
    }
    let present_count = voters.voters.iter().filter(|voter| !is_gone(view, voter)).count();
    let gone_voter = voters.voters.iter().find(|voter| is_gone(view, voter))?;
    let is_removable = present_count >= MIN_VOTERS && voters.voters.len() > MIN_VOTERS;
    is_removable.then(|| RosterChange::Remove(gone_voter.clone()))
}

fn replica(host: &FleetHost) -> Voter {
    Voter { host: host.name.clone(), storage_id: host.storage_id.clone() }
}

/// Whether a replica has been silent too long, or its host has returned with other storage.
fn is_gone(view: &LeaderView<'_>, voter: &Voter) -> bool {
    if voter.host.as_str() == view.own_name {
        return false;
    }
    let host = view.hosts.get(&voter.host);
    let has_other_storage = host.is_some_and(|host| host.storage_id != voter.storage_id);
    let silent_ms = view.hosts.silent_ms(view.now_ms, &voter.host).unwrap_or(view.leader_for_ms);
    has_other_storage || silent_ms >= REMOVE_AFTER_MS
}
