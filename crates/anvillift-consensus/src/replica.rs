//! The replica and its entry points.

use std::collections::BTreeMap;
use std::mem;

use anvillift_schema::consensus::{
    ConsensusEnvelope, ConsensusMessage, Entry, EntryBody, Vote, Voter, VoterSet,
};
use anvillift_schema::name::Name;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::effect::{AnswerError, Effect};
use crate::log::Log;
use crate::role::{Leadership, ReplicaKey, Role, RoleKind};
use crate::settings::ReplicaSettings;
use crate::snapshot::{IncomingSnapshot, Snapshot};

/// What the storage of a replica holds when it starts.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// Vote.
    pub vote: Option<Vote>,
    /// Newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Highest index that a damaged log has held; the replica does not vote
    /// before it holds that much again.
    pub refetch_upto: Option<u64>,
}

/// Why a request was not taken.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
pub enum ProposeError {
    /// Another replica leads.
    #[snafu(display("this replica does not lead the group"))]
    NotLeader {
        /// Leader, if known.
        leader: Option<Name>,
    },
}

/// State of a replica as operators see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaStatus {
    /// Role.
    pub role: RoleKind,
    /// Leader, if known.
    pub leader: Option<Name>,
    /// Term.
    pub term: u64,
    /// Committed index.
    pub commit_index: u64,
    /// Last index of the log.
    pub last_index: u64,
    /// Newest voters and learners.
    pub voters: VoterSet,
    /// Whether a damaged log is being fetched again.
    pub refetching: bool,
}

/// A replica of the log.
#[derive(Debug)]
pub struct Replica {
    pub(crate) settings: ReplicaSettings,
    pub(crate) identity: Voter,
    pub(crate) vote: Vote,
    pub(crate) log: Log,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    pub(crate) commit_index: u64,
    pub(crate) applied_index: u64,
    pub(crate) synced_index: u64,
    pub(crate) refetch_upto: Option<u64>,
    pub(crate) role: Role,
    pub(crate) leader: Option<Name>,
    started: bool,
    /// Term when this replica started.
    pub(crate) start_term: u64,
    /// When a leader was last heard, or this replica started again under a lease.
    pub(crate) heard_ms: Option<u64>,
    /// Until when a trial is repeated soon, since the links are just coming up.
    pub(crate) starting_until_ms: u64,
    pub(crate) election_due_ms: u64,
    pub(crate) form_reports: BTreeMap<Name, Name>,
    pub(crate) form_due_ms: u64,
    pub(crate) rng: SmallRng,
    effects: Vec<Effect>,
}

impl Replica {
    /// A replica that goes on from what its storage holds.
    pub fn new(
        settings: ReplicaSettings,
        identity: Voter,
        recovered: Recovered,
        seed: u64,
    ) -> Self {
        let mut log = match &recovered.snapshot {
            Some(Snapshot { meta, .. }) => {
                Log::starting_after(meta.index, meta.term, meta.voters.clone())
            }
            None => {
                Log::starting_after(0, 0, VoterSet { voters: Vec::new(), learners: Vec::new() })
            }
        };
        let start_index = log.last_index();
        for entry in recovered.entries {
            log.push(entry);
        }
        Self {
            synced_index: log.last_index(),
            log,
            snapshot: recovered.snapshot,
            incoming_snapshot: None,
            commit_index: start_index,
            applied_index: start_index,
            refetch_upto: recovered.refetch_upto,
            role: Role::Follower,
            leader: None,
            start_term: recovered.vote.as_ref().map_or(0, |vote| vote.term),
            vote: recovered.vote.unwrap_or(Vote { term: 0, voted_for: None }),
            started: false,
            heard_ms: None,
            starting_until_ms: 0,
            election_due_ms: 0,
            form_reports: BTreeMap::new(),
            form_due_ms: 0,
            rng: SmallRng::seed_from_u64(seed),
            effects: Vec::new(),
            settings,
            identity,
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Effect> {
        self.observe(now_ms);
        if matches!(self.role, Role::Leader(_)) {
            self.tick_leader(now_ms);
        } else {
            self.tick_formation(now_ms);
            self.tick_election(now_ms);
        }
        self.take_effects()
    }

    /// Takes a message from a host.
    pub fn receive(
        &mut self,
        now_ms: u64,
        from: &Name,
        envelope: ConsensusEnvelope,
    ) -> Vec<Effect> {
        self.observe(now_ms);
        let from = Voter { host: from.clone(), storage_id: envelope.from_storage_id };
        let to = &envelope.to_storage_id;
        if envelope.group != self.settings.group {
            return self.take_effects();
        }
        if !to.is_empty() && *to != self.identity.storage_id {
            self.report_formation(&from);
            return self.take_effects();
        }
        self.dispatch(now_ms, &from, envelope.message);
        self.take_effects()
    }

    fn dispatch(&mut self, now_ms: u64, from: &Voter, message: ConsensusMessage) {
        match message {
            ConsensusMessage::VoteRequest { .. } => self.on_vote_request(now_ms, from, &message),
            ConsensusMessage::VoteResponse { term, pre_vote, granted } => {
                self.on_vote_response(now_ms, from, term, pre_vote, granted);
            }
            ConsensusMessage::AppendRequest { .. } => self.on_append_request(now_ms, from, message),
            ConsensusMessage::AppendResponse { term, match_index, success, sent_ms } => {
                if self.accept_answer(now_ms, from, term, sent_ms) {
                    self.on_append_response(now_ms, from, match_index, success);
                }
            }
            ConsensusMessage::SnapshotRequest { .. } => {
                self.on_snapshot_request(now_ms, from, message);
            }
            ConsensusMessage::SnapshotResponse { term, index, next_offset, done, sent_ms } => {
                if self.accept_answer(now_ms, from, term, sent_ms) {
                    self.on_snapshot_response(now_ms, from, index, next_offset, done);
                }
            }
            ConsensusMessage::TimeoutNow { term } => self.on_timeout_now(now_ms, term),
            ConsensusMessage::FormProbe { .. } => self.report_formation(from),
            ConsensusMessage::FormReport { unformed } => {
                self.on_form_report(now_ms, from, unformed);
            }
        }
    }

    /// Asks for a command to be committed.
    pub fn propose(
        &mut self,
        now_ms: u64,
        request_id: u64,
        command: Vec<u8>,
    ) -> Result<Vec<Effect>, ProposeError> {
        self.observe(now_ms);
        self.check_takes_proposals()?;
        let index = self.append_as_leader(now_ms, EntryBody::Command(command.into()));
        if let Role::Leader(leadership) = &mut self.role {
            leadership.proposals.insert(index, request_id);
        }
        Ok(self.take_effects())
    }

    /// Asks for the index of a state that holds every command answered so far.
    pub fn read_barrier(
        &mut self,
        now_ms: u64,
        request_id: u64,
    ) -> Result<Vec<Effect>, ProposeError> {
        self.observe(now_ms);
        self.check_takes_proposals()?;
        self.begin_read(now_ms, request_id);
        Ok(self.take_effects())
    }

    /// Takes note of what is durable: all entries appended up to an index.
    pub fn synced(&mut self, now_ms: u64, upto_index: u64) -> Vec<Effect> {
        self.observe(now_ms);
        self.synced_index = self.synced_index.max(upto_index.min(self.log.last_index()));
        if matches!(self.role, Role::Leader(_)) {
            self.advance_commit(now_ms);
        }
        self.take_effects()
    }

    /// Takes a snapshot of the machine as of an applied index, and drops the
    /// entries that it covers but for some trailing ones.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let index = snapshot.meta.index;
        if index > self.applied_index || self.snapshot_index() >= index {
            return;
        }
        self.snapshot = Some(snapshot);
        let keep_from = index.saturating_sub(self.settings.trailing_entries);
        if keep_from > self.log.offset_index() {
            self.log.drop_upto(keep_from);
        }
    }

    /// Whether the state may be read here without asking the other replicas.
    pub fn may_serve_reads(&self, now_ms: u64) -> bool {
        let Role::Leader(leadership) = &self.role else { return false };
        self.settings.reads_by_lease
            && leadership.transfer_until_ms.is_none()
            && self.commit_index >= leadership.first_index
            && now_ms < self.lease_until_ms(leadership, now_ms)
    }

    /// State of the replica.
    pub fn status(&self) -> ReplicaStatus {
        ReplicaStatus {
            role: self.role_kind(),
            leader: self.leader.clone(),
            term: self.vote.term,
            commit_index: self.commit_index,
            last_index: self.log.last_index(),
            voters: self.log.voters().clone(),
            refetching: self.refetch_upto.is_some(),
        }
    }

    /// The term of an entry, unless it is dropped or not yet there.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        self.log.term_at(index)
    }

    /// The voters as of an index.
    pub fn voters_at(&self, index: u64) -> &VoterSet {
        self.log.voters_at(index)
    }

    /// Index of the last applied entry.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// An entry that is held.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.log.entry(index)
    }

    pub(crate) fn role_kind(&self) -> RoleKind {
        match self.role {
            Role::Follower => RoleKind::Follower,
            Role::Candidate(_) => RoleKind::Candidate,
            Role::Leader(_) => RoleKind::Leader,
        }
    }

    pub(crate) fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.meta.index)
    }

    pub(crate) fn key(voter: &Voter) -> ReplicaKey {
        (voter.host.clone(), voter.storage_id.clone())
    }

    pub(crate) fn is_voter(&self, replica: &Voter) -> bool {
        self.log.voters().voters.contains(replica)
    }

    pub(crate) fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Sends to one replica of a host and to no other that the host may hold.
    pub(crate) fn send(&mut self, to: &Voter, message: ConsensusMessage) {
        self.send_to(to.host.clone(), to.storage_id.clone(), message);
    }

    pub(crate) fn send_to(&mut self, to: Name, storage_id: Name, message: ConsensusMessage) {
        let envelope = ConsensusEnvelope {
            group: self.settings.group.clone(),
            from_storage_id: self.identity.storage_id.clone(),
            to_storage_id: storage_id,
            message,
        };
        self.emit(Effect::Send { to, envelope });
    }

    /// Moves to a newer term, whose vote is free.
    pub(crate) fn enter_term(&mut self, now_ms: u64, term: u64) {
        self.become_follower(now_ms);
        self.leader = None;
        self.vote = Vote { term, voted_for: None };
        self.emit(Effect::SaveVote { vote: self.vote.clone() });
    }

    /// Gives up any candidacy or leadership.
    pub(crate) fn become_follower(&mut self, now_ms: u64) {
        let role = mem::replace(&mut self.role, Role::Follower);
        if let Role::Leader(leadership) = role {
            self.leader = None;
            self.fail_requests(leadership);
            self.reset_election_due(now_ms);
        }
    }

    fn fail_requests(&mut self, leadership: Leadership) {
        let reads = leadership.reads.into_iter().map(|read| read.request_id);
        for request_id in leadership.proposals.into_values().chain(reads) {
            self.emit(Effect::Answer { request_id, result: Err(AnswerError::Unknown) });
        }
    }

    /// Notes the start, and gives up a leadership that went without a quorum,
    /// as after a freeze, before anything else is done.
    fn observe(&mut self, now_ms: u64) {
        if !self.started {
            self.started = true;
            if !self.settings.reads_by_lease {
                self.begin_first_turn(now_ms);
                return;
            }
            self.reset_election_due(now_ms);
            // A restarted replica may have answered a leader just before.
            if self.vote.term > 0 || self.log.last_index() > 0 {
                self.heard_ms = Some(now_ms);
            }
        }
        self.check_quorum(now_ms);
    }

    fn take_effects(&mut self) -> Vec<Effect> {
        mem::take(&mut self.effects)
    }
}
