//! Sends digests to other data centres and receives theirs.
//!
//! A digest refers to the roster of its data centre by checksum. The sender
//! attaches the roster when it changed, and a receiver that lacks it asks for it.

use anvillift_schema::membership::{Digest, DigestMessage, HostRecord, MembershipMessage, Roster};
use anvillift_schema::name::Name;

use super::{Membership, OutgoingMessage};
use crate::delegates;
use crate::roster;

impl Membership {
    pub(super) fn receive_digest(
        &mut self,
        now_ms: u64,
        from: &Name,
        data_centre: &Name,
        digest_message: DigestMessage,
    ) -> Vec<OutgoingMessage> {
        let delay_ms = self.remote_data_centres.delay_ms(
            now_ms,
            from,
            digest_message.incarnation,
            digest_message.sent_ms,
        );
        let Some(delay_ms) = delay_ms.filter(|_| digest_message.digest.0.0 == *from) else {
            return Vec::new();
        };
        let checksum = digest_message.digest.0.4;
        if let Some(roster) =
            digest_message.roster.filter(|roster| roster.data_centre == *data_centre)
        {
            self.remote_data_centres.insert_roster(now_ms, roster);
        }
        let created_ms = now_ms.saturating_sub(delay_ms);
        self.remote_data_centres.receive_direct(
            now_ms,
            data_centre,
            created_ms,
            digest_message.digest,
        );
        if self.remote_data_centres.has_roster(data_centre, checksum) {
            return Vec::new();
        }
        let message = MembershipMessage::WantRoster(checksum);
        vec![OutgoingMessage { to: from.clone(), message }]
    }

    pub(super) fn send_roster(
        &mut self,
        now_ms: u64,
        to: &Name,
        checksum: u32,
    ) -> Vec<OutgoingMessage> {
        let roster = self.roster(now_ms);
        if roster::checksum(&roster) != checksum {
            return Vec::new();
        }
        let digest = self.make_digest(now_ms, &roster, checksum);
        vec![self.digest_message(now_ms, to, digest, Some(roster))]
    }

    /// Returns digests to the data centres for which this host is a delegate.
    pub(super) fn digests(
        &mut self,
        now_ms: u64,
        roster: &Roster,
        checksum: u32,
        roster_changed: bool,
    ) -> Vec<OutgoingMessage> {
        let digest = self.make_digest(now_ms, roster, checksum);
        let mut outgoing = Vec::new();
        let alive: Vec<&Name> = roster.hosts.iter().map(|host| &host.host).collect();
        for (data_centre, hosts) in &self.remote_host_names {
            let senders = delegates::select(
                &self.local_host_names,
                &alive,
                self.data_centre_index(data_centre),
            );
            let Some(position) = senders.iter().position(|host| **host == self.own.host) else {
                continue;
            };
            let is_unsent = self.sent_roster_checksums.get(data_centre) != Some(&checksum);
            let attached = is_unsent.then(|| roster.clone());
            self.sent_roster_checksums.insert(data_centre.clone(), checksum);
            let turn = position + self.digest_sequence as usize;
            for to in self.receivers(now_ms, data_centre, hosts, turn, roster_changed) {
                outgoing.push(self.digest_message(now_ms, &to, digest.clone(), attached.clone()));
            }
        }
        outgoing
    }

    /// Returns the hosts of a data centre that receive a digest: its delegates in turn, or
    /// all of them if the roster changed.
    fn receivers(
        &self,
        now_ms: u64,
        data_centre: &Name,
        hosts: &[Name],
        turn: usize,
        roster_changed: bool,
    ) -> Vec<Name> {
        let index = self.data_centre_index(&self.own.data_centre);
        let alive = self.remote_data_centres.alive(now_ms, data_centre);
        if alive.is_empty() {
            // No host is known to be alive there: try its hosts one after the other.
            let next = delegates::in_preference_order(hosts, index).nth(turn % hosts.len());
            return next.cloned().into_iter().collect();
        }
        let receivers = delegates::select(hosts, &alive, index);
        if roster_changed {
            return receivers.into_iter().cloned().collect();
        }
        vec![receivers[turn % receivers.len()].clone()]
    }

    /// Index of a data centre among all data centres, sorted by name.
    fn data_centre_index(&self, data_centre: &Name) -> usize {
        let before = self.remote_host_names.range(..data_centre.clone()).count();
        let own_is_before = self.own.data_centre < *data_centre;
        before + usize::from(own_is_before)
    }

    fn digest_message(
        &self,
        now_ms: u64,
        to: &Name,
        digest: Digest,
        roster: Option<Roster>,
    ) -> OutgoingMessage {
        let incarnation = self.own.incarnation;
        let digest_message = DigestMessage { incarnation, sent_ms: now_ms, digest, roster };
        OutgoingMessage { to: to.clone(), message: MembershipMessage::Summary(digest_message) }
    }

    fn make_digest(&mut self, now_ms: u64, roster: &Roster, checksum: u32) -> Digest {
        self.digest_sequence += 1;
        let services = roster::summarize_services(
            self.upstreams.available(now_ms).map(|(_, announcement)| announcement),
        );
        let coarse_numbers = roster::encode_services(&services);
        let revisions = roster::encode_revisions(&roster.hosts);
        let own = &self.own;
        let (host, incarnation) = (own.host.clone(), own.incarnation);
        Digest((host, incarnation, self.digest_sequence, 0, checksum, revisions, coarse_numbers))
    }

    /// The live hosts and the services of the local data centre.
    pub(super) fn roster(&self, now_ms: u64) -> Roster {
        let alive = self.local_peers.alive(now_ms).chain([&self.own]);
        let mut hosts: Vec<HostRecord> = alive.cloned().collect();
        hosts.sort_by(|left, right| left.host.cmp(&right.host));
        let services = roster::summarize_services(
            self.upstreams.available(now_ms).map(|(_, announcement)| announcement),
        );
        Roster {
            data_centre: self.own.data_centre.clone(),
            hosts,
            services: services.into_iter().map(|summary| summary.service).collect(),
        }
    }
}
