//! Tests of burn rate counts, of merging them, and of the rendered reports.

use std::collections::BTreeMap;

use anvillift_schema::burn::{BurnCounters, RequestCount};
use anvillift_schema::configuration::{Configuration, Profile};
use anvillift_schema::name::Name;
use anvillift_telemetry::{BurnRecorder, BurnReport};
use proptest::prelude::*;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const START_MS: u64 = 1000 * HOUR_MS;

fn configuration(objective_milli: u32) -> Configuration {
    let name = Name::from("quick");
    let profile = Profile { name: name.clone(), objective_milli, ..Profile::default() };
    Configuration { profiles: BTreeMap::from([(name, profile)]), ..Configuration::default() }
}

fn record(recorder: &BurnRecorder, now_ms: u64, good: u64, bad: u64) {
    for _ in 0..good {
        recorder.record(&"quick".into(), now_ms, true);
    }
    for _ in 0..bad {
        recorder.record(&"quick".into(), now_ms, false);
    }
}

fn counters(recorder: &BurnRecorder, host: &str, now_ms: u64) -> BurnCounters {
    recorder.counters(&host.into(), now_ms, &configuration(950))
}

fn report(recorder: &BurnRecorder, now_ms: u64) -> BurnReport {
    BurnReport::merge(&[counters(recorder, "a-1", now_ms)], BTreeMap::new())
}

#[test]
fn budget_is_spent_by_bad_requests() {
    let recorder = BurnRecorder::default();
    record(&recorder, START_MS, 975, 25);
    let report = report(&recorder, START_MS);
    let profile = &report.profiles["quick"];
    assert_eq!(profile.count, RequestCount { good: 975, bad: 25 });
    assert_eq!(profile.budget_left_milli, 500, "2.5 % of the allowed 5 % are spent");
    assert!(!report.is_firing());
}

#[test]
fn fast_burn_fires_the_first_alert_and_recovery_ends_it() {
    let recorder = BurnRecorder::default();
    record(&recorder, START_MS, 10, 90);
    let during = report(&recorder, START_MS + MINUTE_MS);
    assert!(during.profiles["quick"].alerts[0].firing, "{during}");
    let after_ms = START_MS + 10 * MINUTE_MS;
    record(&recorder, after_ms, 20, 0);
    let after = report(&recorder, after_ms);
    let pair = &after.profiles["quick"].alerts[0];
    assert!(pair.long_burn_milli > pair.threshold_milli, "the long window still burns");
    assert!(!pair.firing, "the short window has recovered");
}

#[test]
fn slow_burn_fires_only_the_alert_of_the_longest_windows() {
    let recorder = BurnRecorder::default();
    for hour in 0..72 {
        record(&recorder, START_MS + hour * HOUR_MS, 90, 10);
    }
    let report = report(&recorder, START_MS + 71 * HOUR_MS);
    let firing: Vec<bool> =
        report.profiles["quick"].alerts.iter().map(|alert| alert.firing).collect();
    assert_eq!(firing, [false, false, true]);
    assert_eq!(report.profiles["quick"].budget_left_milli, -1000);
}

#[test]
fn counts_older_than_the_budget_period_are_not_reported() {
    let recorder = BurnRecorder::default();
    record(&recorder, START_MS, 0, 50);
    let report = report(&recorder, START_MS + 73 * HOUR_MS);
    assert_eq!(report.profiles["quick"].count, RequestCount::default());
    assert_eq!(report.profiles["quick"].budget_left_milli, 1000);
    assert!(report.profiles["quick"].series_burn_milli.is_empty());
}

#[test]
fn number_of_stored_buckets_is_bounded() {
    let recorder = BurnRecorder::default();
    for half_hour in 0..10_000 {
        record(&recorder, START_MS + half_hour * 30 * MINUTE_MS, 1, 0);
    }
    // A window that starts before the first bucket includes every stored bucket.
    let counters = counters(&recorder, "a-1", START_MS);
    assert!(counters.profiles["quick"].windows.iter().all(|window| window.count.good <= 361));
}

#[test]
fn counts_of_profiles_removed_from_the_configuration_are_dropped() {
    let recorder = BurnRecorder::default();
    record(&recorder, START_MS, 1, 1);
    recorder.counters(&"a-1".into(), START_MS, &Configuration::default());
    let counters = counters(&recorder, "a-1", START_MS);
    let windows = &counters.profiles["quick"].windows;
    assert!(windows.iter().all(|window| window.count == RequestCount::default()));
}

#[test]
fn report_lists_hosts_without_counts() {
    let recorder = BurnRecorder::default();
    record(&recorder, START_MS, 1, 1);
    let missing = BTreeMap::from([(Name::from("b-1"), "timed out".to_owned())]);
    let report = BurnReport::merge(&[counters(&recorder, "a-1", START_MS)], missing);
    let text = report.to_string();
    assert!(text.contains("answered: a-1"), "{text}");
    assert!(text.contains("missing:  b-1 (timed out)"), "{text}");
    assert!(text.contains("profile quick: objective 95.0 %, 1 good, 1 bad"), "{text}");
    assert!(text.contains("ALERT"), "{text}");
}

#[test]
fn plot_is_an_svg_document_that_names_the_profile() {
    let recorder = BurnRecorder::default();
    record(&recorder, START_MS, 5, 5);
    let svg = report(&recorder, START_MS + HOUR_MS).to_svg().expect("a plot");
    assert!(svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>"));
    assert!(svg.contains("quick"));
    BurnReport::default().to_svg().expect("an empty plot");
}

proptest! {
    #[test]
    fn merged_counts_equal_the_counts_of_a_single_daemon(
        requests in prop::collection::vec((0..4u64, any::<bool>(), any::<bool>()), 1..64),
    ) {
        let (left, right, both) = <(BurnRecorder, BurnRecorder, BurnRecorder)>::default();
        let mut now_ms = START_MS;
        for (elapsed_h, is_good, is_left) in requests {
            now_ms += elapsed_h * HOUR_MS;
            let recorder = if is_left { &left } else { &right };
            recorder.record(&"quick".into(), now_ms, is_good);
            both.record(&"quick".into(), now_ms, is_good);
        }
        let separate = [counters(&left, "a-1", now_ms), counters(&right, "a-2", now_ms)];
        let merged = BurnReport::merge(&separate, BTreeMap::new());
        prop_assert_eq!(merged.profiles, report(&both, now_ms).profiles);
    }
}
