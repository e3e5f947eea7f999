//! Which worker takes a request.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_fleet::choose::{Candidate, Trouble};
use anvillift_fleet::{InFlight, Prompt, choose};
use anvillift_schema::name::Name;

fn workers(count: usize) -> Vec<Name> {
    (0..count).map(|number| Name::from(format!("worker-{number}"))).collect()
}

fn long_prompt(shared_id: u64) -> Prompt {
    Prompt { input_tokens: 17_000, output_tokens: 120, shared_id, shared_tokens: 13_300 }
}

fn candidates(count: usize) -> Vec<Candidate> {
    let candidate = |worker| Candidate { worker, slots: 64, ..Candidate::default() };
    workers(count).into_iter().map(candidate).collect()
}

/// The pattern: a few dozen long documents are asked about from every region,
/// each a handful of times; read once in each region they fill the engines.
#[test]
fn a_long_shared_part_is_kept_by_one_worker_of_the_fleet() {
    let workers = workers(9);
    let mut kept: BTreeMap<&Name, usize> = BTreeMap::new();
    for document in 0..55 {
        let prompt = long_prompt(document);
        let keeper = choose::keeper(workers.iter(), &prompt);
        let from_elsewhere = choose::keeper(workers.iter().rev(), &prompt);
        assert_eq!(keeper, from_elsewhere, "every host finds the same worker");
        *kept.entry(keeper.expect("a keeper")).or_default() += 1;
    }
    assert_eq!(kept.len(), workers.len(), "every worker keeps some: {kept:?}");
    assert!(kept.values().all(|count| *count <= 14), "none keeps too many: {kept:?}");
}

#[test]
fn a_short_shared_part_is_not_followed() {
    let prompt = Prompt { shared_tokens: 92, ..long_prompt(1) };
    assert_eq!(choose::keeper(workers(3).iter(), &prompt), None);
}

/// Whatever else a host draws, a document goes to one worker of several alike.
#[test]
fn a_shared_part_goes_to_the_same_worker_each_time() {
    let first = |draw| {
        let mut idle = candidates(4);
        choose::order(&mut idle, &long_prompt(7), draw);
        idle[0].worker.clone()
    };
    let firsts: BTreeSet<Name> = (0..32).map(first).collect();
    assert_eq!(firsts.len(), 1, "{firsts:?}");
}

/// A document stays where it is while its worker is not much busier than others.
#[test]
fn a_shared_part_is_followed_until_its_worker_is_busy() {
    let prompt = long_prompt(7);
    let mut idle = candidates(4);
    choose::order(&mut idle, &prompt, 1);
    let keeper = idle[0].worker.clone();
    let busy = InFlight { requests: 40, unread_tokens: 60_000 };
    let mut loaded = candidates(4);
    for candidate in &mut loaded {
        if candidate.worker == keeper {
            candidate.work = busy;
        }
    }
    choose::order(&mut loaded, &prompt, 1);
    assert_ne!(loaded[0].worker, keeper);
}

#[test]
fn troubled_and_cold_workers_come_last() {
    let mut workers = candidates(3);
    workers[0].trouble = Trouble::Failing;
    workers[1].is_cold = true;
    choose::order(&mut workers, &Prompt::default(), 5);
    let order: Vec<&str> = workers.iter().map(|candidate| candidate.worker.as_str()).collect();
    assert_eq!(order, ["worker-2", "worker-1", "worker-0"]);
}

/// The pattern: 30 hosts share two workers with six places, and one of these has
/// turned four times as slow. No host has more than a request or two under way.
#[test]
fn a_slow_worker_gets_less_although_nobody_has_many_requests_there() {
    let chosen = |fast_requests| {
        let work = InFlight { requests: fast_requests, unread_tokens: 0 };
        let candidate = |name, work, pace| Candidate {
            worker: Name::from(name),
            slots: 6,
            work,
            pace,
            ..Candidate::default()
        };
        let mut two =
            vec![candidate("slow", InFlight::default(), 4.0), candidate("fast", work, 1.0)];
        choose::order(&mut two, &Prompt::default(), 3);
        two[0].worker.to_string()
    };
    assert_eq!(chosen(0), "fast");
    assert_eq!(chosen(1), "fast");
    assert_eq!(chosen(4), "slow", "it still takes what would wait elsewhere");
}

/// Answers differ; a worker that is a little slower for a while is not avoided.
#[test]
fn workers_that_differ_a_little_are_alike() {
    let firsts: BTreeSet<Name> = (0..32)
        .map(|draw| {
            let mut workers = candidates(4);
            for (number, worker) in workers.iter_mut().enumerate() {
                worker.pace = 0.9 + 0.1 * number as f64;
            }
            choose::order(&mut workers, &Prompt::default(), draw);
            workers[0].worker.clone()
        })
        .collect();
    assert_eq!(firsts.len(), 4);
}
