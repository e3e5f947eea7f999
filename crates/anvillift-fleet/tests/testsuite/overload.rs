//! Short prompts beyond the capacity of a region: more requests than slots get free, so
//! that the rest waits at the workers.

use std::collections::VecDeque;

use anvillift_fleet::{ConcurrencyLimit, LatencySample, LoadAtHost, RunTime};
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

/// Hosts that send to the workers; they know nothing of one another but the reported load.
const HOSTS: usize = 10;

/// Requests at a worker, each with the time at which it was sent and its host.
#[derive(Clone, Debug, Default)]
struct Worker {
    /// Ends of the requests that run, in milliseconds, with their hosts.
    running: VecDeque<(u64, usize)>,
    waiting: VecDeque<(u64, usize)>,
}

/// A host with what it has in flight.
#[derive(Clone, Debug, Default)]
struct Host {
    limit: ConcurrencyLimit,
    requests: usize,
}

impl Host {
    fn load(&self, slot_use: Option<f64>) -> LoadAtHost {
        LoadAtHost {
            in_flight: self.requests as f64 / SLOTS as f64,
            workers: WORKERS as f64 / HOSTS as f64,
            slot_use,
            run_ms: RUN_MS as f64,
            target_ms: TARGET_MS,
        }
    }

    fn record_first_byte(&mut self, now_ms: u64, sent_ms: u64) {
        let in_flight = self.requests as f64 / SLOTS as f64;
        let (first_ms, run_ms) = (now_ms - sent_ms, RUN_MS as f64);
        let sample = LatencySample { sent_ms, first_ms, target_ms: TARGET_MS, run_ms };
        self.limit.record(now_ms, &sample, in_flight);
    }
}

/// Ends and begins requests at the workers, and counts those that have begun.
fn serve(now_ms: u64, workers: &mut [Worker], hosts: &mut [Host], seconds: &mut [Second]) {
    for worker in workers {
        while let Some((_, host)) = worker.running.pop_front_if(|(end_ms, _)| *end_ms <= now_ms) {
            hosts[host].requests -= 1;
        }
        while (worker.running.len() as u64) < SLOTS
            && let Some((sent_ms, host)) = worker.waiting.pop_front()
        {
            worker.running.push_back((now_ms + RUN_MS, host));
            hosts[host].record_first_byte(now_ms, sent_ms);
            let second = &mut seconds[(sent_ms / 1_000) as usize];
            if now_ms - sent_ms <= TARGET_MS {
                second.in_time += 1;
            } else {
                second.late += 1;
            }
        }
    }
}

/// Simulates 24 seconds at 0.8 of the capacity with a burst of `burst` times the capacity.
fn simulate(burst: f64, rejects: bool, seed: u64) -> Vec<Second> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut workers = vec![Worker::default(); WORKERS];
    let mut hosts = vec![Host::default(); HOSTS];
    let mut known_loads: VecDeque<usize> = VecDeque::new();
    let mut seconds = vec![Second::default(); 24];
    for now_ms in 0..24_000_u64 {
        let load = if BURST_MS.contains(&now_ms) { burst } else { 0.8 };
        serve(now_ms, &mut workers, &mut hosts, &mut seconds);
        known_loads.push_back(hosts.iter().map(|host| host.requests).sum());
        let known = if known_loads.len() > LOAD_AGE_MS { known_loads.pop_front() } else { None };
        let slot_use = known.map(|requests| requests as f64 / (WORKERS as f64 * SLOTS as f64));
        let arrivals = load * CAPACITY_PER_S / 1_000.0;
        let count = arrivals as u64 + u64::from(rng.random::<f64>() < arrivals.fract());
        for _ in 0..count {
            seconds[(now_ms / 1_000) as usize].sent += 1;
            let number = rng.random_range(0..HOSTS);
            let host = &mut hosts[number];
            if rejects && !host.limit.admits(&host.load(slot_use), true, rng.random()) {
                continue;
            }
            host.requests += 1;
            let least = workers.iter_mut().min_by_key(|one| one.running.len() + one.waiting.len());
            least.expect("a worker").waiting.push_back((now_ms, number));
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

/// Late answers after a limit has been lowered belong to requests from before; they would
/// lower it again and again.
#[test]
fn answers_to_earlier_requests_do_not_lower_a_limit_again() {
    let mut host = Host { requests: 128, ..Host::default() };
    (0..8).for_each(|_| host.record_first_byte(2_000, 0));
    let lowered = host.limit.limit(&host.load(None));
    (0..80).for_each(|_| host.record_first_byte(2_100, 0));
    assert_eq!(host.limit.limit(&host.load(None)), lowered);
    (0..8).for_each(|_| host.record_first_byte(4_200, 2_000));
    assert!(host.limit.limit(&host.load(None)) < lowered);
}

/// A few slow workers among fast ones look like workers that are full.
#[test]
fn a_minority_of_late_answers_does_not_lower_the_limit() {
    let mut host = Host { requests: 48, ..Host::default() };
    let before = host.limit.limit(&host.load(None));
    for _ in 0..20 {
        (0..3).for_each(|_| host.record_first_byte(5_000, 1_000));
        (0..5).for_each(|_| host.record_first_byte(5_000, 4_900));
    }
    assert_eq!(host.limit.limit(&host.load(None)), before);
}

/// A limit that stays low after the burst rejects requests that the workers could answer.
#[test]
fn a_limit_grows_and_ends_once_answers_begin_early() {
    let mut host = Host { requests: 96, ..Host::default() };
    let before = host.limit.limit(&host.load(None));
    (0..8).for_each(|_| host.record_first_byte(3_000, 0));
    assert!(host.limit.limit(&host.load(None)) < before);
    (0..160).for_each(|_| host.record_first_byte(5_000, 4_950));
    assert_eq!(host.limit.limit(&host.load(None)), before);
}

/// A route without a target, a host without workers, and a service without answers yet have
/// nothing to compute a limit from.
#[test]
fn missing_inputs_reject_nothing_or_have_a_finite_limit() {
    let host = Host { requests: 1_000, ..Host::default() };
    let load = host.load(None);
    assert!(!host.limit.admits(&load, true, 0.5));
    assert!(host.limit.admits(&LoadAtHost { target_ms: 0, ..load }, true, 0.5));
    assert!(host.limit.admits(&LoadAtHost { run_ms: 0.0, ..load }, true, 0.5));
    let has_room = Host { requests: 60, ..Host::default() }.load(Some(0.7));
    assert!(host.limit.admits(&has_room, true, 0.5));
    let without_workers = LoadAtHost { workers: 0.0, run_ms: 0.0, ..load };
    assert!(host.limit.admits(&without_workers, true, 0.5));
}

/// Urgent requests wait behind less urgent ones, or those are never admitted.
#[test]
fn less_urgent_requests_are_rejected_first_and_never_all() {
    let limit = ConcurrencyLimit::default();
    let full = Host { requests: 94, ..Host::default() };
    let load = full.load(Some(1.0));
    assert!(limit.admits(&load, true, 0.9));
    assert!(!limit.admits(&load, false, 0.9));
    assert!(limit.admits(&load, false, 0.2));
}

/// Guards against streams of a host that has failed, which come to the others all at once and are
/// rejected there like new ones, and against streams that are taken up without any limit.
#[test]
fn streams_that_are_taken_up_are_admitted_beyond_the_limit() {
    let limit = ConcurrencyLimit::default();
    let full = Host { requests: 120, ..Host::default() }.load(Some(1.0));
    assert!(!limit.admits(&full, true, 0.9));
    assert!(limit.admits_resumed(&full));
    let twice = LoadAtHost { in_flight: 2.0 * limit.limit(&full), ..full };
    assert!(!limit.admits_resumed(&twice));
    assert!(limit.admits_resumed(&LoadAtHost { workers: 0.0, ..twice }));
}

/// Callers that are rejected together come back together, or too late for their target.
#[test]
fn rejected_callers_come_back_spread_within_their_target() {
    let limit = ConcurrencyLimit::default();
    let waits: Vec<u64> = [0.0, 0.5, 1.0].map(|draw| limit.retry_after_ms(TARGET_MS, draw)).into();
    assert!(waits.is_sorted() && waits[0] > 0 && waits[2] < TARGET_MS / 2, "{waits:?}");
}

/// The average of a service without answers, or of one whose answers have changed, is nonsense.
#[test]
fn run_time_follows_the_answers() {
    assert_eq!(RunTime::default().average_ms(), 0.0);
    let mut run_time = RunTime::default();
    run_time.record(800);
    assert_eq!(run_time.average_ms(), 800.0);
    for _ in 0..500 {
        run_time.record(100);
    }
    assert!(run_time.average_ms() < 110.0);
}

/// A limit that was lowered to nothing while all workers were silent stays there.
#[test]
fn an_answer_while_nothing_is_in_flight_does_not_lower_the_limit() {
    let mut host = Host::default();
    (0..8).for_each(|_| host.record_first_byte(5_000, 0));
    host.requests = 96;
    assert!(host.limit.admits(&host.load(None), true, 0.5));
}
