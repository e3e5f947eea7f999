//! Simulated cluster: replicas in one process under a virtual clock. Messages are
//! lost, duplicated and reordered, and disks lose what was not synced.

mod checks;
mod disk;
pub(crate) mod setup;

use checks::check_change;
use disk::Disk;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use anvillift_consensus::RoleKind;
use anvillift_consensus::{Effect, RecoveredState, Replica, ReplicaSettings, Snapshot};
use anvillift_schema::consensus::{
    ConsensusEnvelope, Entry, EntryBody, SnapshotMeta, Voter, VoterSet,
};
use anvillift_schema::name::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub(crate) const ELECTION_TIMEOUT_MS: u64 = 100;
pub(crate) const TICK_MS: u64 = 10;
const MAX_PENDING: usize = 400;

pub(crate) struct Node {
    pub(crate) replica: Option<Replica>,
    pub(crate) storage_id: Name,
    written: Disk,
    pub(crate) durable: Disk,
    unsynced: bool,
    /// The process crashes after this many more effects.
    pub(crate) crash_after_effects: Option<u32>,
    checked_index: u64,
}

struct Pending {
    from: Name,
    to: Name,
    envelope: ConsensusEnvelope,
}

/// Nodes, messages in flight, and the history against which the invariants are
/// checked.
pub(crate) struct Cluster {
    pub(crate) now_ms: u64,
    pub(crate) nodes: BTreeMap<Name, Node>,
    pub(crate) paused: BTreeSet<Name>,
    /// Pairs of sender and receiver whose messages are dropped.
    pub(crate) blocked_links: BTreeSet<(Name, Name)>,
    pub(crate) loss_percent: u32,
    pub(crate) settings: ReplicaSettings,
    pending: Vec<Pending>,
    rng: SmallRng,
    next_request: u64,
    reads: BTreeMap<u64, u64>,
    pub(crate) answered: BTreeMap<u64, u64>,
    pub(crate) committed: BTreeMap<u64, Entry>,
    leaders: BTreeMap<u64, Voter>,
    votes: BTreeMap<(Name, u64), Voter>,
    storage_count: u64,
}

pub(crate) fn host(number: usize) -> Name {
    Name::from(format!("host-{number}"))
}

impl Cluster {
    pub(crate) fn new(size: usize, seed: u64) -> Self {
        let settings = ReplicaSettings {
            group: Name::from("group"),
            form_voters: (0..size).map(host).collect(),
            election_timeout_ms: ELECTION_TIMEOUT_MS,
            heartbeat_ms: 20,
            trailing_entries: 2,
            max_message_entries: 4,
            snapshot_chunk_bytes: 3,
            ..ReplicaSettings::default()
        };
        let mut cluster = Self {
            now_ms: 0,
            nodes: BTreeMap::new(),
            paused: BTreeSet::new(),
            blocked_links: BTreeSet::new(),
            loss_percent: 0,
            settings,
            pending: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            next_request: 0,
            reads: BTreeMap::new(),
            answered: BTreeMap::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            votes: BTreeMap::new(),
            storage_count: 0,
        };
        for number in 0..size {
            cluster.wipe(&host(number));
        }
        cluster
    }

    /// Replaces a node by one with an empty disk and a new storage id, and starts
    /// it.
    pub(crate) fn wipe(&mut self, name: &Name) {
        self.storage_count += 1;
        let node = Node {
            replica: None,
            storage_id: Name::from(format!("storage-{}", self.storage_count)),
            written: Disk::default(),
            durable: Disk::default(),
            unsynced: false,
            crash_after_effects: None,
            checked_index: 0,
        };
        self.nodes.insert(name.clone(), node);
        self.start(name);
    }

    pub(crate) fn stop(&mut self, name: &Name) {
        self.nodes.get_mut(name).unwrap().replica = None;
        self.paused.remove(name);
    }

    /// Starts a node from its durable state.
    pub(crate) fn start(&mut self, name: &Name) {
        let seed = self.rng.random();
        let node = self.nodes.get_mut(name).unwrap();
        if node.replica.is_some() {
            return;
        }
        node.written = node.durable.clone();
        node.unsynced = false;
        node.crash_after_effects = None;
        node.checked_index = 0;
        let disk = node.durable.clone();
        let recovered = RecoveredState {
            vote: disk.vote,
            snapshot: disk.snapshot,
            entries: disk.entries,
            refetch_upto: disk.refetch_upto,
        };
        let identity = Voter { host: name.clone(), storage_id: node.storage_id.clone() };
        node.replica = Some(Replica::new(self.settings.clone(), identity, recovered, seed));
    }

    /// Stops a node and truncates its durable log to the first `kept` entries.
    pub(crate) fn damage(&mut self, name: &Name, kept: usize) {
        self.stop(name);
        let disk = &mut self.nodes.get_mut(name).unwrap().durable;
        if kept < disk.entries.len() {
            disk.refetch_upto = Some(disk.last_index());
            disk.entries.truncate(kept);
        }
    }

    /// Newest committed voters and learners.
    pub(crate) fn voters(&self) -> Option<&VoterSet> {
        self.committed.values().rev().find_map(|entry| match &entry.body {
            EntryBody::Voters(voters) => Some(voters),
            _ => None,
        })
    }

    /// Whether every node is a voter with its current disk and has a complete
    /// log, so that the group can tolerate the loss of another disk.
    pub(crate) fn is_fully_replicated(&self) -> bool {
        self.nodes.iter().all(|(name, node)| {
            let identity = Voter { host: name.clone(), storage_id: node.storage_id.clone() };
            node.durable.refetch_upto.is_none()
                && self.voters().is_some_and(|voters| voters.voters.contains(&identity))
        })
    }

    pub(crate) fn leader(&self) -> Option<Name> {
        let is_leader = |node: &Node| {
            node.replica.as_ref().is_some_and(|replica| replica.status().role == RoleKind::Leader)
        };
        let leaders = self.nodes.iter().filter(|(_, node)| is_leader(node));
        leaders
            .max_by_key(|(_, node)| node.replica.as_ref().map(|replica| replica.status().term))
            .map(|(name, _)| name.clone())
    }

    /// Calls a replica and performs the effects that it returns, unless the node
    /// is paused or stopped.
    pub(crate) fn call(
        &mut self,
        name: &Name,
        call: impl FnOnce(&mut Replica, u64) -> Vec<Effect>,
    ) {
        let now_ms = self.now_ms;
        if self.paused.contains(name) {
            return;
        }
        let node = self.nodes.get_mut(name).unwrap();
        let Some(replica) = &mut node.replica else { return };
        let effects = call(replica, now_ms);
        self.check(name);
        self.perform(name, effects);
    }

    fn perform(&mut self, name: &Name, effects: Vec<Effect>) {
        for effect in effects {
            let node = self.nodes.get_mut(name).unwrap();
            if let Some(remaining) = &mut node.crash_after_effects {
                if *remaining == 0 {
                    node.replica = None;
                    return;
                }
                *remaining -= 1;
            }
            if !matches!(effect, Effect::Append { .. }) && !effect.can_precede_append() {
                self.sync(name);
            }
            self.perform_one(name, effect);
        }
    }

    fn perform_one(&mut self, name: &Name, effect: Effect) {
        let node = self.nodes.get_mut(name).unwrap();
        match effect {
            Effect::Append { entries } => {
                check_change(node.replica.as_ref(), &entries);
                node.written.append(entries);
                node.unsynced = true;
            }
            Effect::SaveVote { vote } => {
                self.check_vote(name, &vote);
                self.write(name, |disk| disk.vote = Some(vote.clone()));
            }
            Effect::InstallSnapshot { meta, data } => self.write(name, |disk| {
                let data = Arc::clone(&data);
                disk.snapshot = Some(Snapshot { meta: meta.clone(), data });
                disk.entries.clear();
            }),
            Effect::RefetchDone => self.write(name, |disk| disk.refetch_upto = None),
            Effect::Send { to, envelope } => {
                self.check_granted(name, &to, &envelope);
                let is_lost = self.rng.random_range(0..100) < self.loss_percent;
                if !is_lost && self.pending.len() < MAX_PENDING {
                    self.pending.push(Pending { from: name.clone(), to, envelope });
                }
            }
            Effect::Apply { index, command } => {
                let body = &self.committed[&index].body;
                assert_eq!(*body, EntryBody::Command(command.into()), "applied at {index}");
            }
            Effect::Answer { request_id, result } => self.check_answer(request_id, result),
        }
    }

    fn write(&mut self, name: &Name, change: impl Fn(&mut Disk)) {
        let node = self.nodes.get_mut(name).unwrap();
        change(&mut node.written);
        change(&mut node.durable);
    }

    /// Makes all written data durable and reports it to the replica.
    pub(crate) fn sync(&mut self, name: &Name) {
        let now_ms = self.now_ms;
        let node = self.nodes.get_mut(name).unwrap();
        if !node.unsynced {
            return;
        }
        node.unsynced = false;
        node.durable = node.written.clone();
        let last_index = node.durable.last_index();
        if let Some(replica) = &mut node.replica {
            let effects = replica.synced(now_ms, last_index);
            self.check(name);
            self.perform(name, effects);
        }
    }

    /// Advances the clock tick by tick; in each tick, all nodes run and messages
    /// are delivered.
    pub(crate) fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.now_ms += TICK_MS;
            self.check_leases();
            for name in self.nodes.keys().cloned().collect::<Vec<_>>() {
                self.call(&name, |replica, now_ms| replica.tick(now_ms));
                if self.rng.random_range(0..100) < 60 && !self.paused.contains(&name) {
                    self.sync(&name);
                }
            }
            self.deliver();
        }
    }

    fn deliver(&mut self) {
        for _ in 0..self.pending.len() {
            let position = self.rng.random_range(0..self.pending.len());
            let is_delayed = self.rng.random_range(0..100) < 25;
            let message = &self.pending[position];
            if is_delayed || self.paused.contains(&message.to) {
                continue;
            }
            let message = self.pending.swap_remove(position);
            if self.blocked_links.contains(&(message.from.clone(), message.to.clone())) {
                continue;
            }
            let Pending { from, to, envelope } = message;
            if self.rng.random_range(0..100) < self.loss_percent {
                let (from, to, envelope) = (from.clone(), to.clone(), envelope.clone());
                self.pending.push(Pending { from, to, envelope });
            }
            self.call(&to, |replica, now_ms| replica.receive(now_ms, &from, envelope));
        }
    }

    pub(crate) fn propose(&mut self, name: &Name) -> u64 {
        self.next_request += 1;
        let request_id = self.next_request;
        let command = request_id.to_be_bytes().to_vec();
        self.call(name, |replica, now_ms| {
            replica.propose(now_ms, request_id, command).unwrap_or_default()
        });
        request_id
    }

    pub(crate) fn read(&mut self, name: &Name) -> u64 {
        self.next_request += 1;
        let request_id = self.next_request;
        self.reads.insert(request_id, self.newest_answered_index());
        self.call(name, |replica, now_ms| {
            replica.read_barrier(now_ms, request_id).unwrap_or_default()
        });
        request_id
    }

    /// Takes a snapshot of the applied state of a replica.
    pub(crate) fn compact(&mut self, name: &Name) {
        let node = self.nodes.get_mut(name).unwrap();
        let Some(replica) = &mut node.replica else { return };
        let index = replica.applied_index();
        let durable = node.durable.last_index();
        let (Some(term), true) = (replica.term_at(index), index <= durable) else { return };
        let voters = replica.voters_at(index).clone();
        let meta = SnapshotMeta { index, term, voters };
        let snapshot = Snapshot { meta, data: Arc::new(vec![7; 10]) };
        if index == 0 {
            return;
        }
        replica.compact(snapshot.clone());
        self.write(name, |disk| {
            disk.snapshot = Some(snapshot.clone());
            disk.entries.retain(|entry| entry.index > index);
        });
    }

    /// Whether a read has not been answered yet.
    pub(crate) fn is_read_pending(&self, request_id: u64) -> bool {
        self.reads.contains_key(&request_id)
    }

    /// Adds every host that came back with another disk as a learner, as an
    /// operator would.
    pub(crate) fn repair(&mut self) {
        let Some(leader) = self.leader() else { return };
        for (host, storage_id) in self.identities() {
            let identity = Voter { host, storage_id };
            self.call(&leader, |replica, now_ms| {
                let members = replica.status().voters;
                let is_member = members.voters.contains(&identity);
                let is_member = is_member || members.learners.contains(&identity);
                if is_member { Vec::new() } else { add(replica, now_ms, identity) }
            });
        }
    }

    fn identities(&self) -> Vec<(Name, Name)> {
        let identity = |(name, node): (&Name, &Node)| (name.clone(), node.storage_id.clone());
        self.nodes.iter().map(identity).collect()
    }

    fn newest_answered_index(&self) -> u64 {
        self.answered.values().max().copied().unwrap_or(0)
    }
}

fn add(replica: &mut Replica, now_ms: u64, learner: Voter) -> Vec<Effect> {
    replica.add_learner(now_ms, learner).unwrap_or_default()
}
