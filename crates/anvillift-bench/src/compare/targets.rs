//! The targets, each judged as met or missed.
//!
//! Figures are medians over the seeds; the table shows their spread.

use anvillift_routing::policy::Policy;

use super::Comparison;
use super::faults::{self, FaultRuns};
use super::flood::FloodOutcome;
use super::measures::{self, Measure};
use crate::trial::outcome::Outcome;

const FIRST_TOKEN_MS: f64 = 1200.0;
const BETWEEN_TOKENS_MS: f64 = 42.0;
const SHARE_OF_ROUND_ROBIN_P99: f64 = 0.5;
const SHARE_OF_LEAST_OUTSTANDING_TOKENS: f64 = 0.7;
const SHARE_OF_GOODPUT: f64 = 0.95;
const REFUSAL_MS: f64 = 50.0;
const ATTEMPTS_PER_REQUEST: f64 = 1.1;
const SHARE_OF_TEAM_LIMIT: f64 = 1.1;
const SHARE_OF_QUIET_TEAM: f64 = 0.95;

/// A target with its verdict.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Verdict {
    /// What is asked.
    pub target: String,
    /// What was measured.
    pub measured: String,
    /// Whether it is met; `None` when there was nothing to judge it by.
    pub met: Option<bool>,
}

/// Judges all targets.
pub fn judge(comparison: &Comparison) -> Vec<Verdict> {
    let mut verdicts = Vec::new();
    if !comparison.outcomes.is_empty() {
        verdicts.extend([
            at_most(comparison, &measures::QUESTION_FIRST_P95, FIRST_TOKEN_MS),
            at_most(comparison, &measures::QUESTION_GAP_P95, BETWEEN_TOKENS_MS),
            half_of_round_robin(comparison),
            better_than_each(comparison),
            computed(comparison),
            away(comparison),
        ]);
    }
    let faults = &comparison.faults;
    if let (Some(at_capacity), Some(at_twice)) = (&faults.at_capacity, &faults.at_twice) {
        verdicts.push(goodput(comparison, at_capacity, at_twice));
        verdicts.push(refusals(at_twice));
    }
    verdicts.extend(faults.failing.as_ref().map(|failing| attempts(comparison, failing)));
    if !faults.after_return.is_empty() {
        verdicts.push(region_return(faults));
    }
    verdicts.extend(faults.flood.as_ref().map(flood));
    verdicts
}

fn median(comparison: &Comparison, policy: Policy, measure: &Measure) -> Option<f64> {
    comparison.spread(policy, measure).map(|spread| spread.median)
}

fn own(comparison: &Comparison, measure: &Measure) -> f64 {
    median(comparison, Policy::Anvillift, measure).unwrap_or(f64::NAN)
}

fn baselines() -> impl Iterator<Item = Policy> {
    Policy::ALL.into_iter().filter(|policy| *policy != Policy::Anvillift)
}

fn verdict(target: impl Into<String>, measured: String, met: bool) -> Verdict {
    Verdict { target: target.into(), measured, met: Some(met) }
}

fn at_most(comparison: &Comparison, measure: &Measure, bound: f64) -> Verdict {
    let value = own(comparison, measure);
    let load = comparison.experiment.load_milli as f64 / 10.0;
    let target =
        format!("{} at most {bound} {} at {load} % of capacity", measure.name, measure.unit);
    verdict(target, format!("{value:.1} {}", measure.unit), value <= bound)
}

fn half_of_round_robin(comparison: &Comparison) -> Verdict {
    let own = own(comparison, &measures::QUESTION_FIRST_P99);
    let theirs = median(comparison, Policy::RoundRobin, &measures::QUESTION_FIRST_P99);
    let theirs = theirs.unwrap_or(f64::NAN);
    verdict(
        "question p99 at most half of round robin's",
        format!("{own:.0} ms against {theirs:.0} ms"),
        own <= theirs * SHARE_OF_ROUND_ROBIN_P99,
    )
}

fn better_than_each(comparison: &Comparison) -> Verdict {
    let own = own(comparison, &measures::QUESTION_FIRST_P99);
    let theirs: Vec<(Policy, f64)> = baselines()
        .filter_map(|policy| {
            Some((policy, median(comparison, policy, &measures::QUESTION_FIRST_P99)?))
        })
        .collect();
    let listed: Vec<String> =
        theirs.iter().map(|(policy, value)| format!("{policy} {value:.0}")).collect();
    verdict(
        "question p99 better than each baseline's",
        format!("{own:.0} ms against {} ms", listed.join(", ")),
        theirs.iter().all(|(_, value)| own < *value),
    )
}

fn computed(comparison: &Comparison) -> Verdict {
    let own = own(comparison, &measures::COMPUTED);
    let theirs = median(comparison, Policy::LeastOutstanding, &measures::COMPUTED);
    let theirs = theirs.unwrap_or(f64::NAN);
    verdict(
        "prompt tokens computed at least 30 % below least outstanding's",
        format!("{own:.0} against {theirs:.0} an answer"),
        own <= theirs * SHARE_OF_LEAST_OUTSTANDING_TOKENS,
    )
}

/// Nearest region sends nothing away by definition; it counts where it meets the same p95.
fn away(comparison: &Comparison) -> Verdict {
    let value = |policy, measure| median(comparison, policy, measure).unwrap_or(f64::NAN);
    let own = (own(comparison, &measures::AWAY), own(comparison, &measures::COMPUTED));
    let equals: Vec<Policy> = baselines()
        .filter(|policy| value(*policy, &measures::QUESTION_FIRST_P95) <= FIRST_TOKEN_MS)
        .collect();
    let listed: Vec<String> = equals
        .iter()
        .map(|policy| {
            let (away, computed) =
                (value(*policy, &measures::AWAY), value(*policy, &measures::COMPUTED));
            format!("{policy} {away:.1} % at {computed:.0}")
        })
        .collect();
    let met = equals.iter().all(|policy| {
        own.0 < value(*policy, &measures::AWAY) && own.1 <= value(*policy, &measures::COMPUTED)
    });
    let met = (!equals.is_empty()).then_some(met);
    let others = if listed.is_empty() { "none".to_owned() } else { listed.join(", ") };
    let measured = format!("{:.1} % at {:.0} tokens an answer, against {others}", own.0, own.1);
    let target = "fewer sent away than each baseline that meets p95 1200 ms, at no higher cost";
    Verdict { target: target.to_owned(), measured, met }
}

fn goodput(comparison: &Comparison, at_capacity: &Outcome, at_twice: &Outcome) -> Verdict {
    let at_capacity = at_capacity.goodput_per_s(&comparison.experiment);
    let at_twice = at_twice.goodput_per_s(&comparison.experiment);
    verdict(
        "goodput at twice the capacity at least 95 % of that at capacity",
        format!("{at_twice:.1} against {at_capacity:.1} a second"),
        at_twice >= at_capacity * SHARE_OF_GOODPUT,
    )
}

fn refusals(at_twice: &Outcome) -> Verdict {
    let total = at_twice.tally.total();
    let p99_ms = total.refusals.percentile_ms(99.0);
    let measured = format!("p99 {p99_ms:.1} ms over {} refusals", total.refused);
    let met = (total.refused > 0).then_some(p99_ms <= REFUSAL_MS);
    Verdict { target: "refusals answered within 50 ms".to_owned(), measured, met }
}

fn attempts(comparison: &Comparison, failing: &Outcome) -> Verdict {
    let models = failing.of_models(&comparison.experiment);
    let ratio = failing.totals.attempts as f64 / models.sent.max(1) as f64;
    let share = |part: u64| part as f64 * 100.0 / models.sent.max(1) as f64;
    let (whole, refused) = (share(models.whole), share(models.refused));
    verdict(
        "with 30 % of workers failing, attempts at most 1.1 times requests",
        format!(
            "{ratio:.3} times; {whole:.1} % answered, {refused:.1} % refused, by code {:?}",
            models.codes
        ),
        ratio <= ATTEMPTS_PER_REQUEST,
    )
}

fn region_return(faults: &FaultRuns) -> Verdict {
    let listed: Vec<String> = faults
        .after_return
        .iter()
        .map(|window| {
            let (from_s, p95) = (window.from_s, window.first_p95_ms);
            format!(
                "{from_s} s: {p95:.0} ms ({} of {} not answered)",
                window.unanswered, window.asked
            )
        })
        .collect();
    verdict(
        "after a region's return question p95 back within 1200 ms in 30 s, and stays",
        listed.join("; "),
        faults::is_back(&faults.after_return, FIRST_TOKEN_MS),
    )
}

fn flood(flood: &FloodOutcome) -> Verdict {
    let measured = format!(
        "flood: {:.1} of {:.1} a second admitted, limit {:.1}; other team: {:.1} % good, {:.1} % refused",
        flood.admitted_per_s,
        flood.flooded_per_s,
        flood.limit_per_s,
        flood.quiet_good_share * 100.0,
        flood.quiet_refused_share * 100.0,
    );
    verdict(
        "no team above its limit by more than 10 %, none below its share",
        measured,
        flood.admitted_per_s <= flood.limit_per_s * SHARE_OF_TEAM_LIMIT
            && flood.quiet_good_share >= SHARE_OF_QUIET_TEAM,
    )
}
