//! How often a cold worker may be asked.
//!
//! The bound holds for all hosts together, in touch with each other or not, so
//! each host keeps to a fixed part of it and never borrows from the others.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;

use crate::window::Window;

/// Longer than a second, since requests spread on their way.
const SPAN_MS: u64 = 1_300;

/// The part of the cold workers' rate that is this host's.
#[derive(Clone, Debug, Default)]
pub struct ColdShare {
    sent: BTreeMap<Name, Window>,
}

impl ColdShare {
    /// Whether a request may go to a cold worker that bears `per_s` requests a
    /// second from `hosts` hosts; counts it if so.
    pub fn take(&mut self, now_ms: u64, worker: &Name, per_s: f64, hosts: usize) -> bool {
        let allowed = (per_s / hosts.max(1) as f64).floor() as usize;
        let sent = self.sent.entry(worker.clone()).or_insert_with(|| Window::new(SPAN_MS));
        let free = sent.count(now_ms) < allowed;
        if free {
            sent.add(now_ms);
        }
        free
    }

    /// Forgets a worker that is no longer cold.
    pub fn forget(&mut self, worker: &str) {
        self.sent.remove(worker);
    }
}
