//! How often a cold worker may be asked.
//!
//! The bound holds for all hosts together, in touch with each other or not, so
//! each host keeps to a fixed part of it and never borrows from the others.
//! Where there are more hosts than requests, a ranking that all compute alike
//! says whose they are.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;
use anvillift_schema::rendezvous;

use crate::window::Window;

/// Longer than a second, since requests spread on their way.
const SPAN_MS: u64 = 1_300;

/// Hosts that a region is taken to have until the fleet's hosts are known: after
/// a loss of power the first one back sees itself alone.
const UNSETTLED_HOSTS: usize = 4;

/// The hosts that share the rate of a region's cold workers.
#[derive(Clone, Debug)]
pub struct Sharers<'a> {
    /// Own name.
    pub me: &'a str,
    /// Names of all of them.
    pub hosts: &'a [Name],
    /// Whether the own start is long enough ago for all to be known.
    pub is_settled: bool,
}

impl Sharers<'_> {
    /// Requests of `limit` in a second that are the own host's.
    fn own_part(&self, worker: &str, limit: f64) -> usize {
        let known = self.hosts.len().max(1);
        let count = if self.is_settled { known } else { known.max(UNSETTLED_HOSTS) };
        let part = (limit / count as f64).floor() as usize;
        if part > 0 || !self.is_settled {
            return part;
        }
        let key = rendezvous::hash(worker.as_bytes());
        let rank = |host: &str| rendezvous::rank(key, host);
        let own = rank(self.me);
        let before = self.hosts.iter().filter(|host| rank(host) < own).count();
        usize::from((before as f64) < limit.floor())
    }
}

/// The part of the cold workers' rate that is this host's.
#[derive(Clone, Debug, Default)]
pub struct ColdShare {
    sent: BTreeMap<Name, Window>,
}

impl ColdShare {
    /// Whether a request may go to a cold worker that bears `per_s` requests a
    /// second from all hosts together; counts it if so.
    pub fn take(&mut self, now_ms: u64, worker: &Name, per_s: f64, sharers: &Sharers<'_>) -> bool {
        let allowed = sharers.own_part(worker, per_s);
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
