//! Evaluation of targets, and the text, JSON and plot of a comparison.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use anvillift_bench::compare::faults::{self, Window};
use anvillift_bench::compare::measures::{self, Spread};
use anvillift_bench::compare::{Comparison, plot, report, targets};
use anvillift_bench::load::experiment_file;
use anvillift_bench::load::tally::{AnswerRecord, AnswerStatus};
use anvillift_bench::trial::outcome::{EngineTotals, Outcome};
use anvillift_routing::policy::Policy;
use rstest::rstest;

const TARGET_US: u64 = 1_200_000;

fn outcome(first_ms: u64, is_away: bool, computed_tokens: u64) -> Outcome {
    let mut outcome = Outcome { duration_s: 10, ..Outcome::default() };
    let record = AnswerRecord {
        status: AnswerStatus::Complete,
        code: None,
        first_token_us: first_ms * 1000,
        end_us: first_ms * 1000,
        token_gaps_us: vec![30_000; 4],
        is_away,
    };
    for class in ["question", "plan"] {
        let tally = outcome.tally.classes.entry(class.into()).or_default();
        (0..50).for_each(|_| tally.add(&record, TARGET_US));
    }
    outcome.totals = EngineTotals { attempts: 100, computed_tokens, cached_tokens: 0 };
    outcome
}

fn comparison(anvillift: Outcome, baseline: Outcome) -> Comparison {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let experiment = experiment_file::read(&examples.join("zacapa-load.ini")).unwrap();
    let outcomes: BTreeMap<String, Vec<Outcome>> = Policy::ALL
        .iter()
        .map(|policy| {
            let outcome = if *policy == Policy::Anvillift { &anvillift } else { &baseline };
            (policy.to_string(), vec![outcome.clone(); 3])
        })
        .collect();
    Comparison { experiment, outcomes, took_s: 1, ..Comparison::default() }
}

fn results(comparison: &Comparison) -> Vec<Option<bool>> {
    targets::evaluate(comparison).into_iter().map(|result| result.met).collect()
}

#[test]
fn a_better_policy_meets_every_target() {
    let comparison = comparison(outcome(200, false, 1_000), outcome(900, true, 9_000));
    assert_eq!(results(&comparison), [Some(true); 6]);
}

#[test]
fn a_policy_equal_to_the_baselines_misses_the_relative_targets() {
    let same = outcome(900, true, 9_000);
    let comparison = comparison(same.clone(), same);
    let expected = [true, true, false, false, false, false].map(Some);
    assert_eq!(results(&comparison), expected);
    assert!(report::text(&comparison).contains("MISSED: question p99 at most half"));
}

#[rstest]
#[case(&[900.0, 900.0, 900.0], true)]
#[case(&[5000.0, 5000.0, 900.0], true)]
#[case(&[900.0, 5000.0, 900.0, 900.0, 900.0, 900.0, 900.0], true)]
#[case(&[900.0, 900.0, 900.0, 900.0, 900.0, 900.0, 5000.0], false)]
fn a_region_has_recovered_when_all_windows_after_the_limit_meet_the_target(
    #[case] p95_ms: &[f64],
    #[case] recovered: bool,
) {
    let windows: Vec<Window> = p95_ms
        .iter()
        .zip((0..).step_by(5))
        .map(|(first_token_p95_ms, from_s)| Window {
            from_s,
            first_token_p95_ms: *first_token_p95_ms,
            unanswered: 0,
            sent: 10,
        })
        .collect();
    assert_eq!(faults::has_recovered(&windows, 1200.0), recovered);
}

#[test]
fn a_spread_has_median_minimum_and_maximum() {
    let spread = Spread::from_values(vec![3.0, 1.0, 2.0]).unwrap();
    assert_eq!((spread.median, spread.min, spread.max), (2.0, 1.0, 3.0));
    assert_eq!(Spread::from_values(Vec::new()), None);
}

#[test]
fn json_and_plot_contain_every_policy() {
    let comparison = comparison(outcome(200, false, 1_000), outcome(900, true, 9_000));
    let json = report::json(&comparison);
    assert_eq!(json["policies"].as_array().unwrap().len(), Policy::ALL.len());
    assert_eq!(json["policies"][0]["measures"].as_array().unwrap().len(), measures::ALL.len());
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("plot.svg");
    plot::draw(&comparison, &path).unwrap();
    let svg = fs::read_to_string(&path).unwrap();
    for policy in Policy::ALL {
        assert!(svg.contains(&policy.to_string()), "{policy} is not in the plot");
    }
}
