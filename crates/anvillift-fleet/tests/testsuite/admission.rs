//! Tests of rejecting prompts while a region has a large backlog.
//!
//! Guards against the collapse of an overloaded region: its workers process all
//! prompts of their batches side by side, so slowly that the callers leave before
//! any of them is answered (seen on hanbit-permits-grown `scale-1`, where 40 workers
//! answered 1 of 775 prompts in two seconds while a part of the fleet was cut off).

use std::collections::VecDeque;

use anvillift_fleet::{InFlight, Prompt, RegionLoads, admission, choose};
use anvillift_schema::fleet::{FleetLoad, FleetLoads, FleetServiceLoad};
use anvillift_schema::name::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const STEP_MS: u64 = 10;
const PROMPT_TOKENS: f64 = 9_200.0;
const TOKENS_PER_MS: f64 = 51.0;
const SLOTS: usize = 24;
/// Time after which a caller without an answer leaves.
const PATIENCE_MS: u64 = 3_200;
/// Age of the backlog that the hosts know.
const REPORT_AGE_MS: u64 = 500;

/// Outcome of a simulated run.
#[derive(Debug, Default)]
struct Outcome {
    answered: u64,
    in_time: u64,
    rejected: u64,
    left: u64,
}

struct WaitingPrompt {
    arrived_ms: u64,
    unprocessed_tokens: f64,
}

/// Runs one worker, whose prompts arrive at a multiple of the rate that it can
/// process, and which processes the prompts of its batch side by side.
fn run(load: f64, seconds: u64, rejects: impl Fn(f64, f64) -> bool) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut outcome = Outcome::default();
    let mut prompts: VecDeque<WaitingPrompt> = VecDeque::new();
    let mut reported: VecDeque<f64> = VecDeque::new();
    let arrivals_per_step = load * TOKENS_PER_MS * STEP_MS as f64 / PROMPT_TOKENS;
    for now_ms in (0..seconds * 1_000).step_by(STEP_MS as usize) {
        let unprocessed: f64 = prompts.iter().map(|prompt| prompt.unprocessed_tokens).sum();
        let in_flight = InFlight { requests: 0, unprocessed_tokens: unprocessed as u64 };
        reported.push_back(choose::backlog(&in_flight));
        let is_aged = reported.len() as u64 > REPORT_AGE_MS / STEP_MS;
        let backlog = if is_aged { reported.pop_front().unwrap_or(0.0) } else { 0.0 };
        if rng.random::<f64>() < arrivals_per_step {
            if rejects(backlog, rng.random()) {
                outcome.rejected += 1;
            } else {
                let unprocessed_tokens = PROMPT_TOKENS;
                prompts.push_back(WaitingPrompt { arrived_ms: now_ms, unprocessed_tokens });
            }
        }
        let running = prompts.len().min(SLOTS);
        let processed = TOKENS_PER_MS * STEP_MS as f64 / running.max(1) as f64;
        prompts.iter_mut().take(SLOTS).for_each(|prompt| prompt.unprocessed_tokens -= processed);
        prompts.retain(|prompt| {
            let age_ms = now_ms - prompt.arrived_ms;
            let is_answered = prompt.unprocessed_tokens <= 0.0;
            outcome.answered += u64::from(is_answered);
            outcome.in_time += u64::from(is_answered && age_ms <= 2_000);
            let has_left = !is_answered && age_ms > PATIENCE_MS;
            outcome.left += u64::from(has_left);
            !is_answered && !has_left
        });
    }
    outcome
}

/// Answers that the worker could give in a run.
fn capacity(seconds: u64) -> f64 {
    seconds as f64 * 1_000.0 * TOKENS_PER_MS / PROMPT_TOKENS
}

#[test]
fn an_overloaded_region_keeps_answering_prompts() {
    let outcome = run(1.8, 30, |backlog, draw| admission::rejects(backlog, false, draw));
    assert!(outcome.answered as f64 > 0.8 * capacity(30), "{outcome:?}");
    assert!(outcome.in_time as f64 > 0.7 * capacity(30), "{outcome:?}");
    assert!(outcome.left < outcome.answered / 10, "{outcome:?}");
}

/// Shows what the rejection prevents.
#[test]
fn without_rejections_an_overloaded_region_answers_few_prompts() {
    let outcome = run(1.8, 30, |_, _| false);
    assert!((outcome.answered as f64) < 0.5 * capacity(30), "{outcome:?}");
}

#[test]
fn a_region_below_its_capacity_rejects_nothing() {
    let outcome = run(0.7, 30, |backlog, draw| admission::rejects(backlog, false, draw));
    assert_eq!((outcome.rejected, outcome.left), (0, 0), "{outcome:?}");
}

/// At no backlog are all prompts rejected, so that an outdated report does not leave
/// the workers without work.
#[test]
fn the_rejected_share_grows_with_the_backlog_and_stays_below_all() {
    let share = |backlog: f64, is_most_urgent: bool| {
        let draws = (0..1_000).map(|draw| f64::from(draw) / 1_000.0);
        draws.filter(|draw| admission::rejects(backlog, is_most_urgent, *draw)).count()
    };
    assert_eq!(share(0.5, false), 0);
    assert!(share(0.6, false) < share(0.7, false));
    assert_eq!(share(40.0, false), 900);
    assert_eq!(share(40.0, true), 900);
}

/// Short questions are answered in between and don't wait for the long prompts.
#[test]
fn short_prompts_are_not_rejected() {
    let prompt = |input_tokens| Prompt { input_tokens, ..Prompt::default() };
    assert!(!admission::may_reject(&prompt(0)));
    assert!(!admission::may_reject(&prompt(830)));
    assert!(admission::may_reject(&prompt(9_200)));
}

/// Less urgent prompts make room for urgent ones.
#[test]
fn urgent_prompts_are_rejected_at_a_larger_backlog() {
    assert!(admission::rejects(0.7, false, 0.0));
    assert!(!admission::rejects(0.7, true, 0.0));
    assert!(admission::rejects(0.9, true, 0.0));
}

/// The backlog comes from the reports of all hosts and is not used once they are old.
#[test]
fn the_backlog_is_that_of_all_hosts_per_worker() {
    let service =
        FleetServiceLoad { service: Name::from("model"), requests: 40, unread_tokens: 600_000 };
    let load = FleetLoad { region: Name::from("north"), services: vec![service] };
    let mut loads = RegionLoads::default();
    loads.record_regions(1_000, FleetLoads { regions: vec![load] });
    assert_eq!(loads.backlog(1_200, "north", "model", 10), Some(1.0));
    assert_eq!(loads.backlog(1_200, "north", "other", 10), Some(0.0));
    assert_eq!(loads.backlog(1_200, "south", "model", 10), None);
    assert_eq!(loads.backlog(3_000, "north", "model", 10), None);
}
