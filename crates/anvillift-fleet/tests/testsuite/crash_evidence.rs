//! Parts of prompts that crash workers: which are quarantined, and which are not.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_fleet::{
    BrokenRequests, ConfirmedCrash, CrashEvidence, Prompt, PromptPart, QUARANTINE_MS, Quarantine,
    ServedParts, WorkerStart, WorkerTable,
};
use anvillift_schema::name::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const COMMON: u64 = 1;
const HARMFUL: u64 = 2;
/// Time after a question at which hosts have answered, in milliseconds.
const ANSWERED_MS: u64 = 300;

fn worker(number: u64) -> WorkerStart {
    WorkerStart { id: Name::from(format!("i-{number}")), born_ms: 1 }
}

fn crash(number: u64, at_ms: u64, parts: &[u64]) -> ConfirmedCrash {
    ConfirmedCrash { worker: worker(number), at_ms, parts: parts.iter().copied().collect() }
}

fn prompt(parts: &[u64]) -> Prompt {
    let shared_parts = parts.iter().map(|id| PromptPart { id: *id, tokens: 10 }).collect();
    Prompt { shared_parts, ..Prompt::default() }
}

/// Asks about the suspected parts, and decides when hosts have answered.
fn ask_and_decide(
    evidence: &mut CrashEvidence,
    quarantine: &Quarantine,
    now_ms: u64,
) -> Option<BTreeSet<u64>> {
    evidence.take_questions(now_ms, quarantine);
    assert_eq!(evidence.decide(now_ms, quarantine), None, "decided before hosts could answer");
    evidence.decide(now_ms + ANSWERED_MS, quarantine)
}

/// A harmful part that goes on crashing workers because too few or too many crashes are
/// needed.
#[test]
fn a_part_that_was_never_served_is_quarantined_after_four_crashes() {
    let (mut evidence, quarantine) = (CrashEvidence::default(), Quarantine::default());
    for number in 0..4 {
        let now_ms = 1_000 * number;
        evidence.record(now_ms, crash(number, now_ms, &[COMMON, HARMFUL]));
        evidence.record_served(COMMON, now_ms + 10);
        let decided = ask_and_decide(&mut evidence, &quarantine, now_ms + 20);
        let expected = (number == 3).then(|| BTreeSet::from([HARMFUL]));
        assert_eq!(decided, expected, "after crash {number}");
    }
}

/// A sound part that is quarantined because it was in flight at each crash.
#[test]
fn a_part_that_was_served_since_is_not_quarantined() {
    let (mut evidence, quarantine) = (CrashEvidence::default(), Quarantine::default());
    for number in 0..20 {
        let now_ms = 1_000 * number;
        evidence.record(now_ms, crash(number, now_ms, &[COMMON]));
        evidence.record_served(COMMON, now_ms + 10);
        assert_eq!(ask_and_decide(&mut evidence, &quarantine, now_ms + 20), None);
    }
}

/// A part that was sound begins to crash workers, and is never quarantined since it was
/// served long ago; or too soon, while all workers are down.
#[test]
fn a_part_that_was_served_before_needs_six_crashes() {
    let (mut evidence, quarantine) = (CrashEvidence::default(), Quarantine::default());
    for number in 0..6 {
        let now_ms = 10_000 + 1_000 * number;
        evidence.record(now_ms, crash(number, now_ms, &[HARMFUL]));
        evidence.take_questions(now_ms, &quarantine);
        evidence.record_served(HARMFUL, 9_000);
        evidence.take_questions(now_ms, &quarantine);
        let decided = evidence.decide(now_ms + ANSWERED_MS, &quarantine);
        assert_eq!(decided.is_some(), number == 5, "after crash {number}");
    }
}

/// Nothing was ever served, so that the crashes can't tell a common part from a harmful
/// one. Prompts with only the common part must pass.
#[test]
fn parts_that_crashes_cannot_tell_apart_are_quarantined_together() {
    let (mut evidence, mut quarantine) = (CrashEvidence::default(), Quarantine::default());
    for number in 0..4 {
        evidence.record(0, crash(number, 0, &[COMMON, HARMFUL, 100 + number]));
    }
    let parts = ask_and_decide(&mut evidence, &quarantine, 0).expect("a decision");
    assert_eq!(parts, BTreeSet::from([COMMON, HARMFUL]));
    quarantine.add(0, parts, QUARANTINE_MS);
    assert_eq!(quarantine.remaining_ms(0, &prompt(&[COMMON, 101])), None);
    assert_eq!(quarantine.remaining_ms(0, &prompt(&[COMMON, 7, HARMFUL])), Some(QUARANTINE_MS));
}

/// A document in flight beside the harmful part is quarantined with it, or later, since
/// crashes that are explained count against it.
#[test]
fn explained_crashes_do_not_count_against_other_parts() {
    let (mut evidence, mut quarantine) = (CrashEvidence::default(), Quarantine::default());
    for number in 0..5 {
        let mut parts = vec![HARMFUL];
        parts.extend((number > 0).then_some(50));
        evidence.record(0, crash(number, 0, &parts));
    }
    let parts = ask_and_decide(&mut evidence, &quarantine, 0).expect("a decision");
    assert_eq!(parts, BTreeSet::from([HARMFUL]));
    quarantine.add(0, parts, QUARANTINE_MS);
    assert_eq!(ask_and_decide(&mut evidence, &quarantine, 1_000), None);
}

/// One crash that several hosts report counts several times, or several crashes of a
/// worker count once because no report told of its starts.
#[test]
fn crashes_are_counted_by_worker_and_time() {
    let (mut evidence, quarantine) = (CrashEvidence::default(), Quarantine::default());
    for _ in 0..10 {
        evidence.record(0, crash(1, 0, &[HARMFUL]));
        evidence.record(0, crash(1, 400, &[HARMFUL]));
    }
    assert_eq!(ask_and_decide(&mut evidence, &quarantine, 500), None);
    evidence.record(0, crash(1, 3_000, &[HARMFUL]));
    evidence.record(0, crash(1, 6_000, &[HARMFUL]));
    evidence.record(0, crash(1, 9_000, &[HARMFUL]));
    assert!(ask_and_decide(&mut evidence, &quarantine, 9_000).is_some());
}

/// Evidence and quarantine that never end, or grow without bound.
#[test]
fn evidence_and_quarantine_are_bounded_and_end() {
    let (mut evidence, mut quarantine) = (CrashEvidence::default(), Quarantine::default());
    for number in 0..2_000 {
        let parts: Vec<u64> = (0..1_000).map(|part| number * 1_000 + part).collect();
        evidence.record(0, crash(number, 0, &parts));
        quarantine.add(0, BTreeSet::from([number]), QUARANTINE_MS);
    }
    assert!(quarantine.iter(0).count() <= 256);
    for number in 0..4 {
        evidence.record(0, crash(10_000 + number, 0, &[HARMFUL]));
    }
    evidence.remove_old(QUARANTINE_MS + 1);
    quarantine.remove_ended(QUARANTINE_MS);
    assert!(evidence.take_questions(QUARANTINE_MS + 1, &quarantine).is_empty());
    assert_eq!(quarantine.iter(0).count(), 0);
}

/// An entry that hosts tell each other again and again never ends.
#[test]
fn a_quarantine_told_again_does_not_get_longer() {
    let mut quarantine = Quarantine::default();
    let parts = BTreeSet::from([HARMFUL]);
    assert!(quarantine.add(0, parts.clone(), QUARANTINE_MS));
    assert!(!quarantine.add(1_000, parts.clone(), QUARANTINE_MS - 1_000));
    assert_eq!(quarantine.remaining_ms(1_000, &prompt(&[HARMFUL])), Some(QUARANTINE_MS - 1_000));
    assert!(!quarantine.add(1_000, parts, 10));
    assert_eq!(quarantine.remaining_ms(QUARANTINE_MS, &prompt(&[HARMFUL])), None);
}

/// Parts that were served are forgotten at once, or never.
#[test]
fn served_parts_are_bounded() {
    let mut served = ServedParts::default();
    assert!(served.is_empty());
    for part in 0..100_000 {
        served.record(part, &prompt(&[part, COMMON]));
    }
    assert_eq!(served.last_served_ms(COMMON), Some(99_999));
    assert_eq!(served.last_served_ms(99_000), Some(99_000));
    assert_eq!(served.last_served_ms(HARMFUL), None);
    assert!(!served.is_empty());
}

/// An answer that broke off for another reason counts as a crash, or the crash of a
/// worker that is back at once is never noticed.
#[test]
fn crashes_are_confirmed_by_a_check_or_by_a_new_start() {
    let mut broken = BrokenRequests::default();
    assert!(!broken.record(0, &worker(1), &prompt(&[])), "a request without a prompt");
    assert!(broken.record(0, &worker(1), &prompt(&[COMMON])));
    assert!(broken.record(10, &worker(1), &prompt(&[HARMFUL])));
    assert_eq!(broken.take_unchecked(), [worker(1)]);
    assert!(broken.take_unchecked().is_empty());
    assert_eq!(broken.confirm(&worker(1)), Some(crash(1, 0, &[COMMON, HARMFUL])));
    assert_eq!(broken.confirm(&worker(1)), None);
    broken.record(0, &worker(2), &prompt(&[COMMON]));
    assert_eq!(broken.confirm_restarted(&WorkerTable::default()), [crash(2, 0, &[COMMON])]);
    broken.record(0, &worker(3), &prompt(&[COMMON]));
    broken.remove_old(5_001);
    assert_eq!(broken.confirm(&worker(3)), None);
}

/// Workers crash every fifth of a second for a minute, with hundreds of documents in
/// flight. No sound part may be quarantined, with a harmful part among them or without.
#[test]
fn only_the_harmful_part_is_quarantined_among_many_crashes() {
    for (seed, has_harmful_part) in [(1, false), (2, false), (3, false), (1, true), (2, true)] {
        let quarantined = simulate(seed, has_harmful_part);
        let expected = if has_harmful_part { vec![BTreeSet::from([HARMFUL])] } else { vec![] };
        assert_eq!(quarantined, expected, "seed {seed}");
    }
}

/// Simulates 40 workers and 200 requests a second, of which each prompt has the common
/// part and a document. Returns what is quarantined after a minute.
fn simulate(seed: u64, has_harmful_part: bool) -> Vec<BTreeSet<u64>> {
    const WORKERS: u64 = 40;
    const STEP_MS: u64 = 5;
    const ANSWER_MS: u64 = 400;
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut evidence, mut quarantine) = (CrashEvidence::default(), Quarantine::default());
    let mut served: BTreeMap<u64, u64> = BTreeMap::new();
    let mut in_flight: Vec<(u64, u64, Vec<u64>)> = Vec::new();
    for now_ms in (0..60_000).step_by(STEP_MS as usize) {
        let (ended, running) = in_flight.into_iter().partition(|(at_ms, ..)| *at_ms <= now_ms);
        in_flight = running;
        let ended: Vec<(u64, u64, Vec<u64>)> = ended;
        let mut crashed: BTreeSet<u64> = BTreeSet::new();
        if now_ms % 200 == 0 {
            crashed.insert(rng.random_range(0..WORKERS));
        }
        for (_, worker, parts) in ended {
            if parts.contains(&HARMFUL) {
                crashed.insert(worker);
            } else {
                served.extend(parts.into_iter().map(|part| (part, now_ms)));
            }
        }
        for number in crashed {
            let (lost, running): (Vec<_>, Vec<_>) =
                in_flight.into_iter().partition(|(_, worker, _)| *worker == number);
            in_flight = running;
            let mut parts: Vec<u64> = lost.into_iter().flat_map(|(.., parts)| parts).collect();
            parts.extend(has_harmful_part.then_some(HARMFUL).filter(|_| now_ms % 200 != 0));
            evidence.record(now_ms, crash(number, now_ms, &parts));
        }
        let document = 100 + (rng.random::<f64>().powi(3) * 600.0) as u64;
        let mut parts = vec![COMMON, document];
        if has_harmful_part && now_ms % 150 == 0 {
            parts.insert(1, HARMFUL);
        }
        if quarantine.remaining_ms(now_ms, &prompt(&parts)).is_none() {
            in_flight.push((now_ms + ANSWER_MS, rng.random_range(0..WORKERS), parts));
        }
        if now_ms % 50 != 0 {
            continue;
        }
        for part in evidence.take_questions(now_ms, &quarantine) {
            if let Some(served_ms) = served.get(&part) {
                evidence.record_served(part, *served_ms);
            }
        }
        if let Some(parts) = evidence.decide(now_ms, &quarantine) {
            quarantine.add(now_ms, parts, QUARANTINE_MS);
        }
    }
    quarantine.iter(60_000).map(|(parts, _)| parts.clone()).collect()
}
