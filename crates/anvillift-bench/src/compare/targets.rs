//! Performance targets, each evaluated as met or missed.
//!
//! Values of policies are medians over the seeds; the table of the report shows their
//! spread.

use anvillift_routing::policy::Policy;

use super::Comparison;
use super::faults::{self, FaultRuns};
use super::flood::FloodOutcome;
use super::measures::{self, Measure};
use crate::trial::outcome::Outcome;

const MAX_FIRST_TOKEN_MS: f64 = 1200.0;
const MAX_TOKEN_GAP_MS: f64 = 42.0;
const MAX_RATIO_TO_ROUND_ROBIN_P99: f64 = 0.5;
const MAX_RATIO_TO_LEAST_OUTSTANDING_TOKENS: f64 = 0.7;
const MIN_GOODPUT_RATIO: f64 = 0.95;
const MAX_REFUSAL_MS: f64 = 50.0;
const MAX_ATTEMPTS_PER_REQUEST: f64 = 1.1;
const MAX_RATIO_TO_TEAM_LIMIT: f64 = 1.1;
const MIN_QUIET_TEAM_SHARE: f64 = 0.95;

/// Target with the measured value and the result.
#[derive(Clone, Debug, serde::Serialize)]
pub struct TargetResult {
    /// Statement of the target.
    pub target: String,
    /// Measured values, with units.
    pub measured: String,
    /// Whether the target is met; `None` when the runs give no value to compare.
    pub met: Option<bool>,
}

/// Evaluates the targets of all runs that were performed.
pub fn evaluate(comparison: &Comparison) -> Vec<TargetResult> {
    let mut results = Vec::new();
    if !comparison.outcomes.is_empty() {
        results.extend([
            at_most(comparison, &measures::QUESTION_FIRST_P95, MAX_FIRST_TOKEN_MS),
            at_most(comparison, &measures::QUESTION_GAP_P95, MAX_TOKEN_GAP_MS),
            round_robin_p99(comparison),
            baseline_p99(comparison),
            computed_tokens(comparison),
            cross_region_answers(comparison),
        ]);
    }
    let faults = &comparison.faults;
    if let (Some(at_capacity), Some(at_twice_capacity)) =
        (&faults.at_capacity, &faults.at_twice_capacity)
    {
        results.push(goodput(comparison, at_capacity, at_twice_capacity));
        results.push(refusals(at_twice_capacity));
    }
    results.extend(faults.failing.as_ref().map(|failing| attempts(comparison, failing)));
    if !faults.after_restart.is_empty() {
        results.push(region_recovery(faults));
    }
    results.extend(faults.flood.as_ref().map(flood));
    results
}

fn median(comparison: &Comparison, policy: Policy, measure: &Measure) -> Option<f64> {
    comparison.spread(policy, measure).map(|spread| spread.median)
}

fn anvillift_median(comparison: &Comparison, measure: &Measure) -> f64 {
    median(comparison, Policy::Anvillift, measure).unwrap_or(f64::NAN)
}

fn baselines() -> impl Iterator<Item = Policy> {
    Policy::ALL.into_iter().filter(|policy| *policy != Policy::Anvillift)
}

fn target_result(target: impl Into<String>, measured: String, met: bool) -> TargetResult {
    TargetResult { target: target.into(), measured, met: Some(met) }
}

fn at_most(comparison: &Comparison, measure: &Measure, bound: f64) -> TargetResult {
    let value = anvillift_median(comparison, measure);
    let load = comparison.experiment.load_milli as f64 / 10.0;
    let target =
        format!("{} at most {bound} {} at {load} % of capacity", measure.name, measure.unit);
    target_result(target, format!("{value:.1} {}", measure.unit), value <= bound)
}

fn round_robin_p99(comparison: &Comparison) -> TargetResult {
    let anvillift_median = anvillift_median(comparison, &measures::QUESTION_FIRST_P99);
    let baseline_median = median(comparison, Policy::RoundRobin, &measures::QUESTION_FIRST_P99);
    let baseline_median = baseline_median.unwrap_or(f64::NAN);
    target_result(
        "question p99 at most half of round robin's",
        format!("{anvillift_median:.0} ms against {baseline_median:.0} ms"),
        anvillift_median <= baseline_median * MAX_RATIO_TO_ROUND_ROBIN_P99,
    )
}

fn baseline_p99(comparison: &Comparison) -> TargetResult {
    let anvillift_median = anvillift_median(comparison, &measures::QUESTION_FIRST_P99);
    let baseline_medians: Vec<(Policy, f64)> = baselines()
        .filter_map(|policy| {
            Some((policy, median(comparison, policy, &measures::QUESTION_FIRST_P99)?))
        })
        .collect();
    let descriptions: Vec<String> =
        baseline_medians.iter().map(|(policy, value)| format!("{policy} {value:.0}")).collect();
    target_result(
        "question p99 better than each baseline's",
        format!("{anvillift_median:.0} ms against {} ms", descriptions.join(", ")),
        baseline_medians.iter().all(|(_, value)| anvillift_median < *value),
    )
}

fn computed_tokens(comparison: &Comparison) -> TargetResult {
    let anvillift_median = anvillift_median(comparison, &measures::COMPUTED_PER_ANSWER);
    let baseline_median =
        median(comparison, Policy::LeastOutstanding, &measures::COMPUTED_PER_ANSWER);
    let baseline_median = baseline_median.unwrap_or(f64::NAN);
    target_result(
        "prompt tokens computed at least 30 % below least outstanding's",
        format!("{anvillift_median:.0} against {baseline_median:.0} per answer"),
        anvillift_median <= baseline_median * MAX_RATIO_TO_LEAST_OUTSTANDING_TOKENS,
    )
}

/// Compares the share of answers from other regions with the baselines that meet the
/// first-token target.
///
/// `nearest-region` sends no request to another region by design, so it is compared only
/// when it meets the same p95.
fn cross_region_answers(comparison: &Comparison) -> TargetResult {
    let value = |policy, measure| median(comparison, policy, measure).unwrap_or(f64::NAN);
    let anvillift = (
        anvillift_median(comparison, &measures::AWAY),
        anvillift_median(comparison, &measures::COMPUTED_PER_ANSWER),
    );
    let comparable: Vec<Policy> = baselines()
        .filter(|policy| value(*policy, &measures::QUESTION_FIRST_P95) <= MAX_FIRST_TOKEN_MS)
        .collect();
    let descriptions: Vec<String> = comparable
        .iter()
        .map(|policy| {
            let (away_percent, computed_tokens) =
                (value(*policy, &measures::AWAY), value(*policy, &measures::COMPUTED_PER_ANSWER));
            format!("{policy} {away_percent:.1} % at {computed_tokens:.0}")
        })
        .collect();
    let met = comparable.iter().all(|policy| {
        anvillift.0 < value(*policy, &measures::AWAY)
            && anvillift.1 <= value(*policy, &measures::COMPUTED_PER_ANSWER)
    });
    let met = (!comparable.is_empty()).then_some(met);
    let others = if descriptions.is_empty() { "none".to_owned() } else { descriptions.join(", ") };
    let measured =
        format!("{:.1} % at {:.0} tokens per answer, against {others}", anvillift.0, anvillift.1);
    let target = "fewer sent away than each baseline that meets p95 1200 ms, at no higher cost";
    TargetResult { target: target.to_owned(), measured, met }
}

fn goodput(
    comparison: &Comparison,
    at_capacity: &Outcome,
    at_twice_capacity: &Outcome,
) -> TargetResult {
    let at_capacity = at_capacity.goodput_per_s(&comparison.experiment);
    let at_twice_capacity = at_twice_capacity.goodput_per_s(&comparison.experiment);
    target_result(
        "goodput at twice the capacity at least 95 % of that at capacity",
        format!("{at_twice_capacity:.1} against {at_capacity:.1} per second"),
        at_twice_capacity >= at_capacity * MIN_GOODPUT_RATIO,
    )
}

fn refusals(at_twice_capacity: &Outcome) -> TargetResult {
    let total = at_twice_capacity.tally.total();
    let p99_ms = total.refusals.percentile_ms(99.0);
    let measured = format!("p99 {p99_ms:.1} ms over {} refusals", total.refused);
    let met = (total.refused > 0).then_some(p99_ms <= MAX_REFUSAL_MS);
    TargetResult { target: "refusals answered within 50 ms".to_owned(), measured, met }
}

fn attempts(comparison: &Comparison, failing: &Outcome) -> TargetResult {
    let models = failing.tally_of_models(&comparison.experiment);
    let ratio = failing.totals.attempts as f64 / models.sent.max(1) as f64;
    let share = |part: u64| part as f64 * 100.0 / models.sent.max(1) as f64;
    let (complete, refused) = (share(models.complete), share(models.refused));
    target_result(
        "with 30 % of workers failing, attempts at most 1.1 times requests",
        format!(
            "{ratio:.3} times; {complete:.1} % answered, {refused:.1} % refused, by code {:?}",
            models.codes
        ),
        ratio <= MAX_ATTEMPTS_PER_REQUEST,
    )
}

fn region_recovery(faults: &FaultRuns) -> TargetResult {
    let descriptions: Vec<String> = faults
        .after_restart
        .iter()
        .map(|window| {
            let (from_s, p95) = (window.from_s, window.first_token_p95_ms);
            format!(
                "{from_s} s: {p95:.0} ms ({} of {} not answered)",
                window.unanswered, window.sent
            )
        })
        .collect();
    target_result(
        "after a region's engines restart, question p95 at most 1200 ms again within 30 s, and stays so",
        descriptions.join("; "),
        faults::has_recovered(&faults.after_restart, MAX_FIRST_TOKEN_MS),
    )
}

fn flood(flood: &FloodOutcome) -> TargetResult {
    let measured = format!(
        "flood: {:.1} of {:.1} per second admitted, limit {:.1}; other team: {:.1} % within target, {:.1} % refused",
        flood.admitted_per_s,
        flood.sent_per_s,
        flood.limit_per_s,
        flood.quiet_within_target_share * 100.0,
        flood.quiet_refused_share * 100.0,
    );
    target_result(
        "no team above its limit by more than 10 %, none below its share",
        measured,
        flood.admitted_per_s <= flood.limit_per_s * MAX_RATIO_TO_TEAM_LIMIT
            && flood.quiet_within_target_share >= MIN_QUIET_TEAM_SHARE,
    )
}
