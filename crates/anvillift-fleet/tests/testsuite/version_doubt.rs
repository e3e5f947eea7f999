//! The version of a worker that is said to have crashed.

use anvillift_fleet::{CrashReporters, WorkerStart, WorkerTable};
use anvillift_schema::fleet::{FleetWorker, FleetWorkerState};
use anvillift_schema::name::Name;

fn report(born_ms: u64, sequence: u64) -> FleetWorker {
    FleetWorker {
        id: Name::from("i-1"),
        born_ms,
        sequence,
        service: Name::from("chat"),
        address: "10.1.0.9:80".to_owned(),
        data_centre: Name::from("north-a"),
        slots: 8,
        state: FleetWorkerState::Ready,
        cold_ms: 0,
        remaining_ms: 0,
        version: Some(Name::from("v1")),
    }
}

fn start(born_ms: u64) -> WorkerStart {
    WorkerStart { id: Name::from("i-1"), born_ms }
}

fn is_doubted(table: &WorkerTable, now_ms: u64) -> bool {
    table.get("i-1").expect("a worker").is_version_doubted(now_ms)
}

/// Guards against a doubt that never ends, that a late report of the crashed start ends, or that
/// concerns a later start; cores have to tell hosts of its end.
#[test]
fn a_doubt_ends_with_the_next_start_or_with_reports_of_the_same() {
    let mut table = WorkerTable::default();
    table.merge(0, report(1, 5));
    assert!(!table.doubt_version(0, &start(2)), "another start");
    assert!(table.doubt_version(0, &start(1)));
    assert!(!table.doubt_version(10, &start(1)), "no news");
    assert!(!table.merge(100, report(1, 6)), "it may have been sent before the crash");
    assert!(is_doubted(&table, 100));
    assert!(table.merge(1_300, report(1, 7)), "the worker has not crashed");
    assert!(!is_doubted(&table, 1_300));
    assert!(table.doubt_version(2_000, &start(1)));
    assert!(table.merge(2_500, report(3, 1)), "it has started again");
    assert!(!is_doubted(&table, 2_500));
    assert!(!table.doubt_version(2_600, &start(1)), "a late word of the earlier start");
    assert!(table.doubt_version(3_000, &start(3)));
    assert!(is_doubted(&table, 8_999));
    assert!(!is_doubted(&table, 9_000), "bounded");
}

/// Guards against a host that is cut off from the workers, and makes all hosts doubt all of them.
#[test]
fn many_crashes_of_one_host_need_another_witness() {
    let [first, second] = ["a", "b"].map(Name::from);
    let workers: Vec<Name> = (0..4).map(|number| Name::from(format!("i-{number}"))).collect();
    let mut reporters = CrashReporters::default();
    assert!(reporters.record(0, &first, &workers[0]));
    assert!(reporters.record(0, &first, &workers[0]), "told again");
    assert!(reporters.record(100, &first, &workers[1]));
    assert!(!reporters.record(200, &first, &workers[2]));
    assert!(!reporters.record(300, &first, &workers[3]));
    assert!(reporters.record(400, &second, &workers[2]), "seen by another host too");
    assert!(reporters.record(500, &first, &workers[2]));
    assert!(reporters.record(2_600, &first, &workers[3]), "the others are long ago");
}
