//! The quarantine of requests that crash workers, as hosts share it: each entry is told to every
//! linked host once it is new, and all entries to a host whose link comes up. Entries are released
//! by the control state.

use std::collections::BTreeSet;

use anvillift_fleet::{QuarantineEntry, Verdict};
use anvillift_schema::event::Event;
use anvillift_schema::fleet::{FleetFrame, FleetHost, FleetQuarantine};
use anvillift_schema::name::Name;

use crate::clock;
use crate::node::Node;

impl Node {
    /// Quarantines what this host has found to crash workers.
    pub(crate) fn quarantine(&self, verdicts: Vec<Verdict>) {
        for Verdict { features, duration_ms } in verdicts {
            let finding = self.view.borrow().quarantine.release_count(&features);
            let entry = QuarantineEntry { features, remaining_ms: duration_ms, finding };
            self.add_quarantine(&quarantine_frame(entry), &self.own_host().name);
        }
    }

    /// Adds an entry that another host, or this one, has found. If it is new, the other
    /// linked hosts are told.
    pub(crate) fn add_quarantine(&self, entry: &FleetQuarantine, from: &Name) {
        let told = QuarantineEntry {
            features: entry.parts.iter().copied().collect(),
            remaining_ms: entry.remaining_ms,
            finding: entry.finding,
        };
        if !self.view.borrow_mut().quarantine.merge(clock::now_ms(), told) {
            return;
        }
        log::warn!(
            event = Event::FeaturesQuarantined.number(),
            features = features_text(entry.parts.iter().copied()),
            remaining_ms = entry.remaining_ms, finding = entry.finding, from = from.as_str();
            "requests with these features crash workers and are refused"
        );
        for name in self.quarantine_peers() {
            if name != *from
                && let Some(hub) = self.hub()
            {
                hub.send(&name, FleetFrame::Quarantine(entry.clone()));
            }
        }
    }

    /// Removes the entries that have ended, and exports how many are left.
    pub(crate) fn remove_ended_quarantine(&self) {
        let now_ms = clock::now_ms();
        let mut view = self.view.borrow_mut();
        view.quarantine.remove_ended(now_ms);
        let entries = view.quarantine.iter(now_ms).count();
        metrics::gauge!("anvillift_quarantined_parts").set(entries as f64);
    }

    /// Tells a host whose link has come up what is quarantined.
    pub(crate) fn send_quarantine(&self, host: &FleetHost) {
        let Some(hub) = self.hub() else { return };
        if !host.shares_quarantine {
            return;
        }
        for entry in self.view.borrow().quarantine.entries(clock::now_ms()) {
            hub.send(&host.name, FleetFrame::Quarantine(quarantine_frame(entry)));
        }
    }

    /// Releases the entries whose features were served in a trial, by the control state.
    pub(crate) fn release_quarantine(&self) {
        let mut view = self.view.borrow_mut();
        let releases = view.control.trials.iter().map(|record| {
            let features: BTreeSet<u64> = record.parts.iter().copied().collect();
            (features, record.released)
        });
        let releases = releases.collect();
        for features in view.quarantine.set_releases(releases) {
            log::warn!(
                event = Event::QuarantineReleased.number(), features = features_text(features);
                "requests with these features are sent again: one was served in a trial"
            );
        }
    }

    /// Linked hosts that understand the frames about crashes and the quarantine.
    pub(crate) fn quarantine_peers(&self) -> Vec<Name> {
        let Some(hub) = self.hub() else { return Vec::new() };
        let view = self.view.borrow();
        let mut names = hub.connected();
        names.retain(|name| view.hosts.get(name).is_some_and(|host| host.shares_quarantine));
        names
    }
}

/// An entry in the form in which hosts tell it to each other.
pub(crate) fn quarantine_frame(entry: QuarantineEntry) -> FleetQuarantine {
    FleetQuarantine {
        parts: entry.features.into_iter().collect(),
        remaining_ms: entry.remaining_ms,
        finding: entry.finding,
    }
}

/// Features for the log, hexadecimal and separated by commas.
pub(crate) fn features_text(features: impl IntoIterator<Item = u64>) -> String {
    let ids: Vec<String> = features.into_iter().map(|feature| format!("{feature:x}")).collect();
    ids.join(",")
}
