//! Tests of the command-line tool against a host that returns prepared answers.

use std::collections::BTreeMap;
use std::fs;
use std::time::{Duration, Instant};

use anvillift_schema::burn::BurnCounters;
use anvillift_schema::code::Code;
use anvillift_schema::configuration::ControlStatus;
use anvillift_schema::consensus::{Voter, VoterSet};
use anvillift_schema::membership::{HostRecord, HostState};
use anvillift_schema::operators::HostStatus;
use anvillift_schema::public::{ChangeAnswer, ChangeStatus, Problem, RegionStatus};
use rstest::rstest;
use serde_json::Value;

use crate::support::fake_host::{Answer, FakeHost};
use crate::support::tool::{self, ToolOutput};

const CHANGE: &str = "[profile quick]\npriority = 3\n";

fn submit(host: &FakeHost, arguments: &[&str]) -> ToolOutput {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("change.ini");
    fs::write(&path, CHANGE).expect("written");
    let mut all = vec!["change", "submit", path.to_str().expect("a path")];
    all.extend(["--expect-revision", "6"]);
    all.extend(arguments);
    tool::run_against(&host.url, "key", &all)
}

fn accepted_answer() -> Answer {
    Answer::json(200, &ChangeAnswer { change_id: "c-1".into(), revision: 7 })
}

fn problem_answer(problem: &Problem) -> Answer {
    Answer::json(problem.status, problem)
}

#[test]
fn change_is_resent_under_the_same_id_after_a_lost_answer() {
    let commit_unknown = problem_answer(&Code::CommitUnknown.problem());
    let host = FakeHost::start(vec![Answer::ConnectionClosed, commit_unknown, accepted_answer()]);
    let run = submit(&host, &[]);
    assert_eq!((run.code, run.stdout.trim()), (0, "accepted: revision 7"), "{run:?}");
    let requests = host.requests();
    assert_eq!(requests.len(), 3);
    assert!(
        requests.iter().all(|request| request.body == requests[0].body),
        "each attempt sends the same change"
    );
    let sent: Value = serde_json::from_str(&requests[0].body).expect("JSON");
    assert_eq!(sent["expected_revision"], 6);
    let id = sent["change_id"].as_str().expect("an id");
    assert_eq!(id.parse::<uuid::Uuid>().expect("a UUID").get_version_num(), 7);
    assert!(run.stderr.contains(&format!("change id: {id}")), "{run:?}");
}

#[test]
fn change_is_resent_only_after_the_retry_delay_of_the_host() {
    let problem = Problem { retry_after_ms: Some(1_500), ..Code::NoLeader.problem() };
    let host = FakeHost::start(vec![problem_answer(&problem), accepted_answer()]);
    let began = Instant::now();
    assert_eq!(submit(&host, &[]).code, 0);
    assert!(began.elapsed() >= Duration::from_millis(1_500), "{:?}", began.elapsed());
}

#[test]
fn change_without_an_answer_prints_the_id_to_retry_with() {
    let host = FakeHost::start(vec![Answer::ConnectionClosed]);
    let run = submit(&host, &["--change-id", "c-1", "--attempts", "2"]);
    assert_eq!(run.code, 20);
    assert_eq!(host.requests().len(), 2);
    assert!(run.stderr.contains("may have been accepted"), "{run:?}");
    assert!(run.stderr.contains("--change-id c-1"), "{run:?}");
}

#[test]
fn conflict_is_not_retried_and_prints_the_current_revision() {
    let problem = Problem { revision: Some(9), ..Code::RevisionConflict.problem() };
    let host = FakeHost::start(vec![Answer::ConnectionClosed, problem_answer(&problem)]);
    let run = submit(&host, &[]);
    assert_eq!(run.code, 16);
    assert_eq!(host.requests().len(), 2, "a conflict is not retried");
    assert!(run.stderr.contains("1601") && run.stderr.contains("current revision is 9"), "{run:?}");
    assert!(!run.stderr.contains("may have been accepted"), "{run:?}");
}

#[rstest]
#[case(Code::UnknownKey, 11)]
#[case(Code::PlaceNotAllowed, 12)]
#[case(Code::Overloaded, 13)]
#[case(Code::UpstreamFailed, 14)]
#[case(Code::ChangeUnknown, 16)]
#[case(Code::Internal, 19)]
fn exit_code_follows_from_the_result_code(#[case] code: Code, #[case] exit: i32) {
    let host = FakeHost::start(vec![problem_answer(&code.problem())]);
    let run = tool::run_against(&host.url, "key", &["--format", "json", "upstreams"]);
    assert_eq!(run.code, exit, "{run:?}");
    let error: Value = serde_json::from_str(&run.stderr).expect("JSON");
    assert_eq!(error["problem"]["code"], code.number());
}

#[test]
fn every_result_code_maps_to_an_exit_code_by_its_hundreds() {
    for code in Code::ALL {
        assert!((10..=19).contains(&(code.number() / 100)), "{code:?}");
    }
}

#[test]
fn change_status_shows_regions_and_silent_hosts() {
    let region = RegionStatus {
        in_force: false,
        applied_hosts: vec!["a-1".into()],
        behind_hosts: Vec::new(),
        silent: BTreeMap::from([("a-2".into(), 4200)]),
    };
    let status = ChangeStatus {
        change_id: "c-1".into(),
        accepted: true,
        revision: 7,
        regions: BTreeMap::from([("north".into(), region)]),
    };
    let host = FakeHost::start(vec![Answer::json(200, &status)]);
    let run = tool::run_against(&host.url, "key", &["change", "status", "c-1"]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.stdout.contains("accepted at revision 7"), "{run:?}");
    assert!(run.stdout.contains("a-2 (4200 ms ago)"), "{run:?}");
    assert_eq!(host.requests()[0].request_line, "GET /v1/operator/changes/c-1");
}

fn event(text: &str) -> String {
    let delta = serde_json::json!({ "choices": [{ "delta": { "content": text } }] });
    format!("data: {delta}\n\n")
}

#[test]
fn complete_stream_is_printed_with_its_route() {
    let body = format!("{}{}data: [DONE]\n\n", event("water "), event("at dawn"));
    let host = FakeHost::start(vec![Answer::Complete { status: 200, body }]);
    let run = tool::run_against(&host.url, "key", &["ask", "answers", "when?"]);
    assert_eq!((run.code, run.stdout.as_str()), (0, "water at dawn\n"), "{run:?}");
    assert!(run.stderr.contains("route: north/a/a-1>e-1"), "{run:?}");
}

#[rstest]
#[case::no_end_marker(Answer::Complete { status: 200, body: event("water ") })]
#[case::truncated_body(Answer::Truncated { body: event("water ") })]
fn truncated_stream_is_an_error(#[case] answer: Answer) {
    let host = FakeHost::start(vec![answer]);
    let run = tool::run_against(&host.url, "key", &["ask", "answers", "when?"]);
    assert_eq!(run.code, 14, "{run:?}");
}

#[test]
fn error_event_is_reported_with_its_result_code() {
    let problem = serde_json::to_string(&Code::UpstreamFailed.problem()).expect("JSON");
    let body = format!("{}event: error\ndata: {problem}\n\ndata: [DONE]\n\n", event("water "));
    let host = FakeHost::start(vec![Answer::Complete { status: 200, body }]);
    let run = tool::run_against(&host.url, "key", &["ask", "answers", "when?"]);
    assert_eq!(run.code, 14, "{run:?}");
    assert!(run.stderr.contains("1402"), "{run:?}");
}

fn host_status(name: &str, url: &str) -> HostStatus {
    let record = HostRecord {
        host: name.into(),
        region: "north".into(),
        data_centre: "a".into(),
        incarnation: 1,
        heartbeat: 1,
        caller_url: url.to_owned(),
        state: HostState::Ready,
        in_flight_requests: 0,
        revision: 7,
        storage_id: None,
    };
    HostStatus { record, heard_age_ms: 10, alive: true }
}

#[test]
fn burn_report_lists_daemons_that_do_not_answer() {
    let counters = BurnCounters { host: "a-1".into(), profiles: BTreeMap::new() };
    let answering = FakeHost::start(vec![Answer::json(200, &counters)]);
    let failing = FakeHost::start(vec![Answer::ConnectionClosed]);
    let hosts = [host_status("a-1", &answering.url), host_status("a-2", &failing.url)];
    let queried = FakeHost::start(vec![Answer::json(200, &hosts)]);
    let folder = tempfile::tempdir().expect("a folder");
    let plot = folder.path().join("burn.svg");
    let arguments = ["--format", "json", "report", "burn", "--svg", plot.to_str().expect("a path")];
    let run = tool::run_against(&queried.url, "key", &arguments);
    assert_eq!(run.code, 0, "{run:?}");
    let report = run.json();
    assert_eq!(report["answered_hosts"], serde_json::json!(["a-1"]));
    assert!(report["missing_hosts"]["a-2"].is_string(), "{report}");
    assert!(fs::read_to_string(plot).expect("a plot").starts_with("<svg"));
}

#[test]
fn new_storage_id_is_read_from_the_replaced_host_itself() {
    let reported = |id: &str, url: &str| {
        let status = host_status("a-1", url);
        let record = HostRecord { storage_id: Some(id.to_owned()), ..status.record };
        Answer::json(200, &[HostStatus { record, ..status }])
    };
    let control = |id: &str| {
        let voter = Voter { host: "a-1".into(), storage_id: id.into() };
        Answer::json(
            200,
            &ControlStatus {
                role: "leader".to_owned(),
                leader: None,
                term: 1,
                commit_index: 1,
                voters: VoterSet { voters: vec![voter], learners: Vec::new() },
                refetching: false,
                failed: false,
            },
        )
    };
    let replaced = FakeHost::start(vec![reported("new-id", "http://unused")]);
    let voter = FakeHost::start(vec![
        control("old-id"),
        reported("old-id", &replaced.url),
        Answer::json(200, &Value::Null),
        control("new-id"),
    ]);
    let run = tool::run_against(&voter.url, "key", &["control", "replace", "a-1"]);
    assert_eq!(run.code, 0, "{run:?}");
    let sent: Value = serde_json::from_str(&voter.requests()[2].body).expect("a replacement");
    assert_eq!(sent["old"]["storage_id"], "old-id");
    assert_eq!(sent["new"]["storage_id"], "new-id");
}

#[test]
fn hosts_are_listed_as_text_and_json() {
    let hosts = [host_status("a-1", "http://127.0.0.1:7400")];
    let host = FakeHost::start(vec![Answer::json(200, &hosts)]);
    let text = tool::run_against(&host.url, "key", &["hosts"]);
    assert!(text.stdout.contains("a-1") && text.stdout.contains("ready"), "{text:?}");
    let json = tool::run_against(&host.url, "key", &["--format", "json", "hosts"]);
    assert_eq!(json.json()[0]["record"]["revision"], 7);
}

#[rstest]
#[case::no_host(&["hosts"], 2)]
#[case::unknown_option(&["--colour", "hosts"], 2)]
#[case::no_revision(&["change", "submit", "x.ini"], 2)]
#[case::help(&["--help"], 0)]
fn exit_code_is_2_for_invalid_arguments_and_0_for_help(
    #[case] arguments: &[&str],
    #[case] exit: i32,
) {
    assert_eq!(tool::run(arguments).code, exit);
}

#[test]
fn day_report_reads_log_files_without_a_host() {
    let folder = tempfile::tempdir().expect("a folder");
    let log = folder.path().join("entry.log");
    let line = r#"{"time":"2026-01-26T04:33:38.415Z","event":2707,"message":"given up","code":"1304","origin":"caller","route":"plans"}"#;
    fs::write(&log, format!("{line}\n")).expect("written");
    let svg = folder.path().join("day.svg");
    let (log, svg) = (log.to_str().expect("a path"), svg.to_str().expect("a path"));
    let run = tool::run(&["--format", "json", "report", "day", "--svg", svg, log]);
    assert_eq!(run.code, 0, "{run:?}");
    let report: Value = serde_json::from_str(&run.stdout).expect("JSON");
    assert_eq!(report["routes"]["plans"]["given_up"]["1304"], 1);
    assert!(fs::read_to_string(svg).expect("a plot").starts_with("<svg"));
}

#[test]
fn day_report_without_readable_files_is_an_error() {
    assert_eq!(tool::run(&["report", "day"]).code, 2);
    let run = tool::run(&["report", "day", "nowhere.log"]);
    assert_eq!(run.code, 1, "{run:?}");
    assert!(run.stderr.contains("nowhere.log"), "{run:?}");
}
