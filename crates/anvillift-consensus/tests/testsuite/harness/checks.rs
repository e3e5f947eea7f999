//! What must hold at every moment of a schedule.

use anvillift_consensus::{AnswerError, Replica, RoleKind};
use anvillift_schema::consensus::{
    ConsensusEnvelope, ConsensusMessage, Entry, EntryBody, Vote, Voter, VoterSet,
};
use anvillift_schema::name::Name;

use super::Cluster;

impl Cluster {
    pub(super) fn check_vote(&mut self, name: &Name, vote: &Vote) {
        if let Some(candidate) = &vote.voted_for {
            self.note_vote(name, vote.term, candidate);
        }
    }

    /// What counts is what was told, whether it was saved or not.
    pub(super) fn check_granted(&mut self, name: &Name, to: &Name, envelope: &ConsensusEnvelope) {
        if let ConsensusMessage::VoteResponse { term, pre_vote: false, granted: true } =
            envelope.message
        {
            let storage_id = envelope.to_storage_id.clone();
            self.note_vote(name, term, &Voter { host: to.clone(), storage_id });
        }
    }

    fn note_vote(&mut self, name: &Name, term: u64, candidate: &Voter) {
        let storage_id = self.nodes[name].storage_id.clone();
        let first = self.votes.entry((storage_id, term)).or_insert(candidate.clone());
        assert_eq!(first, candidate, "{name} voted twice in term {term}");
    }

    /// A committed entry is durable on a majority, while no disk was lost.
    fn check_durable(&self, entry: &Entry, voters: &VoterSet) {
        let holds = |voter: &&Voter| {
            let disk = &self.nodes[&voter.host].durable;
            let covered =
                disk.snapshot.as_ref().is_some_and(|snapshot| snapshot.meta.index >= entry.index);
            covered || disk.entries.contains(entry)
        };
        let durable = voters.voters.iter().filter(holds).count();
        assert!(durable > voters.voters.len() / 2, "{} is committed but lost", entry.index);
    }

    pub(super) fn check_answer(&mut self, request_id: u64, result: Result<u64, AnswerError>) {
        let Ok(index) = result else { return };
        if let Some(floor) = self.reads.remove(&request_id) {
            assert!(index >= floor, "a read saw {index} after an answer at {floor}");
            return;
        }
        let command = request_id.to_be_bytes().to_vec();
        assert_eq!(self.committed[&index].body, EntryBody::Command(command.into()));
        self.answered.insert(request_id, index);
    }

    /// Election safety, and agreement on what is committed.
    pub(super) fn check(&mut self, name: &Name) {
        let node = self.nodes.get_mut(name).unwrap();
        let Some(replica) = &node.replica else { return };
        let status = replica.status();
        assert!(status.commit_index >= node.checked_index, "{name} went back");
        let range = node.checked_index + 1..=status.commit_index;
        let entries: Vec<Entry> = range.filter_map(|index| replica.entry(index)).cloned().collect();
        node.checked_index = status.commit_index;
        let storage_id = node.storage_id.clone();
        let whole = self.is_whole();
        let newest = entries.last().filter(|entry| !self.committed.contains_key(&entry.index));
        if let (RoleKind::Leader, Some(newest)) = (status.role, newest) {
            assert_eq!(newest.term, status.term, "{name} committed by counting an older term");
        }
        for entry in entries {
            if whole && !self.committed.contains_key(&entry.index) {
                self.check_durable(&entry, &status.voters);
            }
            let first = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
            assert_eq!(*first, entry, "{name} commits otherwise");
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
            let held = leader.term_at(index);
            let dropped = held.is_none() && index <= leader.status().commit_index;
            let newer = entry.term >= term;
            assert!(held == Some(entry.term) || dropped || newer, "leader lacks {index}");
        }
        let newest = self.leaders.keys().all(|other| *other < term);
        for (other, node) in &self.nodes {
            let serves = other != name
                && node.replica.as_ref().is_some_and(|other| other.may_serve_reads(self.now_ms));
            assert!(!(serves && newest), "{name} was elected during the lease of {other}");
        }
    }

    pub(super) fn check_leases(&self) {
        let now_ms = self.now_ms;
        let newest = self.newest_answer();
        let replicas = self.nodes.values().filter_map(|node| node.replica.as_ref());
        let serving: Vec<_> = replicas.filter(|replica| replica.may_serve_reads(now_ms)).collect();
        assert!(serving.len() <= 1, "two leases at {now_ms}");
        for replica in serving {
            assert!(replica.status().commit_index >= newest, "the lease holder is behind");
        }
    }
}

/// A change of the voters is begun only when the one before it and an entry of
/// the own term are committed, and changes one voter.
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
    assert!(added + removed <= 1, "more than one voter changes at {}", entry.index);
    let committed = replica.voters_at(status.commit_index);
    assert_eq!(before, committed, "a change is begun before the last is committed");
    let own_term = replica.term_at(status.commit_index) == Some(status.term);
    assert!(own_term, "a change is begun before the term's first entry is committed");
}
