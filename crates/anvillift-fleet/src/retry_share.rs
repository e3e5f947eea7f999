//! The share of the retry budget of a service that this host may spend.
//!
//! The budget is a ratio of the requests plus a fixed allowance, over a sliding
//! window and over all hosts. Each host spends the ratio of its own requests and an
//! equal part of the allowance, so that the sum stays within the budget without
//! messages between the hosts. Rejected attempts count like any other.
//!
//! What a request earns has to be spent soon, since its caller may move to another host
//! that earns for it as well. A host that starts again can't know what the process before
//! it has spent, so it has no part of the allowance until that has left the window.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;

use crate::window::Window;

/// The retry budget of a service over all hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryShareSettings {
    /// Retries per request.
    pub ratio: f64,
    /// Retries of all hosts together beyond the ratio.
    pub allowance: u64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

impl Default for RetryShareSettings {
    fn default() -> Self {
        Self { ratio: 0.1, allowance: 10, window_ms: 10_000 }
    }
}

/// Part of the ratio that is used. The rest is a margin for retries earned by requests
/// before the window.
const USED_RATIO: f64 = 0.8;
/// Part of the window within which the retries that requests have earned must be spent.
const EARNED_WINDOW_PART: u64 = 4;
/// Time in which all hosts learn of a new host, and so take smaller parts of the
/// allowance, in milliseconds.
const HOST_KNOWN_AFTER_MS: u64 = 3_000;

/// What of the budget of a service a host has used and may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetState {
    /// Requests that still earn retries.
    pub requests: usize,
    /// Retries spent of what these have earned.
    pub earned_spent: usize,
    /// Retries spent of the allowance within the window.
    pub allowance_spent: usize,
    /// This host's part of the allowance, in retries.
    pub allowance: f64,
}

impl RetryBudgetState {
    fn has_earned(&self, ratio: f64) -> bool {
        self.earned_spent as f64 + 1.0 <= self.requests as f64 * ratio * USED_RATIO
    }

    fn has_allowance(&self) -> bool {
        self.allowance_spent as f64 + 1.0 <= self.allowance
    }
}

#[derive(Clone, Debug)]
struct ServiceCounts {
    requests: Window,
    earned_spent: Window,
    allowance_spent: Window,
}

/// Counts the requests and retries of this host by service.
#[derive(Clone, Debug)]
pub struct RetryShare {
    settings: RetryShareSettings,
    /// Time from which this host has its part of the allowance, in milliseconds.
    allowance_from_ms: u64,
    services: BTreeMap<Name, ServiceCounts>,
}

impl RetryShare {
    /// Starts without requests, at the first start of the fleet: no host has spent anything.
    pub fn new(settings: RetryShareSettings) -> Self {
        Self { settings, allowance_from_ms: 0, services: BTreeMap::new() }
    }

    /// Starts without requests at a host that may have run before, or that joins a fleet
    /// whose hosts don't know it yet.
    pub fn after_restart(settings: RetryShareSettings, now_ms: u64) -> Self {
        let allowance_from_ms = now_ms + settings.window_ms + HOST_KNOWN_AFTER_MS;
        Self { allowance_from_ms, ..Self::new(settings) }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now_ms: u64, service: &Name) {
        self.counts_of(service).requests.add(now_ms);
    }

    /// Whether a retry may be sent, if `hosts` hosts share the allowance. If so,
    /// the retry is counted.
    pub fn try_spend(&mut self, now_ms: u64, service: &Name, hosts: usize) -> bool {
        let ratio = self.settings.ratio;
        let state = self.state(now_ms, service, hosts);
        let counts = self.counts_of(service);
        if state.has_earned(ratio) {
            counts.earned_spent.add(now_ms);
            true
        } else if state.has_allowance() {
            counts.allowance_spent.add(now_ms);
            true
        } else {
            false
        }
    }

    /// Whether a retry may be sent, without counting it.
    pub fn allows(&mut self, now_ms: u64, service: &Name, hosts: usize) -> bool {
        let state = self.state(now_ms, service, hosts);
        state.has_earned(self.settings.ratio) || state.has_allowance()
    }

    /// What of the budget of a service is used, if `hosts` hosts share the allowance.
    pub fn state(&mut self, now_ms: u64, service: &Name, hosts: usize) -> RetryBudgetState {
        let has_allowance = now_ms >= self.allowance_from_ms;
        let allowance = self.settings.allowance as f64 / hosts.max(1) as f64;
        let counts = self.counts_of(service);
        RetryBudgetState {
            requests: counts.requests.count(now_ms),
            earned_spent: counts.earned_spent.count(now_ms),
            allowance_spent: counts.allowance_spent.count(now_ms),
            allowance: if has_allowance { allowance } else { 0.0 },
        }
    }

    /// Drops the counts of services for which `is_served` is false.
    pub fn retain(&mut self, is_served: impl Fn(&Name) -> bool) {
        self.services.retain(|service, _| is_served(service));
    }

    fn counts_of(&mut self, service: &Name) -> &mut ServiceCounts {
        let window_ms = self.settings.window_ms;
        self.services.entry(service.clone()).or_insert_with(|| ServiceCounts {
            requests: Window::new(window_ms / EARNED_WINDOW_PART),
            earned_spent: Window::new(window_ms / EARNED_WINDOW_PART),
            allowance_spent: Window::new(window_ms),
        })
    }
}
