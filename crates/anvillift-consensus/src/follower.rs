//! Follower side of the protocol: it receives entries and snapshots from the
//! leader.

use std::sync::Arc;

use anvillift_schema::consensus::{ConsensusMessage, Entry, SnapshotMeta, Voter};

use crate::effect::Effect;
use crate::log::Log;
use crate::replica::Replica;
use crate::role::Role;
use crate::snapshot::{IncomingSnapshot, Snapshot};

impl Replica {
    /// Accepts the sender as the leader of its term and returns true. If the term
    /// of the sender is stale, the response carries the newer term, which makes
    /// the sender step down.
    fn accept_leader(&mut self, now_ms: u64, from: &Voter, term: u64, sent_ms: u64) -> bool {
        if term < self.vote.term {
            let response = ConsensusMessage::AppendResponse {
                term: self.vote.term,
                match_index: 0,
                success: false,
                sent_ms,
            };
            self.send(from, response);
            return false;
        }
        if matches!(self.role, Role::Leader(_)) && term == self.vote.term {
            return false;
        }
        if term > self.vote.term {
            self.enter_term(now_ms, term);
        }
        self.role = Role::Follower;
        self.leader = Some(from.host.clone());
        self.last_leader_contact_ms = Some(now_ms);
        self.reset_election_timer(now_ms);
        true
    }

    pub(crate) fn on_append_request(
        &mut self,
        now_ms: u64,
        from: &Voter,
        message: ConsensusMessage,
    ) {
        let ConsensusMessage::AppendRequest {
            term,
            prev_index,
            prev_term,
            entries,
            commit_index,
            sent_ms,
        } = message
        else {
            return;
        };
        if !self.accept_leader(now_ms, from, term, sent_ms) || !is_contiguous(prev_index, &entries)
        {
            return;
        }
        let matched = self.store_entries(prev_index, prev_term, entries);
        let (success, match_index) = match matched {
            Some(match_index) => (true, match_index),
            None => (false, self.conflict_hint(prev_index)),
        };
        if let Some(match_index) = matched {
            self.end_refetch_if_complete(match_index, commit_index);
            self.commit_upto(now_ms, commit_index.min(match_index));
        }
        let term = self.vote.term;
        self.send(from, ConsensusMessage::AppendResponse { term, match_index, success, sent_ms });
    }

    /// Stores the entries that are missing here. Returns the index up to which
    /// the log matches the leader's, or `None` if it does not match at
    /// `prev_index`.
    fn store_entries(
        &mut self,
        prev_index: u64,
        prev_term: u64,
        entries: Vec<Entry>,
    ) -> Option<u64> {
        let match_index = prev_index + entries.len() as u64;
        let is_compacted = prev_index < self.log.offset_index();
        if !is_compacted && self.log.term_at(prev_index) != Some(prev_term) {
            return None;
        }
        let new: Vec<Entry> = entries
            .into_iter()
            .skip_while(|entry| {
                entry.index <= self.log.offset_index()
                    || self.log.term_at(entry.index) == Some(entry.term)
            })
            .collect();
        if let Some(first) = new.first() {
            if first.index <= self.commit_index {
                return None;
            }
            self.log.truncate_from(first.index);
            self.synced_index = self.synced_index.min(first.index - 1);
            for entry in &new {
                self.log.push(entry.clone());
            }
            self.emit(Effect::Append { entries: new });
        }
        Some(match_index.max(self.log.offset_index()))
    }

    /// Index from which the leader should retry after a mismatch: the last index
    /// of an earlier term, but never less than the commit index.
    fn conflict_hint(&self, prev_index: u64) -> u64 {
        let last_index = self.log.last_index();
        if prev_index > last_index {
            return last_index;
        }
        self.log.last_index_of_earlier_term(prev_index).max(self.commit_index)
    }

    /// Ends the refetch of a damaged log once the log is complete. That is the
    /// case when it matches a leader's log either up to the highest index that it
    /// ever held, or into a term in which this replica has acknowledged nothing:
    /// the leader of such a term was elected with every committed entry.
    fn end_refetch_if_complete(&mut self, match_index: u64, commit_index: u64) {
        let Some(upto) = self.refetch_upto else { return };
        let has_newer_term =
            self.log.term_at(match_index).is_some_and(|term| term > self.start_term);
        if has_newer_term || match_index >= upto.max(commit_index) {
            self.refetch_upto = None;
            self.emit(Effect::RefetchDone);
        }
    }

    pub(crate) fn on_snapshot_request(
        &mut self,
        now_ms: u64,
        from: &Voter,
        message: ConsensusMessage,
    ) {
        let ConsensusMessage::SnapshotRequest { term, meta, offset, data, done, sent_ms } = message
        else {
            return;
        };
        if !self.accept_leader(now_ms, from, term, sent_ms) {
            return;
        }
        let index = meta.index;
        let is_redundant = index <= self.commit_index || self.log.term_at(index) == Some(meta.term);
        let (next_offset, done) = if is_redundant {
            self.commit_upto(now_ms, index);
            (0, true)
        } else {
            self.append_snapshot_chunk(meta, offset, &data, done)
        };
        let term = self.vote.term;
        let response =
            ConsensusMessage::SnapshotResponse { term, index, next_offset, done, sent_ms };
        self.send(from, response);
    }

    /// Appends a chunk of a snapshot at its offset. Returns the offset expected
    /// next, and whether the snapshot is installed.
    fn append_snapshot_chunk(
        &mut self,
        meta: SnapshotMeta,
        offset: u64,
        data: &[u8],
        done: bool,
    ) -> (u64, bool) {
        if self.incoming_snapshot.as_ref().is_none_or(|incoming| incoming.meta != meta) {
            self.incoming_snapshot = Some(IncomingSnapshot { meta, data: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming_snapshot else { return (0, false) };
        if offset != incoming.data.len() as u64 {
            return (incoming.data.len() as u64, false);
        }
        incoming.data.extend_from_slice(data);
        let next_offset = incoming.data.len() as u64;
        if done && let Some(complete_snapshot) = self.incoming_snapshot.take() {
            self.install(complete_snapshot);
        }
        (next_offset, done)
    }

    fn install(&mut self, incoming: IncomingSnapshot) {
        let IncomingSnapshot { meta, data } = incoming;
        let data = Arc::new(data);
        self.log = Log::starting_after(meta.index, meta.term, meta.voters.clone());
        self.commit_index = meta.index;
        self.applied_index = meta.index;
        self.synced_index = meta.index;
        self.snapshot = Some(Snapshot { meta: meta.clone(), data: Arc::clone(&data) });
        self.emit(Effect::InstallSnapshot { meta, data });
    }
}

/// Whether the entries have consecutive indices that start after `prev_index`.
fn is_contiguous(prev_index: u64, entries: &[Entry]) -> bool {
    entries.iter().zip(prev_index + 1..).all(|(entry, index)| entry.index == index)
}
