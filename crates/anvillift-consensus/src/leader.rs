//! Leader side of the protocol: replication, commitment, the lease and
//! linearizable reads.

use anvillift_schema::consensus::{ConsensusMessage, Entry, EntryBody, Voter};

use crate::effect::Effect;
use crate::progress::Progress;
use crate::propose_error::ProposeError;
use crate::quorum;
use crate::replica::Replica;
use crate::role::{Leadership, Role};

impl Replica {
    pub(crate) fn become_leader(&mut self, now_ms: u64) {
        let first_index = self.log.last_index() + 1;
        self.leader = Some(self.identity.host.clone());
        self.role = Role::Leader(Leadership {
            first_index,
            since_ms: now_ms,
            heartbeat_due_ms: now_ms + self.settings.heartbeat_ms,
            ..Leadership::default()
        });
        // The voters of a new group are stored in a snapshot at index 0, which is
        // not replicated. The first entry replicates them instead.
        let body = if first_index == 1 {
            EntryBody::Voters(self.log.voters().clone())
        } else {
            EntryBody::Noop(true)
        };
        self.append_as_leader(now_ms, body);
        self.replicate(now_ms, true);
    }

    pub(crate) fn check_accepts_proposals(&self) -> Result<(), ProposeError> {
        match &self.role {
            Role::Leader(leadership) if leadership.transfer_deadline_ms.is_none() => Ok(()),
            _ => Err(ProposeError::NotLeader {
                leader: self.leader.clone().filter(|leader| *leader != self.identity.host),
            }),
        }
    }

    /// Appends an entry to the log. It is sent to the followers before it is
    /// durable on this replica.
    pub(crate) fn append_as_leader(&mut self, now_ms: u64, body: EntryBody) -> u64 {
        let index = self.log.last_index() + 1;
        let entry = Entry { index, term: self.vote.term, body };
        self.log.push(entry.clone());
        self.track_replicas();
        self.replicate(now_ms, false);
        self.emit(Effect::Append { entries: vec![entry] });
        index
    }

    pub(crate) fn tick_leader(&mut self, now_ms: u64) {
        self.tick_transfer(now_ms);
        self.tick_removed(now_ms);
        self.tick_learners(now_ms);
        let Role::Leader(leadership) = &mut self.role else { return };
        if now_ms >= leadership.heartbeat_due_ms {
            leadership.heartbeat_due_ms = now_ms + self.settings.heartbeat_ms;
            self.replicate(now_ms, true);
        }
    }

    /// Sends each replica the entries that it lacks. With `heartbeat`, a message
    /// is sent even if there are none.
    pub(crate) fn replicate(&mut self, now_ms: u64, heartbeat: bool) {
        for replica in self.followers() {
            self.replicate_to(now_ms, &replica, heartbeat);
        }
    }

    fn replicate_to(&mut self, now_ms: u64, replica: &Voter, heartbeat: bool) {
        let Role::Leader(leadership) = &mut self.role else { return };
        let Some(progress) = leadership.progress.get_mut(&Self::key(replica)) else { return };
        let in_flight = progress.next_index - 1 - progress.match_index.min(progress.next_index - 1);
        let mut next_index = progress.next_index;
        if next_index <= self.log.offset_index() {
            if heartbeat || progress.snapshot.is_none() {
                self.send_snapshot_chunk(now_ms, replica);
            }
            return;
        }
        let has_pending_entries = self.log.last_index() >= next_index;
        let is_window_open = progress.matched && in_flight < self.settings.max_in_flight_entries;
        let entries = if has_pending_entries && (is_window_open || heartbeat) {
            let max_entries = self.settings.max_message_entries;
            self.log.slice(next_index, max_entries, self.settings.max_message_bytes)
        } else {
            Vec::new()
        };
        if entries.is_empty() && !heartbeat {
            return;
        }
        next_index += entries.len() as u64;
        if progress.matched {
            progress.next_index = next_index;
        }
        self.send_entries(now_ms, replica, next_index, entries);
    }

    fn send_entries(&mut self, now_ms: u64, replica: &Voter, next_index: u64, entries: Vec<Entry>) {
        let prev_index = next_index - entries.len() as u64 - 1;
        let message = ConsensusMessage::AppendRequest {
            term: self.vote.term,
            prev_index,
            prev_term: self.log.term_at(prev_index).unwrap_or(0),
            entries,
            commit_index: self.commit_index,
            sent_ms: now_ms,
        };
        self.send(replica, message);
    }

    fn send_snapshot_chunk(&mut self, now_ms: u64, replica: &Voter) {
        let Some(snapshot) = self.snapshot.clone() else { return };
        let Role::Leader(leadership) = &mut self.role else { return };
        let Some(progress) = leadership.progress.get_mut(&Self::key(replica)) else { return };
        let index = snapshot.meta.index;
        let offset = match progress.snapshot {
            Some((sent_index, offset)) if sent_index == index => offset,
            _ => 0,
        };
        progress.snapshot = Some((index, offset));
        let start = (offset as usize).min(snapshot.data.len());
        let end = (start + self.settings.snapshot_chunk_bytes).min(snapshot.data.len());
        let message = ConsensusMessage::SnapshotRequest {
            term: self.vote.term,
            data: snapshot.data[start..end].to_vec().into(),
            done: end == snapshot.data.len(),
            meta: snapshot.meta,
            offset,
            sent_ms: now_ms,
        };
        self.send(replica, message);
    }

    /// Checks that a response comes from a follower in the current term, and records
    /// the send time of the request for the lease. Enters the newer term if the
    /// response of a member carries one.
    pub(crate) fn accept_response(
        &mut self,
        now_ms: u64,
        from: &Voter,
        term: u64,
        sent_ms: u64,
    ) -> bool {
        let is_member = self.other_replicas().contains(from);
        if is_member && term > self.vote.term {
            self.enter_term(now_ms, term);
        }
        let is_follower = is_member || self.removed_replica() == Some(from);
        let is_current = is_follower && term == self.vote.term;
        let Role::Leader(leadership) = &mut self.role else { return false };
        if let Some(progress) = leadership.progress.get_mut(&Self::key(from))
            && is_current
        {
            progress.acked_ms = progress.acked_ms.max(sent_ms.min(now_ms));
            return true;
        }
        false
    }

    fn progress_of(&mut self, replica: &Voter) -> Option<&mut Progress> {
        match &mut self.role {
            Role::Leader(leadership) => leadership.progress.get_mut(&Self::key(replica)),
            _ => None,
        }
    }

    pub(crate) fn on_append_response(
        &mut self,
        now_ms: u64,
        from: &Voter,
        match_index: u64,
        success: bool,
    ) {
        let last_index = self.log.last_index();
        let Some(progress) = self.progress_of(from) else { return };
        let mut probe = false;
        if success {
            progress.record_match(match_index.min(last_index));
            self.advance_commit(now_ms);
        } else {
            probe = progress.record_mismatch(match_index);
        }
        self.answer_reads(now_ms);
        self.replicate_to(now_ms, from, probe);
    }

    pub(crate) fn on_snapshot_response(
        &mut self,
        now_ms: u64,
        from: &Voter,
        index: u64,
        next_offset: u64,
        done: bool,
    ) {
        let last_index = self.log.last_index();
        let Some(progress) = self.progress_of(from) else { return };
        if done {
            progress.snapshot = None;
            progress.record_match(index.min(last_index));
        } else if progress.snapshot.is_some_and(|(sent_index, _)| sent_index == index) {
            progress.snapshot = Some((index, next_offset));
        }
        self.answer_reads(now_ms);
        self.replicate_to(now_ms, from, !done);
    }

    /// Advances the commit index to the highest index that is durable on a
    /// majority, provided that its entry is of the current term. Entries of
    /// earlier terms are committed together with it.
    pub(crate) fn advance_commit(&mut self, now_ms: u64) {
        let Role::Leader(leadership) = &self.role else { return };
        let majority_index = quorum::majority_value(self.log.voters(), |voter| {
            if *voter == self.identity {
                return self.synced_index;
            }
            let progress = leadership.progress.get(&Self::key(voter));
            progress.map_or(0, |progress| progress.match_index)
        });
        if majority_index > self.commit_index
            && self.log.term_at(majority_index) == Some(self.vote.term)
        {
            self.commit_upto(now_ms, majority_index);
            self.answer_reads(now_ms);
        }
    }

    /// Applies committed entries and answers the proposals that wait for them.
    pub(crate) fn commit_upto(&mut self, now_ms: u64, index: u64) {
        self.commit_index = self.commit_index.max(index.min(self.log.last_index()));
        while self.applied_index < self.commit_index {
            self.applied_index += 1;
            let index = self.applied_index;
            let body = self.log.entry(index).map(|entry| entry.body.clone());
            if let Some(EntryBody::Command(command)) = body {
                self.emit(Effect::Apply { index, command: command.into() });
            }
            if let Role::Leader(leadership) = &mut self.role
                && let Some(request_id) = leadership.proposals.remove(&index)
            {
                self.emit(Effect::Answer { request_id, result: Ok(index) });
            }
        }
        self.step_down_if_removed(now_ms);
    }
}
