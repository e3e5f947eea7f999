//! Brittle workers: hosts together send them no more than they have room for.

use std::collections::BTreeMap;

use anvillift_fleet::LimitSharers;
use anvillift_fleet::room_share::{RoomFacts, has_room};
use anvillift_schema::name::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const STEP_MS: u64 = 5;

fn names(count: usize) -> Vec<Name> {
    (0..count).map(|number| Name::from(format!("10.0.0.{number}:1"))).collect()
}

fn sharers<'a>(hosts: &'a [Name], own: usize) -> LimitSharers<'a> {
    LimitSharers { own_name: &hosts[own], hosts, has_discovered_all_hosts: true }
}

fn facts(worker: &str, slots: u64) -> RoomFacts<'_> {
    RoomFacts {
        worker,
        slots,
        max_rejections_per_s: 4.0,
        in_flight: 0,
        last_sent_ms: None,
        last_rejected_ms: None,
    }
}

/// The shares of all hosts are more than the slots, so that requests are rejected; or less,
/// so that slots stay unused.
#[rstest]
fn shares_are_the_slots_together(
    #[values(1, 3, 8, 24, 126)] hosts: usize,
    #[values(1, 6, 16, 64)] slots: u64,
) {
    let names = names(hosts);
    for worker in ["i-1", "i-2", "i-3"] {
        let mut sent = 0;
        for host in 0..hosts {
            let mut in_flight = 0;
            while has_room(
                0,
                &RoomFacts { in_flight, ..facts(worker, slots) },
                &sharers(&names, host),
            ) {
                in_flight += 1;
            }
            sent += in_flight;
        }
        assert_eq!(sent, slots, "{worker}");
    }
}

/// A worker has no room at all, for example since it has just started anew, and rejects
/// whatever comes. The hosts together must stay below what makes it fall.
#[rstest]
fn rejections_stay_below_what_makes_a_worker_fall(
    #[values(1, 3, 8)] hosts: usize,
    #[values(8.0, 20.0)] max_rejections_per_s: f64,
) {
    let names = names(hosts);
    let mut last_rejected_ms: Vec<Option<u64>> = vec![None; hosts];
    let mut rejected_ms: Vec<u64> = Vec::new();
    for now_ms in (0..20_000).step_by(STEP_MS as usize) {
        for (host, last) in last_rejected_ms.iter_mut().enumerate() {
            let facts = RoomFacts {
                max_rejections_per_s,
                last_sent_ms: *last,
                last_rejected_ms: *last,
                ..facts("i-1", 64)
            };
            if has_room(now_ms, &facts, &sharers(&names, host)) {
                *last = Some(now_ms);
                rejected_ms.push(now_ms);
            }
        }
    }
    for from_ms in &rejected_ms {
        let within = rejected_ms.iter().filter(|ms| **ms >= *from_ms && **ms < from_ms + 1_000);
        assert!(within.count() as f64 <= max_rejections_per_s, "from {from_ms} ms");
    }
}

/// One of 40 workers falls, with 24 hosts and 1.5 times the requests that the workers have
/// room for. The others must not fall after it.
#[test]
fn the_fall_of_one_worker_makes_no_other_fall() {
    const HOSTS: usize = 24;
    const WORKERS: usize = 40;
    const SLOTS: u64 = 6;
    const REQUEST_MS: u64 = 100;
    const ARRIVALS_PER_S: f64 = 1.5 * (WORKERS as u64 * SLOTS * 1_000 / REQUEST_MS) as f64;
    let mut rng = SmallRng::seed_from_u64(1);
    let names = names(HOSTS);
    let ids: Vec<String> = (0..WORKERS).map(|number| format!("i-{number}")).collect();
    let mut in_flight: BTreeMap<(usize, usize), Vec<u64>> = BTreeMap::new();
    let mut last_sent_ms: BTreeMap<(usize, usize), u64> = BTreeMap::new();
    let mut rejections: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
    let mut served = 0;
    for now_ms in (0..10_000).step_by(STEP_MS as usize) {
        in_flight.values_mut().for_each(|ends| ends.retain(|end_ms| *end_ms > now_ms));
        let arrivals = (ARRIVALS_PER_S * STEP_MS as f64 / 1_000.0) as usize;
        for _ in 0..arrivals {
            let host = rng.random_range(0..HOSTS);
            let first = rng.random_range(0..WORKERS);
            let worker = (first..first + WORKERS).map(|index| index % WORKERS).find(|worker| {
                let is_down = *worker == 0 && now_ms < 3_000;
                let key = (host, *worker);
                let own = in_flight.get(&key).map_or(0, |ends| ends.len() as u64);
                let facts = RoomFacts {
                    in_flight: own,
                    last_sent_ms: last_sent_ms.get(&key).copied(),
                    ..facts(&ids[*worker], SLOTS)
                };
                !is_down && has_room(now_ms, &facts, &sharers(&names, host))
            });
            let Some(worker) = worker else { continue };
            let running: usize =
                (0..HOSTS).filter_map(|other| in_flight.get(&(other, worker))).map(Vec::len).sum();
            last_sent_ms.insert((host, worker), now_ms);
            if running as u64 >= SLOTS {
                rejections.entry(worker).or_default().push(now_ms);
            } else {
                in_flight.entry((host, worker)).or_default().push(now_ms + REQUEST_MS);
                served += 1;
            }
        }
    }
    assert!(rejections.is_empty(), "{rejections:?}");
    let capacity = 10 * WORKERS as u64 * SLOTS * 1_000 / REQUEST_MS;
    assert!(served * 10 >= capacity * 8, "{served} served, the workers can serve {capacity}");
}
