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
/// Time out of touch after which a host gives up its part of what hosts share:
/// before the others forget it, in milliseconds.
const SHARE_UNTIL_MS: u64 = 45_000;

/// How long a table trusts what other hosts say.
#[derive(Clone, Copy, Debug)]
pub struct HostTableSettings {
    /// Time for which a host counts as alive after another host has said that
    /// it hears it, in milliseconds.
    pub told_alive_ms: u64,
    /// Time for which it counts as surely alive, in milliseconds; 0 where only
    /// a host's own sign of life makes it sure.
    pub told_sure_ms: u64,
}

impl Default for HostTableSettings {
    fn default() -> Self {
        Self { told_alive_ms: 7_000, told_sure_ms: 0 }
    }
}

#[derive(Clone, Debug)]
struct Heard {
    host: FleetHost,
    direct_ms: Option<u64>,
    heard_ms: u64,
}

impl Heard {
    fn is_direct(&self, now_ms: u64) -> bool {
        self.direct_ms.is_some_and(|ms| ms + DIRECT_ALIVE_MS >= now_ms)
    }
}

/// The hosts by name.
#[derive(Clone, Debug)]
pub struct HostTable {
    hosts: BTreeMap<Name, Heard>,
    settings: HostTableSettings,
    /// When no core was heard for the last time, where those tell of the others.
    out_of_touch_ms: u64,
}

impl HostTable {
    /// A table without hosts yet.
    pub fn new(settings: HostTableSettings) -> Self {
        Self { hosts: BTreeMap::new(), settings, out_of_touch_ms: 0 }
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

    /// Notes that another host hears a host, if that is known here.
    pub fn told(&mut self, now_ms: u64, name: &str) {
        if let Some(known) = self.hosts.get_mut(name) {
            known.heard_ms = now_ms;
        }
    }

    /// The hosts that are surely alive: heard directly, or told of a moment ago.
    /// A host that trusts what cores tell and hears none keeps to what it knew.
    pub fn surely_alive(&self, now_ms: u64) -> Vec<FleetHost> {
        let told_sure_ms = self.settings.told_sure_ms;
        let keeps_all = self.is_out_of_touch(now_ms);
        let sure = |heard: &&Heard| {
            keeps_all || heard.is_direct(now_ms) || heard.heard_ms + told_sure_ms > now_ms
        };
        self.hosts.values().filter(sure).map(|heard| heard.host.clone()).collect()
    }

    /// Whether this host may use its part of what hosts share. One that has been
    /// out of touch for long may have been forgotten, and its part given away.
    pub fn holds_share(&self, now_ms: u64) -> bool {
        let cores = self.hosts.values().filter(|heard| heard.host.role == FleetHostRole::Core);
        let heard_ms = cores.filter_map(|heard| heard.direct_ms).max();
        heard_ms.is_some_and(|heard_ms| heard_ms + SHARE_UNTIL_MS >= now_ms)
    }

    /// Whether this host trusts what cores tell and hears none.
    fn is_out_of_touch(&self, now_ms: u64) -> bool {
        let is_core = |heard: &Heard| heard.host.role == FleetHostRole::Core;
        let hears_core = self.hosts.values().any(|heard| is_core(heard) && heard.is_direct(now_ms));
        self.settings.told_sure_ms > 0 && !hears_core
    }

    /// The hosts that this one hears itself.
    pub fn heard_directly(&self, now_ms: u64) -> Vec<FleetHost> {
        let direct = |heard: &&Heard| heard.is_direct(now_ms);
        self.hosts.values().filter(direct).map(|heard| heard.host.clone()).collect()
    }

    /// Every host, with whether it is alive.
    pub fn iter(&self, now_ms: u64) -> impl Iterator<Item = (&FleetHost, bool)> {
        let alive_ms = self.settings.told_alive_ms;
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

    /// Drops hosts that have long been silent. Silence while this host was out
    /// of touch says nothing: the others may still share limits with it.
    pub fn forget(&mut self, now_ms: u64) {
        if self.is_out_of_touch(now_ms) {
            self.out_of_touch_ms = now_ms;
        }
        let touched_ms = self.out_of_touch_ms;
        self.hosts.retain(|_, heard| heard.heard_ms.max(touched_ms) + FORGET_AFTER_MS >= now_ms);
    }
}
