//! Tests of the subsets of workers that hosts prefer.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_fleet::choose::Candidate;
use anvillift_fleet::{InFlight, choose, subset};
use anvillift_schema::name::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

fn names(kind: &str, count: usize) -> Vec<Name> {
    (0..count).map(|number| Name::from(format!("{kind}-{number:03}"))).collect()
}

fn preferred<'a>(workers: &'a [Name], hosts: &[Name]) -> Vec<BTreeSet<&'a Name>> {
    hosts.iter().map(|own_name| subset::preferred(workers.iter(), hosts, own_name)).collect()
}

/// A few hosts prefer all workers, since each worker is to be preferred by several hosts.
#[test]
fn hosts_of_a_small_region_prefer_all_workers() {
    let workers = names("worker", 7);
    for subset in preferred(&workers, &names("host", 3)) {
        assert_eq!(subset.len(), 7);
    }
}

#[rstest]
#[case(30, 50)]
#[case(29, 36)]
#[case(30, 24)]
#[case(38, 180)]
fn all_workers_are_preferred_by_about_equally_many_hosts(
    #[case] hosts: usize,
    #[case] workers: usize,
) {
    let (hosts, workers) = (names("host", hosts), names("worker", workers));
    let mut counts: BTreeMap<&Name, usize> = BTreeMap::new();
    for subset in preferred(&workers, &hosts) {
        subset.into_iter().for_each(|worker| *counts.entry(worker).or_default() += 1);
    }
    let (least, most) = (counts.values().min(), counts.values().max());
    assert_eq!(counts.len(), workers.len());
    assert!(
        most.expect("a preferred worker") - least.expect("a preferred worker") <= 1,
        "{counts:?}"
    );
}

#[test]
fn adding_a_worker_changes_the_subsets_only_a_little() {
    let (hosts, mut workers) = (names("host", 30), names("worker", 50));
    let before = preferred(&workers, &hosts);
    let before: Vec<BTreeSet<Name>> =
        before.into_iter().map(|subset| subset.into_iter().cloned().collect()).collect();
    workers.push(Name::from("another"));
    let after = preferred(&workers, &hosts);
    for (old, new) in before.iter().zip(after) {
        let kept = new.iter().filter(|worker| old.contains(**worker)).count();
        assert!(kept >= old.len() - 2, "kept {kept} of {} workers", old.len());
    }
}

/// 30 hosts send the requests of a region to 50 workers with 12 slots each, at
/// three quarters of their capacity. If each host chose among all workers by its
/// own counts, many workers would be overloaded; with subsets few are.
#[test]
fn subsets_spread_requests_over_many_workers_more_evenly() {
    let (hosts, workers) = (names("host", 30), names("worker", 50));
    let all: BTreeSet<&Name> = workers.iter().collect();
    let subsets = preferred(&workers, &hosts);
    let overloaded_with_subsets = overloaded(&workers, |host| &subsets[host]);
    let overloaded_without = overloaded(&workers, |_| &all);
    assert!(
        overloaded_with_subsets * 2 < overloaded_without,
        "{overloaded_with_subsets} requests with subsets, {overloaded_without} without"
    );
}

/// Counts the requests that find all slots of their worker taken, over a simulation
/// in which requests begin and end.
fn overloaded<'a>(
    workers: &'a [Name],
    subset_of: impl Fn(usize) -> &'a BTreeSet<&'a Name>,
) -> usize {
    const SLOTS: u64 = 12;
    const IN_FLIGHT: usize = 450;
    const REQUESTS: usize = 4_000;
    let mut rng = SmallRng::seed_from_u64(11);
    let mut sent: BTreeMap<(usize, &Name), u64> = BTreeMap::new();
    let mut at: BTreeMap<&Name, u64> = BTreeMap::new();
    let mut in_flight: Vec<(usize, &Name)> = Vec::new();
    let mut overloaded = 0;
    for _ in 0..REQUESTS {
        if in_flight.len() == IN_FLIGHT {
            let ended = in_flight.swap_remove(rng.random_range(0..IN_FLIGHT));
            *sent.entry(ended).or_default() -= 1;
            *at.entry(ended.1).or_default() -= 1;
        }
        let host = rng.random_range(0..30);
        let mut candidates: Vec<Candidate> = workers
            .iter()
            .map(|worker| Candidate {
                worker: worker.clone(),
                slots: SLOTS,
                is_preferred: subset_of(host).contains(worker),
                in_flight: InFlight {
                    requests: sent.get(&(host, worker)).copied().unwrap_or(0),
                    unprocessed_tokens: 0,
                },
                ..Candidate::default()
            })
            .collect();
        choose::order(&mut candidates, None, rng.random());
        let chosen = workers.iter().find(|worker| **worker == candidates[0].worker);
        let chosen = chosen.expect("one of the workers");
        overloaded += usize::from(at.get(chosen).copied().unwrap_or(0) >= SLOTS);
        *sent.entry((host, chosen)).or_default() += 1;
        *at.entry(chosen).or_default() += 1;
        in_flight.push((host, chosen));
    }
    overloaded
}
