//! The owner of the quotas: the core host that leads the control group.

use std::collections::BTreeMap;

use anvillift_consensus::RoleKind;
use anvillift_fleet::{KnownHosts, QuotaOwner};
use anvillift_replication::GroupStatus;
use anvillift_schema::consensus::{ConsensusEnvelope, ConsensusMessage};
use anvillift_schema::fleet::{FleetFrame, FleetQuotaWanted};
use anvillift_schema::name::Name;

use crate::clock;
use crate::core::Core;

/// Time without a majority of the core hosts after which nothing is granted, in milliseconds:
/// the others may have elected another leader then.
const MAJORITY_HEARD_MS: u64 = 700;
/// Interval at which this host checks whether it leads, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 25;
/// Time without any activity of this process after which it counts as having been frozen, in
/// milliseconds.
const FROZEN_AFTER_MS: u64 = 600;
/// Time after a freeze for which answers of followers don't count, in milliseconds. They may
/// have been received during the freeze.
const AFTER_FREEZE_MS: u64 = 100;

/// The quotas of this host while it leads the control group.
#[derive(Debug, Default)]
pub(super) struct OwnedQuotas {
    owner: Option<QuotaOwner>,
    hosts: KnownHosts,
    /// Term and time of the last answer of each follower.
    followers: BTreeMap<Name, (u64, u64)>,
    is_majority_heard: bool,
    last_active_ms: u64,
    last_check_ms: u64,
    resumed_ms: u64,
}

impl OwnedQuotas {
    /// Detects that the process was frozen. Its buckets are empty then: another host may have
    /// been the owner since.
    fn note_activity(&mut self, now_ms: u64) {
        if now_ms > self.last_active_ms + FROZEN_AFTER_MS {
            self.resumed_ms = now_ms;
            self.owner = None;
            self.followers.clear();
            self.is_majority_heard = false;
            self.last_check_ms = 0;
        }
        self.last_active_ms = now_ms;
    }

    /// Starts or ends ownership as this host leads or not.
    fn update_term(&mut self, now_ms: u64, status: &GroupStatus) {
        if status.role != RoleKind::Leader {
            self.owner = None;
        } else if self.owner.as_ref().is_none_or(|owner| owner.term() != status.term) {
            self.owner = Some(QuotaOwner::new(now_ms, status.term));
        }
    }

    /// Whether a majority of the voters has recently followed this host.
    fn has_majority(&self, now_ms: u64, own_name: &Name, status: &GroupStatus) -> bool {
        let follows = |name: &Name| {
            let heard = self.followers.get(name);
            heard.is_some_and(|(term, heard_ms)| {
                *term == status.term && heard_ms + MAJORITY_HEARD_MS >= now_ms
            })
        };
        let voters = &status.voters.voters;
        let count = voters.iter().filter(|voter| voter.host == *own_name || follows(&voter.host));
        count.count() > voters.len() / 2
    }
}

impl Core {
    /// Records that another core host follows a leader, from its answer to the leader.
    pub(super) fn note_follower(&self, from: &Name, envelope: &ConsensusEnvelope) {
        let ConsensusMessage::AppendResponse { term, .. } = envelope.message else { return };
        let now_ms = clock::now_ms();
        let mut quotas = self.quotas.borrow_mut();
        quotas.note_activity(now_ms);
        if now_ms >= quotas.resumed_ms + AFTER_FREEZE_MS {
            quotas.followers.insert(from.clone(), (term, now_ms));
        }
    }

    /// Keeps the owner's state up to date while no host asks.
    pub(super) fn update_quotas(&self) {
        let now_ms = clock::now_ms();
        let mut quotas = self.quotas.borrow_mut();
        quotas.note_activity(now_ms);
        quotas.update_term(now_ms, &self.log.status());
        let owner = quotas.owner.as_ref();
        let teams = owner.map_or(0, QuotaOwner::team_count);
        let heard = owner.map_or(0, QuotaOwner::heard_count);
        metrics::gauge!("anvillift_quota_owned_teams").set(teams as f64);
        metrics::gauge!("anvillift_quota_hosts_heard").set(heard as f64);
        let view = self.node.view.borrow();
        let is_complete = view.hosts.are_all_regions_reachable(now_ms);
        quotas.hosts.update(view.hosts.entry_count(), is_complete);
    }

    /// Answers an entry host if this host is the owner of the quotas.
    pub(super) fn on_quota_wanted(&self, from: &Name, wanted: &FleetQuotaWanted) {
        let now_ms = clock::now_ms();
        let mut quotas = self.quotas.borrow_mut();
        quotas.note_activity(now_ms);
        if now_ms >= quotas.last_check_ms + CHECK_INTERVAL_MS {
            quotas.last_check_ms = now_ms;
            let status = self.log.status();
            let own_name = self.node.own_host().name;
            quotas.update_term(now_ms, &status);
            quotas.is_majority_heard = quotas.has_majority(now_ms, &own_name, &status);
        }
        let is_owner = quotas.is_majority_heard && !self.node.is_leaving();
        let hosts = quotas.hosts;
        let Some(owner) = quotas.owner.as_mut().filter(|_| is_owner) else { return };
        let view = self.node.view.borrow();
        let Some(configuration) = &view.configuration else { return };
        let granted = owner.grant(now_ms, from, wanted, &configuration.teams, hosts);
        if let Some(hub) = self.node.hub() {
            hub.send(from, FleetFrame::QuotaGranted(granted));
        }
    }
}
