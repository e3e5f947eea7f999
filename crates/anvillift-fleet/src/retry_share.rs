//! This host's part of the retries that a service bears.
//!
//! The budget is a share of the requests plus a fixed allowance, over a sliding
//! window and over all hosts. Each host spends a share of its own requests and
//! an equal part of the allowance, so that the sum holds without a word between
//! the hosts. Rejected attempts count like any other.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;

use crate::window::Window;

/// Settings of a [`RetryShare`].
#[derive(Clone, Debug, PartialEq)]
pub struct RetryShareSettings {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries of all hosts beyond the ratio.
    pub allowance: u64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

impl Default for RetryShareSettings {
    fn default() -> Self {
        Self { ratio: 0.1, allowance: 10, window_ms: 10_000 }
    }
}

/// Part of the ratio that is spent; hosts see the window's edges differently.
const SPENT_RATIO: f64 = 0.8;

#[derive(Clone, Debug)]
struct Spent {
    requests: Window,
    retries: Window,
}

/// Retries that this host may still send.
#[derive(Clone, Debug)]
pub struct RetryShare {
    settings: RetryShareSettings,
    services: BTreeMap<Name, Spent>,
}

impl RetryShare {
    /// A share without requests yet.
    pub fn new(settings: RetryShareSettings) -> Self {
        Self { settings, services: BTreeMap::new() }
    }

    /// Counts a request of a caller.
    pub fn earn(&mut self, now_ms: u64, service: &Name) {
        self.spent(service).requests.add(now_ms);
    }

    /// Whether a retry may be sent, with so many hosts in the fleet; counts it
    /// if so.
    pub fn spend(&mut self, now_ms: u64, service: &Name, hosts: usize) -> bool {
        let free = self.allows(now_ms, service, hosts);
        if free {
            self.spent(service).retries.add(now_ms);
        }
        free
    }

    /// Whether a retry may be sent.
    pub fn allows(&mut self, now_ms: u64, service: &Name, hosts: usize) -> bool {
        let (ratio, allowance) = (self.settings.ratio, self.settings.allowance);
        let spent = self.spent(service);
        let earned = spent.requests.count(now_ms) as f64 * ratio * SPENT_RATIO;
        let allowed = earned + allowance as f64 / hosts.max(1) as f64;
        (spent.retries.count(now_ms) as f64) + 1.0 <= allowed
    }

    /// Forgets services that are no longer served.
    pub fn retain(&mut self, is_served: impl Fn(&Name) -> bool) {
        self.services.retain(|service, _| is_served(service));
    }

    fn spent(&mut self, service: &Name) -> &mut Spent {
        let window_ms = self.settings.window_ms;
        self.services.entry(service.clone()).or_insert_with(|| Spent {
            requests: Window::new(window_ms),
            retries: Window::new(window_ms),
        })
    }
}
