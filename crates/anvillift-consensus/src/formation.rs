//! Formation of a group from replicas with empty storage.
//!
//! The first of the hosts in `form_voters` is the coordinator. It collects the
//! storage ids of all the others, each of which must report an empty log, and
//! then starts an election with these voters. A coordinator that loses its disk
//! later finds replicas that already belong to a group, and so never forms a
//! second one.

use std::sync::Arc;

use anvillift_schema::consensus::{ConsensusMessage, SnapshotMeta, Vote, Voter, VoterSet};
use anvillift_schema::name::Name;
use rand::Rng;

use crate::effect::Effect;
use crate::log::Log;
use crate::replica::Replica;
use crate::role::Role;

/// Upper bound of the random first term of a group. A coordinator whose disk is
/// wiped during the formation does not remember its term, and a random one keeps
/// it from using the same term again.
const FIRST_TERM_BOUND: u64 = 1 << 32;

impl Replica {
    /// Whether this replica belongs to no group yet: its log is empty and it has
    /// no voters.
    fn is_unformed(&self) -> bool {
        self.log.last_index() == 0 && self.log.voters().voters.is_empty()
    }

    pub(crate) fn tick_formation(&mut self, now_ms: u64) {
        let is_coordinator = self.settings.form_voters.first() == Some(&self.identity.host);
        if !is_coordinator || !self.is_unformed() || self.vote.term > 0 || now_ms < self.form_due_ms
        {
            return;
        }
        self.form_due_ms = now_ms + self.settings.heartbeat_ms;
        for host in self.settings.form_voters.clone() {
            if host != self.identity.host {
                let has_reported = self.form_reports.contains_key(&host);
                self.send_to(
                    host,
                    Name::default(),
                    ConsensusMessage::FormProbe { heard: has_reported },
                );
            }
        }
        if self.settings.form_voters.len() == 1 {
            self.form_group(now_ms);
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
            self.replace_restarted_host(now_ms, from);
            return;
        }
        let is_coordinator = self.settings.form_voters.first() == Some(&self.identity.host);
        if is_coordinator && self.is_unformed() && self.vote.term == 0 {
            self.form_reports.insert(from.host.clone(), from.storage_id.clone());
            if self.form_reports.len() + 1 == self.settings.form_voters.len() {
                self.form_group(now_ms);
            }
        }
    }

    /// Adds a restarted host of an in-memory group as a learner. After the
    /// restart, the host is empty and has a new storage id.
    fn replace_restarted_host(&mut self, now_ms: u64, from: &Voter) {
        let members = self.log.voters();
        let is_member = members.voters.iter().chain(&members.learners).any(|other| other == from);
        let replaces_member = members.voters.iter().any(|voter| voter.host == from.host)
            || members.learners.iter().any(|learner| learner.host == from.host);
        if self.settings.replace_restarted_hosts && replaces_member && !is_member {
            // If an earlier change is not committed yet, this one fails; the host
            // reports again later.
            self.append_learner(now_ms, from.clone()).ok();
        }
    }

    fn form_group(&mut self, now_ms: u64) {
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
