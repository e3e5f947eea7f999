//! The share of the retry budget of a service that this host may spend.
//!
//! The budget is a ratio of the requests plus a fixed allowance, over a sliding
//! window and over all hosts. Each host spends the ratio of its own requests and an
//! equal part of the allowance, so that the sum stays within the budget without
//! messages between the hosts. Rejected attempts count like any other.

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

/// Part of the ratio that is used. The rest is a margin, since the windows of the
/// hosts do not begin and end at the same time.
const USED_RATIO: f64 = 0.8;

/// What of the budget of a service a host has used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetState {
    /// Requests within the window.
    pub requests: usize,
    /// Retries within the window.
    pub retries: usize,
}

#[derive(Clone, Debug)]
struct ServiceCounts {
    requests: Window,
    retries: Window,
}

/// Counts the requests and retries of this host by service.
#[derive(Clone, Debug)]
pub struct RetryShare {
    settings: RetryShareSettings,
    services: BTreeMap<Name, ServiceCounts>,
}

impl RetryShare {
    /// Starts without requests; only the allowance can be spent.
    pub fn new(settings: RetryShareSettings) -> Self {
        Self { settings, services: BTreeMap::new() }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now_ms: u64, service: &Name) {
        self.counts_of(service).requests.add(now_ms);
    }

    /// Whether a retry may be sent, if `hosts` hosts share the allowance. If so,
    /// the retry is counted.
    pub fn try_spend(&mut self, now_ms: u64, service: &Name, hosts: usize) -> bool {
        let is_allowed = self.allows(now_ms, service, hosts);
        if is_allowed {
            self.counts_of(service).retries.add(now_ms);
        }
        is_allowed
    }

    /// Whether a retry may be sent, without counting it.
    pub fn allows(&mut self, now_ms: u64, service: &Name, hosts: usize) -> bool {
        let (ratio, allowance) = (self.settings.ratio, self.settings.allowance);
        let counts = self.counts_of(service);
        let earned = counts.requests.count(now_ms) as f64 * ratio * USED_RATIO;
        let allowed = earned + allowance as f64 / hosts.max(1) as f64;
        (counts.retries.count(now_ms) as f64) + 1.0 <= allowed
    }

    /// What of the budget of a service is used.
    pub fn state(&mut self, now_ms: u64, service: &Name) -> RetryBudgetState {
        let counts = self.counts_of(service);
        RetryBudgetState {
            requests: counts.requests.count(now_ms),
            retries: counts.retries.count(now_ms),
        }
    }

    /// Drops the counts of services for which `is_served` is false.
    pub fn retain(&mut self, is_served: impl Fn(&Name) -> bool) {
        self.services.retain(|service, _| is_served(service));
    }

    fn counts_of(&mut self, service: &Name) -> &mut ServiceCounts {
        let window_ms = self.settings.window_ms;
        self.services.entry(service.clone()).or_insert_with(|| ServiceCounts {
            requests: Window::new(window_ms),
            retries: Window::new(window_ms),
        })
    }
}
