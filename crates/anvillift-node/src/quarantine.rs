//! The quarantine of requests that crash workers, as hosts share it: each entry is told to every
//! linked host once it is new, and all entries to a host whose link comes up.

use std::collections::BTreeSet;

use anvillift_fleet::Verdict;
use anvillift_schema::event::Event;
use anvillift_schema::fleet::{FleetFrame, FleetHost, FleetQuarantine};
use anvillift_schema::name::Name;

use crate::clock;
use crate::node::Node;

impl Node {
    /// Quarantines what this host has found to crash workers.
    pub(crate) fn quarantine(&self, verdicts: Vec<Verdict>) {
        for verdict in verdicts {
            let parts = verdict.features.into_iter().collect();
            let entry = FleetQuarantine { parts, remaining_ms: verdict.duration_ms };
            self.add_quarantine(&entry, &self.own_host().name);
        }
    }

    /// Adds an entry that another host, or this one, has found. If it is new, the other
    /// linked hosts are told.
    pub(crate) fn add_quarantine(&self, entry: &FleetQuarantine, from: &Name) {
        let features: BTreeSet<u64> = entry.parts.iter().copied().collect();
        let now_ms = clock::now_ms();
        let is_new = self.view.borrow_mut().quarantine.add(now_ms, features, entry.remaining_ms);
        if !is_new {
            return;
        }
        log::warn!(
            event = Event::FeaturesQuarantined.number(),
            features = features_text(entry.parts.iter().copied()),
            remaining_ms = entry.remaining_ms, from = from.as_str();
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
        for (features, remaining_ms) in self.view.borrow().quarantine.iter(clock::now_ms()) {
            let parts = features.iter().copied().collect();
            let entry = FleetQuarantine { parts, remaining_ms };
            hub.send(&host.name, FleetFrame::Quarantine(entry));
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

/// Features for the log, hexadecimal and separated by commas.
pub(crate) fn features_text(features: impl IntoIterator<Item = u64>) -> String {
    let ids: Vec<String> = features.into_iter().map(|feature| format!("{feature:x}")).collect();
    ids.join(",")
}
