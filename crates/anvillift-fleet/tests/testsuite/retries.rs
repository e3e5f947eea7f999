//! Tests of the retry budget over all hosts.

use anvillift_fleet::{RetryShare, RetryShareSettings};
use anvillift_schema::name::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const WINDOW_MS: u64 = 10_000;
const RUN_MS: u64 = 40_000;
const RATIO: f64 = 0.2;

/// Times at which the requests and the retries of all hosts were sent.
#[derive(Default)]
struct Sent {
    requests_ms: Vec<u64>,
    retries_ms: Vec<u64>,
}

fn within(times_ms: &[u64], from_ms: u64, to_ms: u64) -> usize {
    times_ms.iter().filter(|ms| (from_ms..to_ms).contains(ms)).count()
}

/// Simulates hosts that receive very different shares of the requests. Each request
/// fails and would be retried, and the hosts do not communicate.
fn simulate(hosts: usize, allowance: u64, seed: u64) -> Sent {
    let settings = RetryShareSettings { ratio: RATIO, allowance, window_ms: WINDOW_MS };
    let mut shares = vec![RetryShare::new(settings); hosts];
    let service = Name::from("plans");
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut sent = Sent::default();
    for now_ms in (0..RUN_MS).step_by(5) {
        // Half of the requests reach the first host. In every fourth second only a tenth
        // of the requests is sent.
        let is_quiet = (now_ms / 1_000) % 4 == 3;
        if is_quiet && rng.random_bool(0.9) {
            continue;
        }
        let host = if rng.random_bool(0.5) { 0 } else { rng.random_range(0..hosts) };
        shares[host].record_request(now_ms, &service);
        sent.requests_ms.push(now_ms);
        for share in &mut shares {
            if share.try_spend(now_ms, &service, hosts) {
                sent.retries_ms.push(now_ms);
            }
        }
    }
    sent
}

/// Guards against retry storms: every worker fails and callers keep sending. In no
/// window may the retries of all hosts exceed the budget of the requests in it.
#[rstest]
#[case(1, 50)]
#[case(8, 50)]
#[case(8, 3)]
#[case(89, 218)]
fn the_hosts_together_stay_within_the_budget(#[case] hosts: usize, #[case] allowance: u64) {
    for seed in 1..4 {
        let sent = simulate(hosts, allowance, seed);
        for from_ms in (0..RUN_MS - WINDOW_MS).step_by(100) {
            let to_ms = from_ms + WINDOW_MS;
            let requests = within(&sent.requests_ms, from_ms, to_ms);
            let earlier = within(&sent.requests_ms, from_ms.saturating_sub(WINDOW_MS), from_ms);
            let budget = RATIO * requests.max(earlier) as f64 + allowance as f64;
            let retries = within(&sent.retries_ms, from_ms, to_ms) as f64;
            assert!(
                retries <= budget,
                "{retries} retries, budget {budget}, window from {from_ms} ms, seed {seed}"
            );
        }
        assert!(!sent.retries_ms.is_empty());
    }
}
