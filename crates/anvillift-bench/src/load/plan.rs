//! Plan of requests, drawn from a seed.
//!
//! Each class in each region is an independent Poisson process. The same experiment
//! and seed give the same plan.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::arrival::Arrival;
use super::experiment::{Class, Experiment, Region};

/// Exponent that skews the choice of histories towards low numbers; 1 would be
/// uniform.
const HISTORY_SKEW: f64 = 2.0;

/// Returns the requests of the warm-up and the measured time, ordered by time.
pub fn arrivals(experiment: &Experiment, seed: u64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut plan = Vec::new();
    for region in &experiment.regions {
        for class in &experiment.classes {
            let share = f64::from(region.share_milli) / 1000.0;
            let rate_per_s = experiment.rate_per_s(class) * share;
            add_class(experiment, region, class, rate_per_s, seed, &mut rng, &mut plan);
        }
    }
    plan.sort_by_key(|arrival: &Arrival| arrival.at);
    for (number, arrival) in plan.iter_mut().enumerate() {
        arrival.number = number as u64;
    }
    plan
}

fn add_class(
    experiment: &Experiment,
    region: &Region,
    class: &Class,
    rate_per_s: f64,
    seed: u64,
    rng: &mut SmallRng,
    plan: &mut Vec<Arrival>,
) {
    if rate_per_s <= 0.0 {
        return;
    }
    let end_s = (experiment.warm_up_s + experiment.duration_s) as f64;
    let mut at_s = 0.0;
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at_s -= uniform.ln() / rate_per_s;
        if at_s >= end_s {
            return;
        }
        plan.push(Arrival {
            at: Duration::from_secs_f64(at_s),
            number: 0,
            region: region.name.clone(),
            class: class.name.clone(),
            kind: class.kind,
            service: class.service.clone(),
            history: draw_history(class.histories, rng),
            history_tokens: class.history_tokens,
            question_tokens: class.question_tokens,
            answer_tokens: class.answer_tokens,
            deadline_ms: class.deadline_ms,
            seed,
        });
    }
}

/// Draws the number of a history; low numbers are more frequent.
fn draw_history(histories: u32, rng: &mut SmallRng) -> u32 {
    let drawn: f64 = rng.random();
    (drawn.powf(HISTORY_SKEW) * f64::from(histories)) as u32
}
