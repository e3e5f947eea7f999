//! When a quarantined request is tried, and how a quarantine is released.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_fleet::{
    ConfirmedCrash, ControlMachine, CrashEvidence, Outcome, QUARANTINE_MS, Quarantine,
    QuarantineEntry, QuarantineTrials, RequestFeatures, TrialFacts, WorkerStart,
};
use anvillift_schema::fleet::{
    FleetCommand, FleetControl, FleetQuarantine, GrantTrial, ReleaseQuarantine,
};
use anvillift_schema::name::Name;
use anvillift_schema::payload::Payload;
use rstest::rstest;
use serde::Serialize;

const PART: u64 = 7;
const CRASH_MS: u64 = 10_000;
/// Time at which a worker has reported long enough after the crash.
const BACK_MS: u64 = 11_500;

fn part() -> BTreeSet<u64> {
    BTreeSet::from([PART])
}

fn prompt(parts: &[u64]) -> RequestFeatures {
    RequestFeatures { parts: parts.iter().copied().collect(), ..RequestFeatures::default() }
}

/// What is known once a worker is back after a crash.
fn back() -> TrialFacts {
    TrialFacts {
        granted: 0,
        last_crash_ms: Some(CRASH_MS),
        last_lone_crash_ms: None,
        last_report_ms: Some(BACK_MS),
    }
}

/// Guards against trials that are sent while all workers are down, or to none, and against more
/// of them than the bound on harmful requests allows.
#[rstest]
#[case::workers_are_back(back(), Some(1))]
#[case::second(TrialFacts { granted: 1, ..back() }, Some(2))]
#[case::third(TrialFacts { granted: 2, ..back() }, Some(3))]
#[case::fourth(TrialFacts { granted: 3, ..back() }, None)]
#[case::crash_is_not_known(TrialFacts { last_crash_ms: None, ..back() }, Some(1))]
#[case::late_report_from_before(TrialFacts { last_report_ms: Some(CRASH_MS + 900), ..back() }, None)]
#[case::no_worker(TrialFacts { last_report_ms: None, ..back() }, None)]
#[case::no_worker_was_known(
    TrialFacts { last_report_ms: None, last_crash_ms: None, ..back() },
    None
)]
fn trials_wait_for_workers_and_are_bounded(#[case] facts: TrialFacts, #[case] number: Option<u64>) {
    assert_eq!(QuarantineTrials::default().next_number(BACK_MS, &part(), &facts), number);
}

/// Guards against trials of several requests at one time, of which one crashes the worker of the
/// other, and against a trial that is lost with its host and lets none follow.
#[test]
fn one_trial_runs_at_a_time() {
    let other = BTreeSet::from([8]);
    let mut trials = QuarantineTrials::default();
    trials.record_granted(BACK_MS, &part());
    assert_eq!(trials.next_number(BACK_MS + 9_999, &other, &back()), None);
    assert_eq!(trials.next_number(BACK_MS + 10_000, &other, &back()), Some(1), "it was lost");
    trials.record_ended(&other);
    assert_eq!(trials.next_number(BACK_MS + 10, &other, &back()), None, "another one has ended");
    trials.record_ended(&part());
    assert_eq!(trials.next_number(BACK_MS + 10, &other, &back()), Some(1));
    trials.record_granted(BACK_MS + 20, &part());
    trials.end_crashed(|_| Some(BACK_MS + 10));
    assert_eq!(trials.next_number(BACK_MS + 30, &other, &back()), None);
    trials.end_crashed(|_| Some(BACK_MS + 30));
    assert_eq!(trials.next_number(BACK_MS + 30, &other, &back()), Some(1));
}

/// Guards against a harmful request that is tried again after its trial crashed a worker, and
/// against a sound one that is given up because its worker crashed together with others.
#[test]
fn a_trial_that_crashed_its_worker_alone_is_the_last() {
    let crash = |number: u64, at_ms, parts: &[u64]| ConfirmedCrash {
        worker: WorkerStart { id: Name::from(format!("i-{number}")), born_ms: 1 },
        at_ms,
        is_given_up: false,
        requests: BTreeSet::from([prompt(parts)]),
    };
    let facts = |evidence: &CrashEvidence| TrialFacts {
        granted: 1,
        last_crash_ms: evidence.last_crash_ms(&part()),
        last_lone_crash_ms: evidence.last_lone_crash_ms(&part()),
        last_report_ms: Some(60_000),
    };
    let mut evidence = CrashEvidence::default();
    for number in 0..4 {
        evidence.record(CRASH_MS, crash(number, CRASH_MS, &[PART]));
    }
    let mut trials = QuarantineTrials::default();
    trials.record_granted(BACK_MS, &part());
    evidence.record(13_000, crash(5, 13_000, &[PART, 9]));
    evidence.record(13_000, crash(6, 13_400, &[10]));
    assert_eq!(facts(&evidence).last_crash_ms, Some(13_000));
    assert_eq!(trials.next_number(30_000, &part(), &facts(&evidence)), Some(2), "not alone");
    trials.record_granted(30_000, &part());
    evidence.record(31_000, crash(7, 31_000, &[PART, 11]));
    assert_eq!(trials.next_number(50_000, &part(), &facts(&evidence)), None, "alone");
}

/// Guards against counts that differ between replicas or begin anew with another leader, and
/// against a harmful request that gets further trials though none was served.
#[test]
fn the_control_log_counts_trials_and_releases() {
    let apply = |machine: &mut ControlMachine, index, command: &FleetCommand| {
        let mut bytes = Vec::new();
        ciborium::into_writer(command, &mut bytes).expect("an encoded command");
        machine.apply(index, &bytes)
    };
    let grant = |number| FleetCommand::GrantTrial(GrantTrial { parts: vec![PART], number });
    let release =
        |finding| FleetCommand::ReleaseQuarantine(ReleaseQuarantine { parts: vec![PART], finding });
    let mut machine = ControlMachine::default();
    assert_eq!(apply(&mut machine, 1, &grant(1)), Outcome::Granted);
    assert_eq!(apply(&mut machine, 2, &grant(1)), Outcome::Unchanged, "of another leader");
    assert_eq!(apply(&mut machine, 3, &grant(2)), Outcome::Granted);
    assert_eq!(machine.state().index, 0, "entry hosts need not fetch the state");
    let mut restored = ControlMachine::default();
    assert!(restored.restore(&machine.snapshot()));
    assert_eq!(restored.trial_record(&[PART]).granted, 2);
    assert_eq!(apply(&mut restored, 4, &release(0)), Outcome::Changed);
    assert_eq!(apply(&mut restored, 5, &release(0)), Outcome::Unchanged, "told twice");
    assert_eq!(restored.state().index, 4);
    let record = restored.trial_record(&[PART]);
    assert_eq!((record.granted, record.released), (0, 1));
    for number in 0..1_000 {
        let parts = vec![100 + number];
        apply(&mut restored, 6, &FleetCommand::GrantTrial(GrantTrial { parts, number: 1 }));
    }
    assert_eq!(restored.state().trials.len(), 256, "bounded");
}

/// Guards against a released quarantine that comes back from a host which has not heard of the
/// release, and against one that can't be found again.
#[test]
fn a_released_entry_comes_back_only_if_it_is_found_again() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.add(0, part(), QUARANTINE_MS));
    let stale: Vec<QuarantineEntry> = quarantine.entries(10).collect();
    let releases = BTreeMap::from([(part(), 1)]);
    assert_eq!(quarantine.set_releases(releases.clone()), [part()]);
    assert_eq!(quarantine.remaining_ms(20, &prompt(&[PART])), None);
    assert!(!quarantine.merge(20, stale[0].clone()));
    assert_eq!(quarantine.remaining_ms(20, &prompt(&[PART])), None);
    assert!(quarantine.add(30, part(), QUARANTINE_MS));
    assert_eq!(quarantine.set_releases(releases), Vec::<BTreeSet<u64>>::new());
    assert_eq!(quarantine.entries(30).map(|entry| entry.finding).collect::<Vec<u64>>(), [1]);
    assert!(quarantine.contains(30, &part()));
}

/// Guards against a trial of a request that a second entry refuses, which may be the harmful one.
#[test]
fn only_requests_that_one_entry_refuses_are_tried() {
    let mut quarantine = Quarantine::default();
    quarantine.add(0, part(), QUARANTINE_MS);
    quarantine.add(0, BTreeSet::from([8]), 1_000);
    assert_eq!(quarantine.only_entry(0, &prompt(&[PART, 9])), Some(&part()));
    assert_eq!(quarantine.only_entry(0, &prompt(&[PART, 8])), None);
    assert_eq!(quarantine.only_entry(0, &prompt(&[9])), None);
    assert_eq!(quarantine.only_entry(1_000, &prompt(&[PART, 8])), Some(&part()), "one has ended");
}

/// Guards against files and states of earlier releases that can't be read.
#[test]
fn records_of_earlier_releases_are_read() {
    #[derive(Serialize)]
    struct EarlierEntry {
        parts: Vec<u64>,
        remaining_ms: u64,
    }
    #[derive(Serialize)]
    struct EarlierControl {
        index: u64,
        version: u64,
        document: Payload,
        evacuated: Vec<String>,
    }
    let mut bytes = Vec::new();
    ciborium::into_writer(&EarlierEntry { parts: vec![PART], remaining_ms: 5 }, &mut bytes)
        .expect("an encoded entry");
    let entry: FleetQuarantine = ciborium::from_reader(bytes.as_slice()).expect("an entry");
    assert_eq!(entry, FleetQuarantine { parts: vec![PART], remaining_ms: 5, finding: 0 });
    let document = Payload::from(vec![1, 2]);
    let control = EarlierControl { index: 3, version: 2, document, evacuated: Vec::new() };
    bytes.clear();
    ciborium::into_writer(&control, &mut bytes).expect("an encoded state");
    let mut machine = ControlMachine::default();
    assert!(machine.restore(&bytes));
    let state: &FleetControl = machine.state();
    assert_eq!((state.index, state.version, state.trials.len()), (3, 2, 0));
}
