//! The workers that a host prefers.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_fleet::choose::Candidate;
use anvillift_fleet::{InFlight, Prompt, choose, subset};
use anvillift_schema::name::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

fn names(kind: &str, count: usize) -> Vec<Name> {
    (0..count).map(|number| Name::from(format!("{kind}-{number:03}"))).collect()
}

fn preferred<'a>(workers: &'a [Name], hosts: &[Name]) -> Vec<BTreeSet<&'a Name>> {
    hosts.iter().map(|me| subset::preferred(workers.iter(), hosts, me)).collect()
}

/// A few hosts keep all workers, as they need them.
#[test]
fn a_small_region_prefers_all() {
    let workers = names("worker", 7);
    for part in preferred(&workers, &names("host", 3)) {
        assert_eq!(part.len(), 7);
    }
}

#[rstest]
#[case(30, 50)]
#[case(29, 36)]
#[case(30, 24)]
#[case(38, 180)]
fn each_worker_is_preferred_by_as_many_hosts(#[case] hosts: usize, #[case] workers: usize) {
    let (hosts, workers) = (names("host", hosts), names("worker", workers));
    let mut counts: BTreeMap<&Name, usize> = BTreeMap::new();
    for part in preferred(&workers, &hosts) {
        part.into_iter().for_each(|worker| *counts.entry(worker).or_default() += 1);
    }
    let (least, most) = (counts.values().min(), counts.values().max());
    assert_eq!(counts.len(), workers.len());
    assert!(most.expect("a most") - least.expect("a least") <= 1, "{counts:?}");
}

#[test]
fn a_worker_more_changes_little() {
    let (hosts, mut workers) = (names("host", 30), names("worker", 50));
    let before = preferred(&workers, &hosts);
    let before: Vec<BTreeSet<Name>> =
        before.into_iter().map(|part| part.into_iter().cloned().collect()).collect();
    workers.push(Name::from("another"));
    let after = preferred(&workers, &hosts);
    for (old, new) in before.iter().zip(after) {
        let kept = new.iter().filter(|worker| old.contains(**worker)).count();
        assert!(kept >= old.len() - 2, "{kept} of {}", old.len());
    }
}

/// The pattern: 30 hosts send a region's requests to 50 workers with 12 places
/// each at three quarters of their capacity. Chosen by own counts alone, too
/// many workers are overfull; a host that keeps to its part overfills few.
#[test]
fn the_places_of_many_workers_are_filled_evenly() {
    let (hosts, workers) = (names("host", 30), names("worker", 50));
    let all: BTreeSet<&Name> = workers.iter().collect();
    let parts = preferred(&workers, &hosts);
    let overfull_in_parts = overfull(&workers, |host| &parts[host]);
    let overfull_in_all = overfull(&workers, |_| &all);
    assert!(
        overfull_in_parts * 2 < overfull_in_all,
        "{overfull_in_parts} against {overfull_in_all}"
    );
}

/// Requests that find their worker's places taken, of some that come and go.
fn overfull<'a>(workers: &'a [Name], part: impl Fn(usize) -> &'a BTreeSet<&'a Name>) -> usize {
    const PLACES: u64 = 12;
    const UNDER_WAY: usize = 450;
    const REQUESTS: usize = 4_000;
    let mut rng = SmallRng::seed_from_u64(11);
    let mut sent: BTreeMap<(usize, &Name), u64> = BTreeMap::new();
    let mut at: BTreeMap<&Name, u64> = BTreeMap::new();
    let mut under_way: Vec<(usize, &Name)> = Vec::new();
    let mut overfull = 0;
    for _ in 0..REQUESTS {
        if under_way.len() == UNDER_WAY {
            let ended = under_way.swap_remove(rng.random_range(0..UNDER_WAY));
            *sent.entry(ended).or_default() -= 1;
            *at.entry(ended.1).or_default() -= 1;
        }
        let host = rng.random_range(0..30);
        let mut candidates: Vec<Candidate> = workers
            .iter()
            .map(|worker| Candidate {
                worker: worker.clone(),
                slots: PLACES,
                is_preferred: part(host).contains(worker),
                work: InFlight {
                    requests: sent.get(&(host, worker)).copied().unwrap_or(0),
                    unread_tokens: 0,
                },
                ..Candidate::default()
            })
            .collect();
        choose::order(&mut candidates, &Prompt::default(), rng.random());
        let chosen = workers.iter().find(|worker| **worker == candidates[0].worker);
        let chosen = chosen.expect("one of the workers");
        overfull += usize::from(at.get(chosen).copied().unwrap_or(0) >= PLACES);
        *sent.entry((host, chosen)).or_default() += 1;
        *at.entry(chosen).or_default() += 1;
        under_way.push((host, chosen));
    }
    overfull
}
