//! The hosts of a fleet.
//!
//! Each host describes itself, and other hosts relay the description. The newest
//! description counts, by the start of the host and then by revision. A host is
//! alive while messages arrive from it directly, or while another host reports that
//! it receives them.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_schema::fleet::{FleetHost, FleetHostRole, FleetHostState};
use anvillift_schema::name::Name;

use crate::host_record::{HostRecord, MAX_REGION_SILENCE_MS};

/// Time after which a silent host is removed from the table, in milliseconds.
const REMOVE_AFTER_MS: u64 = 60_000;
/// Time without contact to any core after which a host stops using its share of the
/// fleet-wide limits, in milliseconds. It is shorter than [`REMOVE_AFTER_MS`], after
/// which the others divide that share among themselves.
const SHARE_VALID_MS: u64 = 45_000;

/// Times for which a [`HostTable`] relies on a report of another host.
#[derive(Clone, Copy, Debug)]
pub struct HostTableSettings {
    /// Time for which a host counts as alive after another host has reported it as
    /// connected, in milliseconds.
    pub reported_alive_ms: u64,
    /// Time for which such a report counts as confirmation that the host is alive,
    /// in milliseconds. With 0, only messages from the host itself do.
    pub reported_confirmed_ms: u64,
}

impl Default for HostTableSettings {
    fn default() -> Self {
        Self { reported_alive_ms: 7_000, reported_confirmed_ms: 0 }
    }
}

/// The hosts by name.
#[derive(Clone, Debug)]
pub struct HostTable {
    hosts: BTreeMap<Name, HostRecord>,
    settings: HostTableSettings,
    /// Last time at which this host was isolated: it relies on the reports of cores
    /// and none was connected.
    last_isolated_ms: u64,
    /// Regions of which a core was ever known, also if it has been removed.
    core_regions: BTreeSet<Name>,
    /// Time of the first message from a core after none was heard.
    hears_cores_since_ms: u64,
}

impl HostTable {
    /// Creates an empty table.
    pub fn new(settings: HostTableSettings) -> Self {
        Self {
            hosts: BTreeMap::new(),
            settings,
            last_isolated_ms: 0,
            core_regions: BTreeSet::new(),
            hears_cores_since_ms: 0,
        }
    }

    /// Adds or updates a description; returns whether it was accepted as new.
    /// `is_direct` means that it came from the host itself.
    pub fn merge(&mut self, now_ms: u64, host: FleetHost, is_direct: bool) -> bool {
        if host.role == FleetHostRole::Core {
            self.core_regions.insert(host.region.clone());
            if is_direct {
                self.note_core_message(now_ms);
            }
        }
        let Some(record) = self.hosts.get_mut(&host.name) else {
            let last_direct_ms = is_direct.then_some(now_ms);
            self.hosts.insert(
                host.name.clone(),
                HostRecord { host, last_direct_ms, last_seen_ms: now_ms },
            );
            return true;
        };
        let (new, old) = ((host.boot, host.revision), (record.host.boot, record.host.revision));
        // A host is the authority on its own description, even if its clock was set back.
        let accepted = new > old || (is_direct && record.host != host);
        if new >= old || is_direct {
            record.last_seen_ms = now_ms;
        }
        if is_direct {
            record.last_direct_ms = Some(now_ms);
        }
        if accepted {
            record.host = host;
        }
        accepted
    }

    /// Records a message from a host over its own link.
    pub fn record_message(&mut self, now_ms: u64, name: &str) {
        if self.hosts.get(name).is_some_and(|record| record.host.role == FleetHostRole::Core) {
            self.note_core_message(now_ms);
        }
        if let Some(record) = self.hosts.get_mut(name) {
            record.last_seen_ms = now_ms;
            record.last_direct_ms = Some(now_ms);
        }
    }

    /// Notes that a message from a core has arrived, before it is recorded.
    fn note_core_message(&mut self, now_ms: u64) {
        if !self.hears_any_core(now_ms) {
            self.hears_cores_since_ms = now_ms;
        }
    }

    fn hears_any_core(&self, now_ms: u64) -> bool {
        let mut cores =
            self.hosts.values().filter(|record| record.host.role == FleetHostRole::Core);
        cores.any(|record| record.is_heard(now_ms))
    }

    /// Records that another host reports a host as connected. Unknown hosts are ignored.
    pub fn record_report(&mut self, now_ms: u64, name: &str) {
        if let Some(record) = self.hosts.get_mut(name) {
            record.last_seen_ms = now_ms;
        }
    }

    /// The hosts that are confirmed as alive, by a direct message or a recent
    /// report. While this host is isolated, all hosts in the table count as
    /// confirmed.
    pub fn confirmed_alive(&self, now_ms: u64) -> Vec<FleetHost> {
        let reported_confirmed_ms = self.settings.reported_confirmed_ms;
        let is_isolated = self.is_isolated(now_ms);
        let is_confirmed = |record: &&HostRecord| {
            is_isolated
                || record.is_direct(now_ms)
                || record.last_seen_ms + reported_confirmed_ms > now_ms
        };
        self.hosts.values().filter(is_confirmed).map(|record| record.host.clone()).collect()
    }

    /// Whether this host may use its share of the fleet-wide limits. After long
    /// isolation the other hosts may have removed it and divided its share.
    pub fn may_use_share(&self, now_ms: u64) -> bool {
        let cores = self.hosts.values().filter(|record| record.host.role == FleetHostRole::Core);
        let last_core_ms = cores.filter_map(|record| record.last_direct_ms).max();
        last_core_ms.is_some_and(|last_ms| last_ms + SHARE_VALID_MS >= now_ms)
    }

    /// Whether this host relies on reports of cores and has no direct contact to any.
    fn is_isolated(&self, now_ms: u64) -> bool {
        let is_core = |record: &HostRecord| record.host.role == FleetHostRole::Core;
        let has_core_contact =
            self.hosts.values().any(|record| is_core(record) && record.is_direct(now_ms));
        self.settings.reported_confirmed_ms > 0 && !has_core_contact
    }

    /// The hosts from which messages arrive directly.
    pub fn direct_hosts(&self, now_ms: u64) -> Vec<FleetHost> {
        let direct = |record: &&HostRecord| record.is_direct(now_ms);
        self.hosts.values().filter(direct).map(|record| record.host.clone()).collect()
    }

    /// Regions of which a core was ever known.
    pub fn core_regions(&self) -> &BTreeSet<Name> {
        &self.core_regions
    }

    /// All hosts, each with whether it is alive.
    pub fn iter(&self, now_ms: u64) -> impl Iterator<Item = (&FleetHost, bool)> {
        let alive_ms = self.settings.reported_alive_ms;
        let alive = move |record: &HostRecord| record.last_seen_ms + alive_ms >= now_ms;
        self.hosts.values().map(move |record| (&record.host, alive(record)))
    }

    /// Time since the last message over the link of a host, in milliseconds; `None` if
    /// there was none. Reports of other hosts about it don't count.
    pub fn direct_silence_ms(&self, now_ms: u64, name: &str) -> Option<u64> {
        let last_direct_ms = self.hosts.get(name)?.last_direct_ms?;
        Some(now_ms.saturating_sub(last_direct_ms))
    }

    /// Whether messages arrive over the link of a host.
    pub fn is_direct(&self, now_ms: u64, name: &str) -> bool {
        self.hosts.get(name).is_some_and(|record| record.is_direct(now_ms))
    }

    /// The description of a host.
    pub fn get(&self, name: &str) -> Option<&FleetHost> {
        self.hosts.get(name).map(|record| &record.host)
    }

    /// Names of the entry hosts of a region, including those that have fallen
    /// silent and are not yet removed.
    pub fn entry_names_in(&self, region: &str) -> Vec<Name> {
        let entries = self.hosts.values().filter(|record| {
            record.host.role == FleetHostRole::Entry && record.host.region.as_str() == region
        });
        entries.map(|record| record.host.name.clone()).collect()
    }

    /// Share of the callers of a region that the directory sends to the host `name`, by its
    /// processor share. 1 if the host is not in the table yet.
    pub fn caller_share(&self, region: &str, name: &str) -> f64 {
        let entries = self
            .hosts
            .values()
            .map(|record| &record.host)
            .filter(|host| host.role == FleetHostRole::Entry && host.region.as_str() == region);
        let entries: Vec<&FleetHost> = entries.collect();
        let largest = entries.iter().filter_map(|host| host.cpu_millicores).max().unwrap_or(1);
        let size = |host: &&FleetHost| host.cpu_millicores.unwrap_or(largest).max(1) as f64;
        let own = entries.iter().find(|host| host.name.as_str() == name).map_or(0.0, size);
        let total: f64 = entries.iter().map(size).sum();
        if own > 0.0 { own / total } else { 1.0 }
    }

    /// Number of entry hosts, including those that have fallen silent and are not yet removed.
    pub fn entry_count(&self) -> usize {
        self.hosts.values().filter(|record| record.host.role == FleetHostRole::Entry).count()
    }

    /// Entry hosts of a region that are ready, and alive as far as this host can know:
    /// while it is isolated, the last reports count.
    pub fn ready_entries_in<'a>(
        &'a self,
        now_ms: u64,
        region: &'a str,
    ) -> impl Iterator<Item = &'a FleetHost> + 'a {
        let is_isolated = self.is_isolated(now_ms);
        let ready = move |(host, alive): &(&FleetHost, bool)| {
            (*alive || is_isolated)
                && host.role == FleetHostRole::Entry
                && host.state == FleetHostState::Ready
                && host.region.as_str() == region
        };
        self.iter(now_ms).filter(ready).map(|(host, _)| host)
    }

    /// Whether a region is reachable as far as this host can know, so that requests
    /// may be forwarded there. A core of the region that is silent while others have been
    /// heard for as long shows that the link to the region has failed. While no core of any
    /// region is heard, the cores themselves may have failed, and the entry hosts that
    /// forward and receive requests may be well. The same holds right after this host has
    /// stood still: it hears the cores again one after the other.
    pub fn is_region_reachable(&self, now_ms: u64, region: &str) -> bool {
        let mut cores_of_region = self.hosts.values().filter(|record| {
            record.host.role == FleetHostRole::Core && record.host.region.as_str() == region
        });
        let has_heard_cores_for_long = self.hears_cores_since_ms + MAX_REGION_SILENCE_MS < now_ms;
        if self.hears_any_core(now_ms) && has_heard_cores_for_long {
            cores_of_region.any(|record| record.is_heard(now_ms))
        } else {
            cores_of_region.next().is_some()
        }
    }

    /// Whether this host hears a core of every region that ever had one, so that it
    /// misses no news of any region.
    pub fn are_all_regions_reachable(&self, now_ms: u64) -> bool {
        let is_reachable = |region: &Name| {
            let heard = |record: &HostRecord| {
                record.host.role == FleetHostRole::Core
                    && record.host.region == *region
                    && record.is_heard(now_ms)
            };
            self.hosts.values().any(heard)
        };
        !self.core_regions.is_empty() && self.core_regions.iter().all(is_reachable)
    }

    /// Removes hosts that have been silent for a long time. Silence while this host
    /// was isolated does not count: the others may still share limits with it.
    pub fn remove_silent(&mut self, now_ms: u64) {
        if self.is_isolated(now_ms) {
            self.last_isolated_ms = now_ms;
        }
        let isolated_ms = self.last_isolated_ms;
        self.hosts
            .retain(|_, record| record.last_seen_ms.max(isolated_ms) + REMOVE_AFTER_MS >= now_ms);
    }
}
