//! Invariants that are checked after every step of a schedule: one vote and one
//! leader per term, durable commits, agreement on committed entries, and
//! exclusive leases.

use anvillift_consensus::{AnswerError, Replica, RoleKind};
use anvillift_schema::consensus::{
    ConsensusEnvelope, ConsensusMessage, Entry, EntryBody, Vote, Voter, VoterSet,
};
use anvillift_schema::name::Name;

use super::Cluster;

impl Cluster {
    pub(super) fn check_vote(&mut self, name: &Name, vote: &Vote) {
        if let Some(candidate) = &vote.voted_for {
            self.record_vote(name, vote.term, candidate);
        }
    }

    /// Records a granted vote when it is sent, whether or not it was saved.
    pub(super) fn check_granted(&mut self, name: &Name, to: &Name, envelope: &ConsensusEnvelope) {
        if let ConsensusMessage::VoteResponse { term, pre_vote: false, granted: true } =
            envelope.message
        {
            let storage_id = envelope.to_storage_id.clone();
            self.record_vote(name, term, &Voter { host: to.clone(), storage_id });
        }
    }

    fn record_vote(&mut self, name: &Name, term: u64, candidate: &Voter) {
        let storage_id = self.nodes[name].storage_id.clone();
        let first = self.votes.entry((storage_id, term)).or_insert(candidate.clone());
        assert_eq!(first, candidate, "{name} voted for two candidates in term {term}");
    }

    /// Checks that a committed entry is durable on a majority. Valid only while
    /// no disk has lost data.
    fn check_durable(&self, entry: &Entry, voters: &VoterSet) {
        let has_entry = |voter: &&Voter| {
            let disk = &self.nodes[&voter.host].durable;
            let is_covered =
                disk.snapshot.as_ref().is_some_and(|snapshot| snapshot.meta.index >= entry.index);
            is_covered || disk.entries.contains(entry)
        };
        let durable = voters.voters.iter().filter(has_entry).count();
        assert!(
            durable > voters.voters.len() / 2,
            "entry {} is committed but not durable on a majority",
            entry.index
        );
    }

    pub(super) fn check_answer(&mut self, request_id: u64, result: Result<u64, AnswerError>) {
        let Ok(index) = result else { return };
        if let Some(min_index) = self.reads.remove(&request_id) {
            assert!(
                index >= min_index,
                "stale read: index {index} after a command was answered at {min_index}"
            );
            return;
        }
        let command = request_id.to_be_bytes().to_vec();
        assert_eq!(self.committed[&index].body, EntryBody::Command(command.into()));
        self.answered.insert(request_id, index);
    }

    /// Checks election safety and the agreement of all replicas on committed
    /// entries.
    pub(super) fn check(&mut self, name: &Name) {
        let node = self.nodes.get_mut(name).unwrap();
        let Some(replica) = &node.replica else { return };
        let status = replica.status();
        assert!(status.commit_index >= node.checked_index, "the commit index of {name} decreased");
        let range = node.checked_index + 1..=status.commit_index;
        let entries: Vec<Entry> = range.filter_map(|index| replica.entry(index)).cloned().collect();
        node.checked_index = status.commit_index;
        let storage_id = node.storage_id.clone();
        let is_fully_replicated = self.is_fully_replicated();
        let newest = entries.last().filter(|entry| !self.committed.contains_key(&entry.index));
        if let (RoleKind::Leader, Some(newest)) = (status.role, newest) {
            assert_eq!(
                newest.term, status.term,
                "{name} committed an entry of an older term by counting replicas"
            );
        }
        for entry in entries {
            if is_fully_replicated && !self.committed.contains_key(&entry.index) {
                self.check_durable(&entry, &status.voters);
            }
            let first = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
            assert_eq!(*first, entry, "{name} committed another entry at the same index");
        }
        if status.role != RoleKind::Leader {
            return;
        }
        let identity = Voter { host: name.clone(), storage_id };
        if let Some(first) = self.leaders.get(&status.term) {
            assert_eq!(*first, identity, "two leaders in term {}", status.term);
            return;
        }
        self.check_new_leader(name, status.term);
        self.leaders.insert(status.term, identity);
    }

    fn check_new_leader(&self, name: &Name, term: u64) {
        let leader = self.nodes[name].replica.as_ref().unwrap();
        for (&index, entry) in &self.committed {
            let term_in_log = leader.term_at(index);
            let is_compacted = term_in_log.is_none() && index <= leader.status().commit_index;
            let is_newer = entry.term >= term;
            assert!(
                term_in_log == Some(entry.term) || is_compacted || is_newer,
                "the new leader lacks committed entry {index}"
            );
        }
        let is_newest_term = self.leaders.keys().all(|other| *other < term);
        for (other, node) in &self.nodes {
            let is_serving = other != name
                && node.replica.as_ref().is_some_and(|other| other.can_serve_reads(self.now_ms));
            assert!(
                !(is_serving && is_newest_term),
                "{name} was elected during the lease of {other}"
            );
        }
    }

    pub(super) fn check_leases(&self) {
        let now_ms = self.now_ms;
        let newest_answered = self.newest_answered_index();
        let replicas = self.nodes.values().filter_map(|node| node.replica.as_ref());
        let serving: Vec<_> = replicas.filter(|replica| replica.can_serve_reads(now_ms)).collect();
        assert!(serving.len() <= 1, "two replicas hold a lease at {now_ms} ms");
        for replica in serving {
            assert!(
                replica.status().commit_index >= newest_answered,
                "the lease holder has not committed an answered command"
            );
        }
    }
}

/// Checks that a membership change starts only when the previous one and an entry
/// of the current term are committed, and that it changes at most one voter.
pub(super) fn check_change(replica: Option<&Replica>, entries: &[Entry]) {
    let (Some(replica), [entry]) = (replica, entries) else { return };
    let EntryBody::Voters(voters) = &entry.body else { return };
    let status = replica.status();
    if status.role != RoleKind::Leader || entry.index == 1 {
        return;
    }
    let before = replica.voters_at(entry.index - 1);
    let added = voters.voters.iter().filter(|voter| !before.voters.contains(voter)).count();
    let removed = before.voters.iter().filter(|voter| !voters.voters.contains(voter)).count();
    assert!(added + removed <= 1, "more than one voter changed at index {}", entry.index);
    let committed = replica.voters_at(status.commit_index);
    assert_eq!(before, committed, "a change started before the previous one was committed");
    let has_own_term = replica.term_at(status.commit_index) == Some(status.term);
    assert!(has_own_term, "a change started before an entry of the current term was committed");
}
