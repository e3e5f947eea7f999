//! The voters of the control log: the leader's changes, the removal of a host that stops, and
//! their metrics.

use std::time::Duration;

use anvillift_fleet::core_roster;
use anvillift_fleet::core_roster::{RosterChange, RosterView};
use anvillift_schema::consensus::{Voter, VoterSet};
use anvillift_schema::event::Event;
use tokio::time;

use crate::clock;
use crate::core::Core;

/// Interval at which a planned stop checks whether this host is still a voter.
const REMOVAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Core {
    /// Starts the next change of the voters, if this host leads the group.
    pub(super) async fn change_voters(&self) {
        let status = self.log.status();
        let Some(leader_time) = status.time_as_leader() else { return };
        if self.node.is_leaving() {
            return;
        }
        let voters = &status.voters;
        let change = self.with_roster_view(leader_time.as_millis() as u64, |view| {
            core_roster::next_change(view, voters)
        });
        let (replica, result) = match &change {
            None => return,
            Some(RosterChange::Add(replica)) => {
                (replica, self.log.add_learner(replica.clone()).await)
            }
            Some(RosterChange::Remove(replica)) => {
                (replica, self.log.remove_replica(replica).await)
            }
        };
        let outcome = result.map_or_else(|error| error.to_string(), |()| "begun".to_owned());
        log::info!(
            event = Event::VotersChanged.number(), replica = replica.host.as_str(),
            storage = replica.storage_id.as_str(), voters = voters.voters.len(), outcome = outcome;
            "change of the voters: {change:?}"
        );
    }

    /// Transfers leadership, and waits until this host, which stops, is no voter, if its removal
    /// is expected. Otherwise the loss of another host right after the stop could take the
    /// majority. If the host is elected meanwhile, because the leader was lost, it transfers
    /// leadership again.
    pub(super) async fn hand_over(&self, timeout: Duration) {
        let start = time::Instant::now();
        let handed_over = async {
            self.log.hand_over().await;
            while self.awaits_removal() {
                time::sleep(REMOVAL_CHECK_INTERVAL).await;
                self.log.hand_over().await;
            }
        };
        let is_over = time::timeout(timeout, handed_over).await.is_ok();
        let voters = self.log.status().voters.voters;
        log::info!(
            event = Event::ControlHandedOver.number(), voters = voters.len(),
            is_voter = voters.contains(&self.own_replica()), timed_out = !is_over,
            waited_ms = start.elapsed().as_millis() as u64;
            "planned stop has handed over control"
        );
    }

    fn awaits_removal(&self) -> bool {
        let status = self.log.status();
        if !status.voters.voters.contains(&self.own_replica()) {
            return !status.are_voters_committed();
        }
        let waited_ms = clock::now_ms().saturating_sub(self.started_ms);
        self.with_roster_view(waited_ms, |view| {
            core_roster::is_removal_expected(view, &status.voters)
        })
    }

    fn with_roster_view<T>(&self, waited_ms: u64, choose: impl FnOnce(&RosterView<'_>) -> T) -> T {
        let own_name = self.node.own_host().name;
        let hosts = &self.node.view.borrow().hosts;
        choose(&RosterView { own_name: &own_name, hosts, now_ms: clock::now_ms(), waited_ms })
    }

    fn own_replica(&self) -> Voter {
        let own_host = self.node.own_host();
        Voter { host: own_host.name, storage_id: own_host.storage_id }
    }

    /// Sets the metrics of the control group's voters, as seen by this replica.
    pub(super) fn export_voter_metrics(&self) {
        let voters = self.log.status().voters;
        let is_voter = voters.voters.contains(&self.own_replica());
        metrics::gauge!("anvillift_control_voters").set(voters.voters.len() as f64);
        metrics::gauge!("anvillift_control_learners").set(voters.learners.len() as f64);
        metrics::gauge!("anvillift_control_votes").set(f64::from(u8::from(is_voter)));
        metrics::gauge!("anvillift_control_voters_heard").set(self.heard_voters(&voters) as f64);
    }

    /// Number of voters from which messages arrive, with their current storage.
    fn heard_voters(&self, voters: &VoterSet) -> usize {
        let own = self.own_replica();
        let now_ms = clock::now_ms();
        let hosts = &self.node.view.borrow().hosts;
        let is_heard = |voter: &&Voter| {
            let host = hosts.get(&voter.host).filter(|_| hosts.is_direct(now_ms, &voter.host));
            **voter == own || host.is_some_and(|host| host.storage_id == voter.storage_id)
        };
        voters.voters.iter().filter(is_heard).count()
    }
}
