//! The replica and its public entry points.
//!
//! Each entry point first updates the state that depends on time, then handles
//! its input, and returns the effects that this caused.

use std::collections::BTreeMap;
use std::mem;

use anvillift_schema::consensus::{
    ConsensusEnvelope, ConsensusMessage, EntryBody, Vote, Voter, VoterSet,
};
use anvillift_schema::name::Name;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::effect::Effect;
use crate::log::Log;
use crate::propose_error::ProposeError;
use crate::recovered_state::RecoveredState;
use crate::role::{ReplicaKey, Role, RoleKind};
use crate::settings::ReplicaSettings;
use crate::snapshot::{IncomingSnapshot, Snapshot};

/// One replica of a replicated log.
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
    /// Term when this replica started. Before its start it acknowledged nothing
    /// in later terms.
    pub(crate) start_term: u64,
    /// Time of the last contact with a leader, or `None` if there was none. With
    /// `lease_reads`, the restart of a replica counts as a contact.
    pub(crate) last_leader_contact_ms: Option<u64>,
    /// End of the startup phase, in which pre-votes are repeated at short
    /// intervals because the links between the hosts are just coming up.
    pub(crate) startup_until_ms: u64,
    pub(crate) election_due_ms: u64,
    pub(crate) form_reports: BTreeMap<Name, Name>,
    pub(crate) form_due_ms: u64,
    pub(crate) rng: SmallRng,
    effects: Vec<Effect>,
}

impl Replica {
    /// Creates a replica that continues from the state of its storage.
    pub fn new(
        settings: ReplicaSettings,
        identity: Voter,
        recovered: RecoveredState,
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
            last_leader_contact_ms: None,
            startup_until_ms: 0,
            election_due_ms: 0,
            form_reports: BTreeMap::new(),
            form_due_ms: 0,
            rng: SmallRng::seed_from_u64(seed),
            effects: Vec::new(),
            settings,
            identity,
        }
    }

    /// Handles timers that are due at `now_ms`, such as heartbeats and election
    /// timeouts.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Effect> {
        self.update_time(now_ms);
        if matches!(self.role, Role::Leader(_)) {
            self.tick_leader(now_ms);
        } else {
            self.tick_formation(now_ms);
            self.tick_election(now_ms);
        }
        self.take_effects()
    }

    /// Handles a message from a host. A message for another group is ignored. One
    /// for another storage id of this host is answered with a formation report,
    /// which shows the sender that the storage has changed.
    pub fn receive(
        &mut self,
        now_ms: u64,
        from: &Name,
        envelope: ConsensusEnvelope,
    ) -> Vec<Effect> {
        self.update_time(now_ms);
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
                if self.accept_response(now_ms, from, term, sent_ms) {
                    self.on_append_response(now_ms, from, match_index, success);
                }
            }
            ConsensusMessage::SnapshotRequest { .. } => {
                self.on_snapshot_request(now_ms, from, message);
            }
            ConsensusMessage::SnapshotResponse { term, index, next_offset, done, sent_ms } => {
                if self.accept_response(now_ms, from, term, sent_ms) {
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

    /// Proposes a command. The request is answered with an [`Effect::Answer`]
    /// once the command is committed and applied, or when leadership is lost.
    pub fn propose(
        &mut self,
        now_ms: u64,
        request_id: u64,
        command: Vec<u8>,
    ) -> Result<Vec<Effect>, ProposeError> {
        self.update_time(now_ms);
        self.check_accepts_proposals()?;
        let index = self.append_as_leader(now_ms, EntryBody::Command(command.into()));
        if let Role::Leader(leadership) = &mut self.role {
            leadership.proposals.insert(index, request_id);
        }
        Ok(self.take_effects())
    }

    /// Requests a linearizable read. The answer holds an index: a state machine
    /// that has applied the log up to it reflects every command answered so far.
    pub fn read_barrier(
        &mut self,
        now_ms: u64,
        request_id: u64,
    ) -> Result<Vec<Effect>, ProposeError> {
        self.update_time(now_ms);
        self.check_accepts_proposals()?;
        self.begin_read(now_ms, request_id);
        Ok(self.take_effects())
    }

    /// Reports that all entries appended up to an index are durable.
    pub fn synced(&mut self, now_ms: u64, upto_index: u64) -> Vec<Effect> {
        self.update_time(now_ms);
        self.synced_index = self.synced_index.max(upto_index.min(self.log.last_index()));
        if matches!(self.role, Role::Leader(_)) {
            self.advance_commit(now_ms);
        }
        self.take_effects()
    }

    /// Records a snapshot of the state machine at an applied index, and drops the
    /// entries that it covers except the newest `trailing_entries`, of which at most
    /// `trailing_bytes` are kept.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let index = snapshot.meta.index;
        if index > self.applied_index || self.snapshot_index() >= index {
            return;
        }
        self.snapshot = Some(snapshot);
        let within_bytes = self.log.first_index_within(index, self.settings.trailing_bytes);
        let keep_from = index.saturating_sub(self.settings.trailing_entries).max(within_bytes);
        if keep_from > self.log.offset_index() {
            self.log.drop_upto(keep_from);
        }
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

    /// Sends a message to the replica with the given storage id. The host ignores
    /// it if its storage id has changed.
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

    /// Runs before each input is handled. Initializes the timers on the first
    /// call, and steps down if the leader has lost its quorum, as after the
    /// process was suspended.
    fn update_time(&mut self, now_ms: u64) {
        if !self.started {
            self.started = true;
            if !self.settings.lease_reads {
                self.schedule_startup_election(now_ms);
                return;
            }
            self.reset_election_timer(now_ms);
            // The replica may have answered a leader just before it restarted,
            // and must respect the lease that this leader may hold.
            if self.vote.term > 0 || self.log.last_index() > 0 {
                self.last_leader_contact_ms = Some(now_ms);
            }
        }
        self.check_quorum(now_ms);
    }

    fn take_effects(&mut self) -> Vec<Effect> {
        mem::take(&mut self.effects)
    }
}
