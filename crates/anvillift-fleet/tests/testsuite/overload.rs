//! Short prompts beyond the capacity of a region: more requests than slots get free, so
//! that the rest waits at the workers.

use std::collections::VecDeque;

use anvillift_fleet::RunTime;
use anvillift_fleet::admission;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const WORKERS: usize = 30;
const SLOTS: u64 = 16;
/// Time that each request runs, in milliseconds.
const RUN_MS: u64 = 1_000;
/// Target latency, within which an answer has to begin, in milliseconds.
const TARGET_MS: u64 = 1_200;
/// Age of the load that hosts know, in milliseconds.
const LOAD_AGE_MS: usize = 500;
/// Begin and end of the burst, in milliseconds.
const BURST_MS: std::ops::Range<u64> = 6_000..14_000;
const CAPACITY_PER_S: f64 = WORKERS as f64 * SLOTS as f64 * 1_000.0 / RUN_MS as f64;

/// What was served in time in one second, beside what was sent.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    sent: u64,
    in_time: u64,
    late: u64,
}

/// Simulates 24 seconds at 0.8 of the capacity with a burst of `burst` times the capacity.
fn simulate(burst: f64, rejects: bool, seed: u64) -> Vec<Second> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut run_time = RunTime::default();
    run_time.record(RUN_MS);
    // Of each worker: the ends of the requests that run, and the arrivals of those that wait.
    let mut workers: Vec<(VecDeque<u64>, VecDeque<u64>)> = vec![Default::default(); WORKERS];
    let mut known_loads: VecDeque<usize> = VecDeque::new();
    let mut seconds = vec![Second::default(); 24];
    for now_ms in 0..24_000_u64 {
        let load = if BURST_MS.contains(&now_ms) { burst } else { 0.8 };
        for (running, waiting) in &mut workers {
            while running.front().is_some_and(|end_ms| *end_ms <= now_ms) {
                running.pop_front();
            }
            while (running.len() as u64) < SLOTS
                && let Some(sent_ms) = waiting.pop_front()
            {
                running.push_back(now_ms + RUN_MS);
                let second = &mut seconds[(sent_ms / 1_000) as usize];
                if now_ms - sent_ms <= TARGET_MS {
                    second.in_time += 1;
                } else {
                    second.late += 1;
                }
            }
        }
        let in_flight: usize = workers.iter().map(|(run, wait)| run.len() + wait.len()).sum();
        known_loads.push_back(in_flight);
        let known = if known_loads.len() > LOAD_AGE_MS { known_loads.pop_front() } else { None };
        let per_worker = known.unwrap_or_default() as f64 / WORKERS as f64;
        let wait_ms = run_time.wait_ms(per_worker, SLOTS);
        let arrivals = load * CAPACITY_PER_S / 1_000.0;
        let count = arrivals as u64 + u64::from(rng.random::<f64>() < arrivals.fract());
        for _ in 0..count {
            seconds[(now_ms / 1_000) as usize].sent += 1;
            if !(rejects && admission::rejects_for_slots(wait_ms, TARGET_MS, rng.random())) {
                let least = workers.iter_mut().min_by_key(|(run, wait)| run.len() + wait.len());
                least.expect("a worker").1.push_back(now_ms);
            }
        }
    }
    seconds
}

/// A burst of short prompts leaves a backlog at the workers, so that nothing is in time
/// for seconds after it.
#[rstest]
#[case::half_more(1.5, 1)]
#[case::three_times(3.0, 2)]
#[case::ten_times(10.0, 3)]
fn short_prompts_are_in_time_two_seconds_after_a_burst(#[case] burst: f64, #[case] seed: u64) {
    let without = simulate(burst, false, seed)[16];
    assert!(without.in_time * 2 < without.sent, "no backlog without rejections: {without:?}");
    let after = simulate(burst, true, seed)[16];
    assert!(after.in_time * 100 >= after.sent * 99, "{after:?}");
}

/// A burst lowers what is served in time below the capacity of the workers.
#[rstest]
#[case::half_more(1.5, 1)]
#[case::three_times(3.0, 2)]
#[case::ten_times(10.0, 3)]
fn capacity_is_served_in_time_during_a_burst(#[case] burst: f64, #[case] seed: u64) {
    let seconds = simulate(burst, true, seed);
    let in_time: u64 = seconds[8..14].iter().map(|second| second.in_time).sum();
    let share = in_time as f64 / (6.0 * CAPACITY_PER_S);
    assert!(share >= 0.9, "{share:.2} of the capacity in time");
}

/// Requests are refused though slots are free.
#[test]
fn nothing_is_rejected_within_the_capacity() {
    let seconds = simulate(0.8, true, 4);
    let sent: u64 = seconds[..22].iter().map(|second| second.sent).sum();
    let served: u64 = seconds[..22].iter().map(|second| second.in_time + second.late).sum();
    assert_eq!(sent, served);
}

/// The wait of a service without answers yet, or of one without slots, is nonsense.
#[test]
fn wait_for_a_slot_follows_from_the_run_time() {
    assert_eq!(RunTime::default().wait_ms(1_000.0, 8), 0.0);
    let mut run_time = RunTime::default();
    run_time.record(800);
    assert_eq!(run_time.wait_ms(8.0, 8), 0.0);
    assert_eq!(run_time.wait_ms(12.0, 8), 400.0);
    assert!(run_time.wait_ms(12.0, 0).is_finite());
    for _ in 0..500 {
        run_time.record(100);
    }
    assert!(run_time.wait_ms(12.0, 8) < 60.0);
}
