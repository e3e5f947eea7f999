//! Chooses the next change of the voters of the control log.
//!
//! Each live core host whose storage is not a member is added, one at a time. A
//! voter that stops, or that has been silent too long, is removed once enough others
//! are present, so that a host that was replaced does not count towards the majority
//! indefinitely.
//!
//! An even number of voters bears no more losses than one voter less. So the voter of a
//! host that stops is removed at once where the number is even, as after the successor of
//! that host has joined. Where it is odd, as at the restart of a host, the voter stays.

use anvillift_schema::consensus::{Voter, VoterSet};
use anvillift_schema::fleet::{FleetHost, FleetHostRole, FleetHostState};

use crate::host_table::HostTable;

/// Silence after which a voter may be removed, in milliseconds.
const REMOVE_AFTER_MS: u64 = 3_000;
/// The group is not reduced to fewer voters than this, and a silent voter is removed only
/// if at least this many are present without it.
const MIN_VOTERS: usize = 3;

/// A change of the voters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RosterChange {
    /// Adds a replica.
    Add(Voter),
    /// Removes a voter or learner.
    Remove(Voter),
}

/// The state of the hosts as one core host sees it.
#[derive(Clone, Copy, Debug)]
pub struct RosterView<'a> {
    /// Name of this host, which never counts as gone.
    pub own_name: &'a str,
    /// Hosts of the fleet.
    pub hosts: &'a HostTable,
    /// Present time, in milliseconds.
    pub now_ms: u64,
    /// Time for which this host has waited for messages of the others, in milliseconds. A
    /// host from which none has arrived counts as silent for that time.
    pub waited_ms: u64,
}

/// The change that the leader makes next, if any. While a learner catches up, a voter whose
/// host stops may be removed, and no other change is made.
pub fn next_change(view: &RosterView<'_>, voters: &VoterSet) -> Option<RosterChange> {
    if let Some(voter) = stopping_voter(view, voters) {
        return Some(RosterChange::Remove(voter.clone()));
    }
    let is_lost = |learner: &&Voter| is_gone(view, learner) || is_stopping(view, learner);
    if let Some(learner) = voters.learners.iter().find(is_lost) {
        return Some(RosterChange::Remove(learner.clone()));
    }
    if !voters.learners.is_empty() {
        return None;
    }
    if let Some(host) = joining_host(view, voters) {
        return Some(RosterChange::Add(replica(host)));
    }
    silent_voter(view, voters).map(|voter| RosterChange::Remove(voter.clone()))
}

/// Whether the voter of this host, which stops, is expected to be removed: at once, or when
/// a further host has become a voter.
pub fn is_removal_expected(view: &RosterView<'_>, voters: &VoterSet) -> bool {
    let is_own = |voter: &Voter| voter.host.as_str() == view.own_name;
    let is_staying = |voter: &Voter| !is_own(voter) && !is_gone(view, voter);
    let can_lead = |voter: &Voter| is_staying(voter) && !is_stopping(view, voter);
    if !voters.voters.iter().any(is_own) || !voters.voters.iter().any(can_lead) {
        return false;
    }
    let next_count = voters.voters.len() + usize::from(is_further_voter_expected(view, voters));
    is_reducible(next_count)
}

/// Whether a learner or a host that joins belongs to no host of the present voters.
fn is_further_voter_expected(view: &RosterView<'_>, voters: &VoterSet) -> bool {
    let is_further = |host: &str| voters.voters.iter().all(|voter| voter.host.as_str() != host);
    let joining = joining_host(view, voters).map(|host| &host.name);
    let learners = voters.learners.iter().map(|learner| &learner.host);
    learners.chain(joining).any(|host| is_further(host))
}

/// Whether a group with so many voters bears as many losses with one voter less.
fn is_reducible(count: usize) -> bool {
    count > MIN_VOTERS && count.is_multiple_of(2)
}

/// A voter whose host stops, if the group bears more losses without it. The voters that let
/// this host lead are a majority of the others.
fn stopping_voter<'a>(view: &RosterView<'_>, voters: &'a VoterSet) -> Option<&'a Voter> {
    let is_removable = is_reducible(voters.voters.len());
    voters.voters.iter().find(|voter| is_removable && is_stopping(view, voter))
}

/// A voter that is gone, if enough others are present.
fn silent_voter<'a>(view: &RosterView<'_>, voters: &'a VoterSet) -> Option<&'a Voter> {
    let present_count = voters.voters.iter().filter(|voter| !is_gone(view, voter)).count();
    let is_removable = present_count >= MIN_VOTERS && voters.voters.len() > MIN_VOTERS;
    voters.voters.iter().find(|voter| is_removable && is_gone(view, voter))
}

/// A core host that can become a member. It needs a link to the leader, from which it
/// receives the log.
fn joining_host<'a>(view: &RosterView<'a>, voters: &VoterSet) -> Option<&'a FleetHost> {
    let RosterView { hosts, now_ms, .. } = *view;
    let can_join = |host: &&FleetHost| {
        hosts.is_direct(now_ms, &host.name)
            && host.role == FleetHostRole::Core
            && host.state != FleetHostState::Leaving
            && !host.storage_id.is_empty()
            && !voters.voters.contains(&replica(host))
    };
    hosts.iter(now_ms).map(|(host, _)| host).find(can_join)
}

fn replica(host: &FleetHost) -> Voter {
    Voter { host: host.name.clone(), storage_id: host.storage_id.clone() }
}

/// Whether the host of a replica has announced its planned stop.
fn is_stopping(view: &RosterView<'_>, voter: &Voter) -> bool {
    let host = view.hosts.get(&voter.host).filter(|_| voter.host.as_str() != view.own_name);
    host.is_some_and(|host| host.state == FleetHostState::Leaving)
}

/// Whether a replica has been silent too long, or its host has returned with other storage.
fn is_gone(view: &RosterView<'_>, voter: &Voter) -> bool {
    if voter.host.as_str() == view.own_name {
        return false;
    }
    let host = view.hosts.get(&voter.host);
    let has_other_storage = host.is_some_and(|host| host.storage_id != voter.storage_id);
    let silence_ms = view.hosts.direct_silence_ms(view.now_ms, &voter.host);
    has_other_storage || silence_ms.unwrap_or(view.waited_ms) >= REMOVE_AFTER_MS
}
