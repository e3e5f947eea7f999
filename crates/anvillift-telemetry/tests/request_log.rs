//! Tests of the report on a day's requests from log lines.

use anvillift_telemetry::{RequestLogAggregator, RequestLogReport};

const ATTEMPT: &str = r#"  1.5530 escuintla-a-11 {"time":"2026-01-26T04:33:38.415Z","level":"info","event":2705,"message":"attempt","chosen":"local","id":"a1","outcome":"rejected","route":"plans","to":"i-1","waited_ms":"64"}"#;
const GIVEN_UP: &str = r#"{"time":"2026-01-26T04:33:38.420Z","level":"info","event":2707,"message":"given up: No worker","code":"1304","id":"a1","origin":"caller","route":"plans","status":"503"}"#;
const FORWARDED_GIVEN_UP: &str = r#"{"time":"2026-01-26T04:33:38.421Z","level":"info","event":2707,"message":"given up: No worker","code":1304,"id":"a2","origin":"host","route":"plans","status":503}"#;
const LINK_UP: &str = r#"{"time":"2026-01-26T04:33:38.500Z","level":"info","event":2101,"message":"link up","peer":"c"}"#;

fn answer_ended(second: u64, outcome: &str, first_ms: u64) -> String {
    format!(
        r#"{{"time":"2026-01-26T04:33:{second}.100Z","level":"info","event":2708,"message":"answer {outcome}","age_ms":"900","first_ms":"{first_ms}","from":"i-1","id":"b","parts":"9","pause_ms":"70","route":"plans","status":"200"}}"#
    )
}

fn report(lines: &[String]) -> RequestLogReport {
    let mut aggregator = RequestLogAggregator::default();
    lines.iter().for_each(|line| aggregator.add(line));
    aggregator.report()
}

fn sample_report() -> RequestLogReport {
    let mut lines: Vec<String> = [ATTEMPT, GIVEN_UP, FORWARDED_GIVEN_UP, LINK_UP, "not JSON", ""]
        .map(str::to_owned)
        .to_vec();
    lines.extend((1..=100).map(|first_ms| answer_ended(40, "complete", first_ms)));
    lines.push(answer_ended(41, "caller_left", 3_000));
    report(&lines)
}

#[test]
fn requests_are_counted_by_second_route_and_worker() {
    let report = sample_report();
    assert_eq!((report.lines, report.other_lines), (104, 2));
    let seconds: Vec<(u64, u64, u64, u64)> = report
        .seconds
        .iter()
        .map(|(second, counts)| (*second, counts.complete, counts.broken, counts.given_up))
        .collect();
    assert_eq!(seconds, [(0, 0, 0, 1), (2, 100, 0, 0), (3, 0, 1, 0)]);
    let plans = &report.routes["plans"];
    assert_eq!(plans.answers["complete"], 100);
    assert_eq!(
        plans.given_up[&1304], 1,
        "a request from another host is counted by that host alone"
    );
    assert_eq!((plans.first.p50_ms, plans.pause.p99_ms), (51, 70));
    let worker = &report.workers["i-1"];
    assert_eq!((worker.attempts, worker.outcomes["rejected"], worker.chosen["local"]), (1, 1, 1));
}

#[test]
fn report_is_rendered_as_text_and_as_a_plot() {
    let report = sample_report();
    let text = report.to_string();
    assert!(text.contains("plans") && text.contains("1304 1") && text.contains("i-1"), "{text}");
    let svg = report.to_svg().expect("a plot");
    assert!(svg.starts_with("<svg") && svg.contains("given up"));
}

#[test]
fn report_without_lines_is_empty() {
    let empty = report(&[]);
    assert_eq!(empty, RequestLogReport::default());
    empty.to_svg().expect("an empty plot");
}
