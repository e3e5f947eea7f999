//! Tests of the request limit of cold workers over all hosts.

use anvillift_fleet::{ColdShare, LimitSharers};
use anvillift_schema::name::Name;
use rstest::rstest;

const WORKER: &str = "worker";

fn sent_in_a_second(
    hosts: &[Name],
    known_hosts: &[Name],
    has_discovered_all_hosts: bool,
    limit: f64,
) -> usize {
    let worker = Name::from(WORKER);
    let sent_by = |own_name: &Name| {
        let limit_sharers = LimitSharers { own_name, hosts: known_hosts, has_discovered_all_hosts };
        let mut share = ColdShare::default();
        (0..1_000).filter(|now_ms| share.take(*now_ms, &worker, limit, &limit_sharers)).count()
    };
    hosts.iter().map(sent_by).sum()
}

fn names(count: usize) -> Vec<Name> {
    (0..count).map(|number| Name::from(format!("10.1.0.{number}:7660"))).collect()
}

/// Any number of hosts together stay within the limit, and use most of it.
#[rstest]
#[case(1)]
#[case(3)]
#[case(30)]
fn the_hosts_together_stay_within_the_limit(#[case] count: usize) {
    let hosts = names(count);
    let sent = sent_in_a_second(&hosts, &hosts, true, 13.0);
    assert!((9..=13).contains(&sent), "{sent} requests of {count} hosts, limit 13");
}

/// Guards against exceeding the limit after a loss of power in a region: each of
/// its hosts had discovered only itself and used the whole limit (seen on tricura-caves, mix
/// seed 926523552962).
#[test]
fn hosts_that_have_discovered_no_others_after_a_start_stay_within_the_limit() {
    let hosts = names(3);
    let sent: usize = hosts
        .iter()
        .map(|own_name| {
            let only_itself = std::slice::from_ref(own_name);
            sent_in_a_second(only_itself, only_itself, false, 13.0)
        })
        .sum();
    assert!(sent <= 13, "{sent} requests, limit 13");
}

/// Guards against a host that restarts within a second, and spends its share of the rate of a cold
/// worker once more.
#[test]
fn a_share_is_spent_once_over_a_restart() {
    const RESTARTED_MS: u64 = 500;
    let (hosts, worker) = (names(1), Name::from(WORKER));
    let limit_sharers =
        LimitSharers { own_name: &hosts[0], hosts: &hosts, has_discovered_all_hosts: true };
    let mut killed = ColdShare::default();
    let before = (0..RESTARTED_MS).filter(|ms| killed.take(*ms, &worker, 8.0, &limit_sharers));
    assert_eq!(before.count(), 8);
    let mut restarted = ColdShare::after_restart(RESTARTED_MS);
    let sent: Vec<u64> = (RESTARTED_MS..5_000)
        .filter(|ms| restarted.take(*ms, &worker, 8.0, &limit_sharers))
        .collect();
    assert!(sent[0] >= 1_000 + RESTARTED_MS, "the first one at {} ms", sent[0]);
    assert!(sent.len() >= 16, "{sent:?}");
}
