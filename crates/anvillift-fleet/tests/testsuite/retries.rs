//! Tests of the retry budget over all hosts.

use anvillift_fleet::{RetryShare, RetryShareSettings};
use anvillift_schema::name::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const WINDOW_MS: u64 = 10_000;
const RUN_MS: u64 = 40_000;
const RATIO: f64 = 0.2;
/// Interval between two requests, in milliseconds.
const REQUEST_INTERVAL_MS: usize = 5;

/// Times at which the requests and the retries of all hosts were sent.
#[derive(Default)]
struct Sent {
    requests_ms: Vec<u64>,
    retries_ms: Vec<u64>,
}

impl Sent {
    /// Checks each window. The requests of the window, or of the one before it, count.
    fn check(&self, allowance: u64, case: &str) {
        for from_ms in (0..RUN_MS - WINDOW_MS).step_by(100) {
            let to_ms = from_ms + WINDOW_MS;
            let requests = within(&self.requests_ms, from_ms, to_ms);
            let earlier = within(&self.requests_ms, from_ms.saturating_sub(WINDOW_MS), from_ms);
            let budget = RATIO * requests.max(earlier) as f64 + allowance as f64;
            let retries = within(&self.retries_ms, from_ms, to_ms) as f64;
            assert!(
                retries <= budget,
                "{retries} retries, budget {budget}, window from {from_ms} ms, {case}"
            );
        }
        assert!(!self.retries_ms.is_empty(), "{case}");
    }
}

fn within(times_ms: &[u64], from_ms: u64, to_ms: u64) -> usize {
    times_ms.iter().filter(|ms| (from_ms..to_ms).contains(ms)).count()
}

/// Hosts that don't communicate. Each request fails and would be retried from `fail_ms` on.
struct Hosts {
    settings: RetryShareSettings,
    shares: Vec<RetryShare>,
    service: Name,
    fail_ms: u64,
    sent: Sent,
}

impl Hosts {
    fn new(count: usize, allowance: u64) -> Self {
        let settings = RetryShareSettings { ratio: RATIO, allowance, window_ms: WINDOW_MS };
        Self {
            shares: vec![RetryShare::new(settings.clone()); count],
            settings,
            service: Name::from("plans"),
            fail_ms: 0,
            sent: Sent::default(),
        }
    }

    /// A request reaches a host, and each host retries what it may.
    fn request(&mut self, now_ms: u64, host: usize) {
        self.shares[host].record_request(now_ms, &self.service);
        self.sent.requests_ms.push(now_ms);
        if now_ms < self.fail_ms {
            return;
        }
        let count = self.shares.len();
        for share in &mut self.shares {
            while share.try_spend(now_ms, &self.service, count) {
                self.sent.retries_ms.push(now_ms);
            }
        }
    }

    fn restart(&mut self, now_ms: u64, host: usize) {
        self.shares[host] = RetryShare::after_restart(self.settings.clone(), now_ms);
    }
}

/// Guards against retry storms: every worker fails and callers keep sending, most of them to
/// one host. In no window may the retries of all hosts exceed the budget of the requests in it.
#[rstest]
#[case(1, 50)]
#[case(8, 50)]
#[case(8, 3)]
#[case(89, 218)]
fn the_hosts_together_stay_within_the_budget(#[case] count: usize, #[case] allowance: u64) {
    for seed in 1..4 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut hosts = Hosts::new(count, allowance);
        for now_ms in (0..RUN_MS).step_by(REQUEST_INTERVAL_MS) {
            // Half of the requests reach the first host. In every fourth second only a tenth
            // of the requests is sent.
            let is_quiet = (now_ms / 1_000) % 4 == 3;
            if is_quiet && rng.random_bool(0.9) {
                continue;
            }
            let host = if rng.random_bool(0.5) { 0 } else { rng.random_range(0..count) };
            hosts.request(now_ms, host);
        }
        hosts.sent.check(allowance, &format!("seed {seed}"));
    }
}

/// Guards against budgets that are spent anew: hosts are killed every few seconds, start again
/// without knowing what they have spent, and every worker fails.
#[rstest]
#[case(8, 56)]
#[case(68, 176)]
fn hosts_that_restart_stay_within_the_budget(#[case] count: usize, #[case] allowance: u64) {
    const KILL_INTERVAL_MS: u64 = 2_500;
    for seed in 1..4 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut hosts = Hosts::new(count, allowance);
        for now_ms in (0..RUN_MS).step_by(REQUEST_INTERVAL_MS) {
            let kills = now_ms > 0 && now_ms.is_multiple_of(KILL_INTERVAL_MS);
            for host in (0..count).filter(|_| kills) {
                if rng.random_bool(0.6) {
                    hosts.restart(now_ms, host);
                }
            }
            hosts.request(now_ms, rng.random_range(0..count));
        }
        hosts.sent.check(allowance, &format!("seed {seed}"));
    }
}

/// Guards against a budget that is earned twice: all callers move from one half of the hosts to
/// the other when workers begin to fail, and the hosts that they left still have requests to
/// retry.
#[rstest]
#[case::as_workers_begin_to_fail(20_000)]
#[case::soon_after(22_000)]
#[case::before(19_000)]
fn callers_that_move_to_other_hosts_earn_no_second_budget(#[case] move_ms: u64) {
    const COUNT: usize = 8;
    const ALLOWANCE: u64 = 56;
    const FAIL_MS: u64 = 20_000;
    let mut rng = SmallRng::seed_from_u64(1);
    let mut hosts = Hosts { fail_ms: FAIL_MS, ..Hosts::new(COUNT, ALLOWANCE) };
    for now_ms in (0..RUN_MS).step_by(REQUEST_INTERVAL_MS) {
        let first = if now_ms < move_ms { 0 } else { COUNT / 2 };
        hosts.request(now_ms, first + rng.random_range(0..COUNT / 2));
    }
    hosts.sent.check(ALLOWANCE, &format!("callers move at {move_ms} ms"));
}

/// Guards against a host that never retries again: once what it may have spent before its
/// restart has left the window, it has its part of the allowance.
#[test]
fn a_restarted_host_gets_its_part_of_the_allowance_later() {
    let settings = RetryShareSettings { ratio: RATIO, allowance: 50, window_ms: WINDOW_MS };
    let mut share = RetryShare::after_restart(settings, 1_000);
    let service = Name::from("plans");
    assert!(!share.allows(1_000 + WINDOW_MS, &service, 5));
    assert!(share.allows(1_000 + 2 * WINDOW_MS, &service, 5));
    for now_ms in (0..1_000).step_by(100) {
        share.record_request(now_ms, &service);
    }
    assert!(share.allows(1_000, &service, 5), "ten requests have earned a retry");
}
