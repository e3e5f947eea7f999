//! The hosts of a fleet.
//!
//! Each host describes itself; others pass the description on. The newest
//! counts, by start and revision. A host is alive while it is heard directly,
//! or while another host that hears it says so.

use std::collections::BTreeMap;

use anvillift_schema::fleet::{FleetHost, FleetHostRole, FleetHostState};
use anvillift_schema::name::Name;

/// Time after which a host that was heard directly no longer counts as alive,
/// in milliseconds.
const DIRECT_ALIVE_MS: u64 = 2_500;
/// Time after which a silent host is forgotten, in milliseconds.
const FORGET_AFTER_MS: u64 = 60_000;

#[derive(Clone, Debug)]
struct Heard {
    host: FleetHost,
    direct_ms: Option<u64>,
    heard_ms: u64,
}

/// The hosts by name.
#[derive(Clone, Debug)]
pub struct HostTable {
    hosts: BTreeMap<Name, Heard>,
    indirect_alive_ms: u64,
}

impl HostTable {
    /// A table in which a host counts as alive for so long after another host
    /// has said that it hears it.
    pub fn new(indirect_alive_ms: u64) -> Self {
        Self { hosts: BTreeMap::new(), indirect_alive_ms }
    }

    /// Takes a description; whether it is new. `direct` says that it came from
    /// the host itself.
    pub fn merge(&mut self, now_ms: u64, host: FleetHost, direct: bool) -> bool {
        let Some(known) = self.hosts.get_mut(&host.name) else {
            let direct_ms = direct.then_some(now_ms);
            self.hosts.insert(host.name.clone(), Heard { host, direct_ms, heard_ms: now_ms });
            return true;
        };
        let (new, old) = ((host.boot, host.revision), (known.host.boot, known.host.revision));
        // A host knows its own present; its clock may have been set back.
        let accepted = new > old || (direct && new != old);
        if new >= old || direct {
            known.heard_ms = now_ms;
        }
        if direct {
            known.direct_ms = Some(now_ms);
        }
        if accepted {
            known.host = host;
        }
        accepted
    }

    /// Notes a sign of life of a host over its own link.
    pub fn heard(&mut self, now_ms: u64, name: &str) {
        if let Some(known) = self.hosts.get_mut(name) {
            known.heard_ms = now_ms;
            known.direct_ms = Some(now_ms);
        }
    }

    /// The hosts that this one hears itself.
    pub fn heard_directly(&self, now_ms: u64) -> Vec<FleetHost> {
        let direct =
            |heard: &&Heard| heard.direct_ms.is_some_and(|ms| ms + DIRECT_ALIVE_MS >= now_ms);
        self.hosts.values().filter(direct).map(|heard| heard.host.clone()).collect()
    }

    /// Every host, with whether it is alive.
    pub fn iter(&self, now_ms: u64) -> impl Iterator<Item = (&FleetHost, bool)> {
        let alive_ms = self.indirect_alive_ms;
        let alive = move |heard: &Heard| heard.heard_ms + alive_ms >= now_ms;
        self.hosts.values().map(move |heard| (&heard.host, alive(heard)))
    }

    /// How long a host has not been heard, in milliseconds.
    pub fn silent_ms(&self, now_ms: u64, name: &str) -> Option<u64> {
        self.hosts.get(name).map(|heard| now_ms.saturating_sub(heard.heard_ms))
    }

    /// A host by its name.
    pub fn get(&self, name: &str) -> Option<&FleetHost> {
        self.hosts.get(name).map(|heard| &heard.host)
    }

    /// Hosts that take callers, alive or silent for a little while, in a region.
    pub fn entries_known_in(&self, region: &str) -> Vec<Name> {
        let entries = self.hosts.values().filter(|heard| {
            heard.host.role == FleetHostRole::Entry && heard.host.region.as_str() == region
        });
        entries.map(|heard| heard.host.name.clone()).collect()
    }

    /// Hosts that take callers, alive or silent for a little while.
    pub fn entries_known(&self) -> usize {
        self.hosts.values().filter(|heard| heard.host.role == FleetHostRole::Entry).count()
    }

    /// Entry hosts of a region that are alive and ready.
    pub fn ready_entries_in<'a>(
        &'a self,
        now_ms: u64,
        region: &'a str,
    ) -> impl Iterator<Item = &'a FleetHost> + 'a {
        let ready = move |(host, alive): &(&FleetHost, bool)| {
            *alive
                && host.role == FleetHostRole::Entry
                && host.state == FleetHostState::Ready
                && host.region.as_str() == region
        };
        self.iter(now_ms).filter(ready).map(|(host, _)| host)
    }

    /// How long no core host of a region has been heard directly, in milliseconds.
    pub fn region_silent_ms(&self, now_ms: u64, region: &str) -> Option<u64> {
        let cores = self.hosts.values().filter(|heard| {
            heard.host.role == FleetHostRole::Core && heard.host.region.as_str() == region
        });
        let heard_ms = cores.filter_map(|heard| heard.direct_ms).max()?;
        Some(now_ms.saturating_sub(heard_ms))
    }

    /// Drops hosts that have long been silent.
    pub fn forget(&mut self, now_ms: u64) {
        self.hosts.retain(|_, heard| heard.heard_ms + FORGET_AFTER_MS >= now_ms);
    }
}
