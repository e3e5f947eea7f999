//! State of all other data centres.
//!
//! Two delegates of each data centre send digests to two delegates of the local
//! one, which relay them in their heartbeats. Digests of a delegate are ordered
//! by its incarnation and sequence number, and a relayed digest carries its age.
//! Start at [`RemoteDataCentres`].

use std::collections::BTreeMap;

use anvillift_schema::membership::{Digest, Roster};
use anvillift_schema::name::Name;

use crate::remote_data_centre::{RelayCause, RemoteDataCentre};
use crate::sender_clock::SenderClock;
use crate::view::{DataCentreView, HostView};

/// How long before the end of the interval a digest may already be relayed, in milliseconds.
const RELAY_SLACK_MS: u64 = 100;

/// Digests and rosters to relay in the next heartbeat.
#[derive(Debug, Default)]
pub(crate) struct RelayBatch {
    pub(crate) digests: Vec<Digest>,
    pub(crate) rosters: Vec<Roster>,
}

/// The other data centres by name, with the clocks of their delegates.
#[derive(Debug, Default)]
pub(crate) struct RemoteDataCentres {
    by_name: BTreeMap<Name, RemoteDataCentre>,
    clocks: BTreeMap<Name, SenderClock>,
    /// Newest digest received directly from each delegate, by data centre and delegate.
    direct: BTreeMap<(Name, Name), (u64, Digest)>,
    max_age_ms: u64,
    interval_ms: u64,
}

impl RemoteDataCentres {
    /// Creates the state without any data centre. Digests are valid for `max_age_ms` after
    /// their creation and are relayed every `interval_ms`.
    pub(crate) fn new(max_age_ms: u64, interval_ms: u64) -> Self {
        Self { max_age_ms, interval_ms, ..Self::default() }
    }

    /// How late a message from a delegate is, in milliseconds; `None` if an older incarnation
    /// sent it.
    pub(crate) fn delay_ms(
        &mut self,
        now_ms: u64,
        from: &Name,
        incarnation: u64,
        sent_ms: u64,
    ) -> Option<u64> {
        self.clocks.entry(from.clone()).or_default().delay_ms(now_ms, incarnation, sent_ms)
    }

    /// Applies a digest received directly from a delegate of `data_centre`.
    pub(crate) fn receive_direct(
        &mut self,
        now_ms: u64,
        data_centre: &Name,
        created_ms: u64,
        digest: Digest,
    ) {
        if self.apply_digest(now_ms, data_centre, created_ms, digest.clone()) {
            let delegate = digest.0.0.clone();
            self.direct.insert((data_centre.clone(), delegate), (created_ms, digest));
        }
    }

    /// Applies a digest relayed by a host of the local data centre.
    pub(crate) fn receive_relayed(
        &mut self,
        now_ms: u64,
        data_centre: &Name,
        created_ms: u64,
        digest: Digest,
    ) {
        self.by_name.entry(data_centre.clone()).or_default().mark_relayed(created_ms, &digest);
        self.apply_digest(now_ms, data_centre, created_ms, digest);
    }

    fn apply_digest(
        &mut self,
        now_ms: u64,
        data_centre: &Name,
        created_ms: u64,
        digest: Digest,
    ) -> bool {
        let max_age_ms = self.max_age_ms;
        let state = self.by_name.entry(data_centre.clone()).or_default();
        let is_newer = state.insert_digest(created_ms, digest);
        state.update_last_seen(now_ms, max_age_ms);
        is_newer
    }

    /// Stores a roster of a data centre.
    pub(crate) fn insert_roster(&mut self, now_ms: u64, roster: Roster) {
        let max_age_ms = self.max_age_ms;
        let state = self.by_name.entry(roster.data_centre.clone()).or_default();
        state.insert_roster(now_ms, roster);
        state.update_last_seen(now_ms, max_age_ms);
    }

    /// Whether the roster with a checksum has been received.
    pub(crate) fn has_roster(&self, data_centre: &Name, checksum: u32) -> bool {
        self.by_name.get(data_centre).is_some_and(|state| state.roster(checksum).is_some())
    }

    /// The rosters of a data centre that were relayed inside the local one.
    pub(crate) fn relayed_rosters(&self, data_centre: &Name) -> Vec<Roster> {
        self.by_name.get(data_centre).map(RemoteDataCentre::relayed_rosters).unwrap_or_default()
    }

    /// Collects what this host must relay now as a delegate, and marks it as relayed.
    pub(crate) fn take_relay_batch(&mut self, now_ms: u64) -> RelayBatch {
        let mut batch = RelayBatch::default();
        let interval_ms = self.relay_interval_ms();
        for ((data_centre, _), (created_ms, digest)) in &self.direct {
            let Some(state) = self.by_name.get_mut(data_centre) else { continue };
            let Some(cause) = state.relay_cause(*created_ms, digest, interval_ms) else { continue };
            state.mark_relayed(*created_ms, digest);
            if cause == RelayCause::NewRoster {
                batch.rosters.extend(state.roster(digest.0.4).cloned());
            }
            let mut digest = digest.clone();
            digest.0.3 = now_ms.saturating_sub(*created_ms);
            batch.digests.push(digest);
        }
        batch
    }

    /// Whether a digest with a new or changed roster is waiting to be relayed.
    pub(crate) fn has_urgent_digests(&self) -> bool {
        let interval_ms = self.relay_interval_ms();
        self.direct.iter().any(|((data_centre, _), (created_ms, digest))| {
            let state = self.by_name.get(data_centre);
            let cause = state.and_then(|state| state.relay_cause(*created_ms, digest, interval_ms));
            matches!(cause, Some(RelayCause::NewRoster | RelayCause::Changed))
        })
    }

    fn relay_interval_ms(&self) -> u64 {
        self.interval_ms - RELAY_SLACK_MS
    }

    /// Names of the hosts alive in a data centre; empty without a valid digest.
    pub(crate) fn alive(&self, now_ms: u64, data_centre: &Name) -> Vec<&Name> {
        let state = self.by_name.get(data_centre);
        state.map(|state| state.alive(now_ms, self.max_age_ms)).unwrap_or_default()
    }

    /// All hosts seen so far in other data centres.
    pub(crate) fn host_views(&self, now_ms: u64) -> impl Iterator<Item = HostView> {
        self.by_name.values().flat_map(move |state| state.host_views(now_ms, self.max_age_ms))
    }

    /// The data centres with a valid digest.
    pub(crate) fn views(&self, now_ms: u64) -> BTreeMap<Name, DataCentreView> {
        let view = |(name, state): (&Name, &RemoteDataCentre)| {
            let (summary, age_ms) = state.summary(now_ms, self.max_age_ms)?;
            Some((name.clone(), DataCentreView { summary, age_ms }))
        };
        self.by_name.iter().filter_map(view).collect()
    }

    /// Removes digests that are no longer valid.
    pub(crate) fn prune(&mut self, now_ms: u64) {
        let max_age_ms = self.max_age_ms;
        self.direct.retain(|_, (created_ms, _)| now_ms.saturating_sub(*created_ms) <= max_age_ms);
        for state in self.by_name.values_mut() {
            state.prune(now_ms, max_age_ms);
        }
    }
}
