//! The follower's side: entries and snapshots from the leader.

use std::sync::Arc;

use anvillift_schema::consensus::{ConsensusMessage, Entry, SnapshotMeta, Voter};

use crate::effect::Effect;
use crate::log::Log;
use crate::replica::Replica;
use crate::role::Role;
use crate::snapshot::{IncomingSnapshot, Snapshot};

impl Replica {
    /// Follows the sender if its term is current; else answers with the newer
    /// term, by which the sender steps down.
    fn follow(&mut self, now_ms: u64, from: &Voter, term: u64, sent_ms: u64) -> bool {
        if term < self.vote.term {
            let answer = ConsensusMessage::AppendResponse {
                term: self.vote.term,
                match_index: 0,
                success: false,
                sent_ms,
            };
            self.send(from, answer);
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
        self.heard_ms = Some(now_ms);
        self.reset_election_due(now_ms);
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
        if !self.follow(now_ms, from, term, sent_ms) || !follows_on(prev_index, &entries) {
            return;
        }
        let matched = self.store_entries(prev_index, prev_term, entries);
        let (success, match_index) = match matched {
            Some(match_index) => (true, match_index),
            None => (false, self.hint_before(prev_index)),
        };
        if let Some(match_index) = matched {
            self.finish_refetch(match_index, commit_index);
            self.commit_upto(now_ms, commit_index.min(match_index));
        }
        let term = self.vote.term;
        self.send(from, ConsensusMessage::AppendResponse { term, match_index, success, sent_ms });
    }

    /// Takes over the entries; gives the index up to which the logs agree, or
    /// nothing if they do not agree before the entries.
    fn store_entries(
        &mut self,
        prev_index: u64,
        prev_term: u64,
        entries: Vec<Entry>,
    ) -> Option<u64> {
        let match_index = prev_index + entries.len() as u64;
        let known = prev_index < self.log.offset_index();
        if !known && self.log.term_at(prev_index) != Some(prev_term) {
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

    /// Where the leader should go back to.
    fn hint_before(&self, prev_index: u64) -> u64 {
        let last_index = self.log.last_index();
        if prev_index > last_index {
            return last_index;
        }
        self.log.before_term_of(prev_index).max(self.commit_index)
    }

    /// A damaged log is whole again when it agrees with a leader's past
    /// everything that it has ever held, or into a term in which it has
    /// acknowledged nothing: that leader began with every committed entry.
    fn finish_refetch(&mut self, match_index: u64, commit_index: u64) {
        let Some(upto) = self.refetch_upto else { return };
        let newer_term = self.log.term_at(match_index).is_some_and(|term| term > self.start_term);
        if newer_term || match_index >= upto.max(commit_index) {
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
        if !self.follow(now_ms, from, term, sent_ms) {
            return;
        }
        let index = meta.index;
        let held = index <= self.commit_index || self.log.term_at(index) == Some(meta.term);
        let (next_offset, done) = if held {
            self.commit_upto(now_ms, index);
            (0, true)
        } else {
            self.take_part(meta, offset, &data, done)
        };
        let term = self.vote.term;
        let answer = ConsensusMessage::SnapshotResponse { term, index, next_offset, done, sent_ms };
        self.send(from, answer);
    }

    /// Adds a part that follows on; gives the offset wanted next and whether
    /// the snapshot is installed.
    fn take_part(
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
        if done && let Some(whole) = self.incoming_snapshot.take() {
            self.install(whole);
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

/// Whether the entries are numbered from `prev_index` on without a gap.
fn follows_on(prev_index: u64, entries: &[Entry]) -> bool {
    entries.iter().zip(prev_index + 1..).all(|(entry, index)| entry.index == index)
}
