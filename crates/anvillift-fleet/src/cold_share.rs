//! Limits the requests that this host sends to a cold worker.
//!
//! The limit holds for all hosts together, also while they cannot reach each other,
//! so each host uses a fixed share of it and never borrows from the others. If
//! there are more hosts than requests per second, a rendezvous ranking that all
//! hosts compute identically selects the hosts that may send one.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;
use anvillift_schema::rendezvous;

use crate::window::Window;

/// Window over which requests are counted, in milliseconds. It is longer than one
/// second because the spacing of requests changes on their way to the worker.
const WINDOW_MS: u64 = 1_300;

/// Fewest hosts assumed in a region until all hosts of the fleet are known. After a
/// loss of power the first host to restart sees only itself.
const MIN_HOSTS_AFTER_START: usize = 4;

/// The hosts that share the request rate of the cold workers of a region.
#[derive(Clone, Debug)]
pub struct LimitSharers<'a> {
    /// Name of this host.
    pub own_name: &'a str,
    /// Names of all hosts, this one included.
    pub hosts: &'a [Name],
    /// Whether this host started long enough ago to have discovered all others.
    pub has_discovered_all_hosts: bool,
}

impl LimitSharers<'_> {
    /// Number of hosts that share a limit, at least as many as there may be.
    pub(crate) fn count(&self) -> usize {
        let known_hosts = self.hosts.len().max(1);
        if self.has_discovered_all_hosts {
            known_hosts
        } else {
            known_hosts.max(MIN_HOSTS_AFTER_START)
        }
    }

    /// Number of hosts that rank before this one for a key.
    pub(crate) fn ranked_before(&self, key: u64) -> usize {
        let own_rank = rendezvous::rank(key, self.own_name);
        self.hosts.iter().filter(|host| rendezvous::rank(key, host) < own_rank).count()
    }

    /// Requests per second that this host may send, of `limit` for all hosts together.
    fn own_share(&self, worker: &str, limit: f64) -> usize {
        let share = (limit / self.count() as f64).floor() as usize;
        if share > 0 || !self.has_discovered_all_hosts {
            return share;
        }
        let key = rendezvous::hash(worker.as_bytes());
        usize::from((self.ranked_before(key) as f64) < limit.floor())
    }
}

/// Counts the requests that this host sent to each cold worker.
#[derive(Clone, Debug, Default)]
pub struct ColdShare {
    sent: BTreeMap<Name, Window>,
    /// Time until which what this host sent before its restart may count, in milliseconds.
    spent_until_ms: u64,
}

impl ColdShare {
    /// The share of a host that has restarted. What it sent before is not known, so that its share
    /// counts as spent for the length of the window.
    pub fn after_restart(now_ms: u64) -> Self {
        Self { spent_until_ms: now_ms + WINDOW_MS, ..Self::default() }
    }

    /// Whether a request may go to a cold worker that takes `per_s` requests per
    /// second from all hosts together. If so, the request is counted.
    pub fn take(
        &mut self,
        now_ms: u64,
        worker: &Name,
        per_s: f64,
        limit_sharers: &LimitSharers<'_>,
    ) -> bool {
        if now_ms < self.spent_until_ms {
            return false;
        }
        let allowed = limit_sharers.own_share(worker, per_s);
        let sent = self.sent.entry(worker.clone()).or_insert_with(|| Window::new(WINDOW_MS));
        let is_allowed = sent.count(now_ms) < allowed;
        if is_allowed {
            sent.add(now_ms);
        }
        is_allowed
    }

    /// Drops the count of a worker that is no longer cold.
    pub fn remove(&mut self, worker: &str) {
        self.sent.remove(worker);
    }
}
