//! Digests between data centres.

use anvillift_schema::membership::{Digest, HostRecord, MembershipMessage, Roster, Summary};
use anvillift_schema::name::Name;

use super::{Members, Outgoing};
use crate::rank;
use crate::roster;

impl Members {
    pub(super) fn receive_summary(
        &mut self,
        now_ms: u64,
        from: &Name,
        centre: &Name,
        summary: Summary,
    ) -> Vec<Outgoing> {
        let delay_ms = self.remotes.delay_ms(now_ms, from, summary.incarnation, summary.sent_ms);
        let Some(delay_ms) = delay_ms.filter(|_| summary.digest.0.0 == *from) else {
            return Vec::new();
        };
        let checksum = summary.digest.0.4;
        if let Some(roster) = summary.roster.filter(|roster| roster.data_centre == *centre) {
            self.remotes.take_roster(now_ms, roster);
        }
        let made_ms = now_ms.saturating_sub(delay_ms);
        self.remotes.take_direct(now_ms, centre, made_ms, summary.digest);
        if self.remotes.has_roster(centre, checksum) {
            return Vec::new();
        }
        let message = MembershipMessage::WantRoster(checksum);
        vec![Outgoing { to: from.clone(), message }]
    }

    pub(super) fn answer_roster(&mut self, now_ms: u64, to: &Name, checksum: u32) -> Vec<Outgoing> {
        let roster = self.roster(now_ms);
        if roster::checksum(&roster) != checksum {
            return Vec::new();
        }
        let digest = self.digest(now_ms, &roster, checksum);
        vec![self.summary_to(now_ms, to, digest, Some(roster))]
    }

    /// Summaries to the data centres for which the own host is a delegate.
    pub(super) fn summaries(
        &mut self,
        now_ms: u64,
        roster: &Roster,
        checksum: u32,
        changed: bool,
    ) -> Vec<Outgoing> {
        let digest = self.digest(now_ms, roster, checksum);
        let mut sent = Vec::new();
        let alive: Vec<&Name> = roster.hosts.iter().map(|host| &host.host).collect();
        for (centre, hosts) in &self.far {
            let speakers = rank::delegates(&self.centre, &alive, self.centre_number(centre));
            let Some(rank) = speakers.iter().position(|host| **host == self.own.host) else {
                continue;
            };
            let untold = self.told_rosters.get(centre) != Some(&checksum);
            let attached = untold.then(|| roster.clone());
            self.told_rosters.insert(centre.clone(), checksum);
            let turn = rank + self.sequence as usize;
            for to in self.receivers(now_ms, centre, hosts, turn, changed) {
                sent.push(self.summary_to(now_ms, &to, digest.clone(), attached.clone()));
            }
        }
        sent
    }

    /// Who in a data centre gets a summary: its delegates in turn, or both on a change.
    fn receivers(
        &self,
        now_ms: u64,
        centre: &Name,
        hosts: &[Name],
        turn: usize,
        changed: bool,
    ) -> Vec<Name> {
        let number = self.centre_number(&self.own.data_centre);
        let alive = self.remotes.alive(now_ms, centre);
        if alive.is_empty() {
            // Nobody is known there: try its hosts one after the other.
            let next = rank::in_order(hosts, number).nth(turn % hosts.len());
            return next.cloned().into_iter().collect();
        }
        let listeners = rank::delegates(hosts, &alive, number);
        if changed {
            return listeners.into_iter().cloned().collect();
        }
        vec![listeners[turn % listeners.len()].clone()]
    }

    /// Place of a data centre among all, by name.
    fn centre_number(&self, centre: &Name) -> usize {
        let before = self.far.range(..centre.clone()).count();
        let own_before = self.own.data_centre < *centre;
        before + usize::from(own_before)
    }

    fn summary_to(
        &self,
        now_ms: u64,
        to: &Name,
        digest: Digest,
        roster: Option<Roster>,
    ) -> Outgoing {
        let incarnation = self.own.incarnation;
        let summary = Summary { incarnation, sent_ms: now_ms, digest, roster };
        Outgoing { to: to.clone(), message: MembershipMessage::Summary(summary) }
    }

    fn digest(&mut self, now_ms: u64, roster: &Roster, checksum: u32) -> Digest {
        self.sequence += 1;
        let services = roster::services(self.upstreams.available(now_ms).map(|(_, heard)| heard));
        let numbers = roster::write_services(&services);
        let revisions = roster::write_revisions(&roster.hosts);
        let own = &self.own;
        let (host, incarnation) = (own.host.clone(), own.incarnation);
        Digest((host, incarnation, self.sequence, 0, checksum, revisions, numbers))
    }

    /// Hosts alive and services of the own data centre.
    pub(super) fn roster(&self, now_ms: u64) -> Roster {
        let alive = self.neighbours.alive(now_ms).chain([&self.own]);
        let mut hosts: Vec<HostRecord> = alive.cloned().collect();
        hosts.sort_by(|left, right| left.host.cmp(&right.host));
        let services = roster::services(self.upstreams.available(now_ms).map(|(_, heard)| heard));
        Roster {
            data_centre: self.own.data_centre.clone(),
            hosts,
            services: services.into_iter().map(|room| room.service).collect(),
        }
    }
}
