//! The formation of a group from replicas with empty storage.
//!
//! The first of the forming hosts collects the storage ids of all the others,
//! each of which must have reported an empty log, and stands for election with
//! these voters. A host that lost its disk later finds replicas that belong to
//! a group, and so never forms a second one.

use std::sync::Arc;

use anvillift_schema::consensus::{ConsensusMessage, SnapshotMeta, Vote, Voter, VoterSet};
use anvillift_schema::name::Name;
use rand::Rng;

use crate::effect::Effect;
use crate::log::Log;
use crate::replica::Replica;
use crate::role::Role;

/// Bound of the term drawn for a new group, so that a forming host wiped in
/// the middle does not use a term again.
const FIRST_TERM_BOUND: u64 = 1 << 32;

impl Replica {
    /// Whether this replica knows of no group.
    fn is_unformed(&self) -> bool {
        self.log.last_index() == 0 && self.log.voters().voters.is_empty()
    }

    pub(crate) fn tick_formation(&mut self, now_ms: u64) {
        let forms = self.settings.form_voters.first() == Some(&self.identity.host);
        if !forms || !self.is_unformed() || self.vote.term > 0 || now_ms < self.form_due_ms {
            return;
        }
        self.form_due_ms = now_ms + self.settings.heartbeat_ms;
        for host in self.settings.form_voters.clone() {
            if host != self.identity.host {
                let heard = self.form_reports.contains_key(&host);
                self.send_to(host, Name::default(), ConsensusMessage::FormProbe { heard });
            }
        }
        if self.settings.form_voters.len() == 1 {
            self.form(now_ms);
        }
    }

    pub(crate) fn report_formation(&mut self, to: &Voter) {
        let unformed = self.is_unformed();
        self.send(to, ConsensusMessage::FormReport { unformed });
    }

    pub(crate) fn on_form_report(&mut self, now_ms: u64, from: &Voter, unformed: bool) {
        if !self.settings.form_voters.contains(&from.host) || !unformed {
            return;
        }
        if matches!(self.role, Role::Leader(_)) {
            self.replace_restarted(now_ms, from);
            return;
        }
        let forms = self.settings.form_voters.first() == Some(&self.identity.host);
        if forms && self.is_unformed() && self.vote.term == 0 {
            self.form_reports.insert(from.host.clone(), from.storage_id.clone());
            if self.form_reports.len() + 1 == self.settings.form_voters.len() {
                self.form(now_ms);
            }
        }
    }

    /// Takes in a host of a group without disks that came back empty.
    fn replace_restarted(&mut self, now_ms: u64, from: &Voter) {
        let known = self.log.voters();
        let member = known.voters.iter().chain(&known.learners).any(|other| other == from);
        let replaces = known.voters.iter().any(|voter| voter.host == from.host)
            || known.learners.iter().any(|learner| learner.host == from.host);
        if self.settings.replace_restarted && replaces && !member {
            // A change under way defers this one; the host reports again.
            self.append_learner(now_ms, from.clone()).ok();
        }
    }

    fn form(&mut self, now_ms: u64) {
        let mut voters: Vec<Voter> = vec![self.identity.clone()];
        for (host, storage_id) in &self.form_reports {
            voters.push(Voter { host: host.clone(), storage_id: storage_id.clone() });
        }
        voters.sort_by(|left, right| left.host.cmp(&right.host));
        let voters = VoterSet { voters, learners: Vec::new() };
        let meta = SnapshotMeta { index: 0, term: 0, voters: voters.clone() };
        self.log = Log::starting_after(0, 0, voters);
        self.vote = Vote { term: self.rng.random_range(1..FIRST_TERM_BOUND), voted_for: None };
        self.emit(Effect::InstallSnapshot { meta, data: Arc::new(Vec::new()) });
        self.emit(Effect::SaveVote { vote: self.vote.clone() });
        self.election_due_ms = now_ms;
    }
}
