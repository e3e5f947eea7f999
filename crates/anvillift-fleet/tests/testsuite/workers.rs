//! The table of workers.

use anvillift_fleet::WorkerTable;
use anvillift_schema::fleet::{FleetWorker, FleetWorkerState};
use anvillift_schema::name::Name;

const NOW_MS: u64 = 1_000_000;

fn report(id: &str, born_ms: u64, sequence: u64) -> FleetWorker {
    FleetWorker {
        id: Name::from(id),
        born_ms,
        sequence,
        service: Name::from("plans"),
        address: "10.1.0.9:80".to_owned(),
        data_centre: Name::from("north-a"),
        slots: 8,
        state: FleetWorkerState::Ready,
        cold_ms: 0,
        remaining_ms: 0,
    }
}

fn is_ready(table: &WorkerTable, id: &str) -> bool {
    table.ready("plans").any(|entry| entry.report.id.as_str() == id)
}

#[test]
fn a_late_report_changes_nothing() {
    let mut table = WorkerTable::default();
    let draining = FleetWorker { state: FleetWorkerState::Draining, ..report("a", 1, 5) };
    assert!(table.merge(NOW_MS, draining));
    assert!(!table.merge(NOW_MS, report("a", 1, 4)));
    assert!(!table.merge(NOW_MS, report("a", 1, 6)), "a worker that drains does not return");
    assert!(!is_ready(&table, "a"));
}

#[test]
fn a_worker_that_left_returns_only_by_a_new_start() {
    let mut table = WorkerTable::default();
    table.merge(NOW_MS, report("a", 1, 5));
    table.merge(NOW_MS, FleetWorker { state: FleetWorkerState::Left, ..report("a", 1, 6) });
    table.merge(NOW_MS, report("a", 1, 7));
    assert!(!is_ready(&table, "a"));
    assert!(table.merge(NOW_MS, report("a", 2, 1)));
    assert!(is_ready(&table, "a"));
}

/// A report that a cut had held up arrives after another worker has the address.
#[test]
fn an_address_belongs_to_the_worker_that_started_last() {
    let mut table = WorkerTable::default();
    table.merge(NOW_MS, report("old", 1, 5));
    table.merge(NOW_MS, report("new", 2, 1));
    assert!(!table.merge(NOW_MS, report("old", 1, 9)));
    assert!(!is_ready(&table, "old"));
    assert!(is_ready(&table, "new"));
}

/// The same at a host that has only just learned of the second worker.
#[test]
fn an_address_is_not_given_to_a_worker_that_started_earlier() {
    let mut table = WorkerTable::default();
    table.merge(NOW_MS, report("new", 2, 1));
    assert!(!table.merge(NOW_MS, report("old", 1, 9)));
    assert!(!is_ready(&table, "old"));
    assert!(is_ready(&table, "new"));
}

#[test]
fn a_silent_worker_is_ready_again_when_it_is_heard() {
    let mut table = WorkerTable::default();
    table.merge(NOW_MS, report("a", 1, 5));
    assert!(table.expire(NOW_MS + 500, 1_000).is_empty());
    assert_eq!(table.expire(NOW_MS + 1_500, 1_000).len(), 1);
    assert!(!is_ready(&table, "a"));
    assert!(table.merge(NOW_MS + 1_600, report("a", 1, 6)));
    assert!(is_ready(&table, "a"));
}

/// Seen on tricura-caves scale-1: after an evacuation the workers were cold,
/// and got their usual share until their next reports said so.
#[test]
fn workers_count_as_cold_after_an_evacuation_until_they_say_otherwise() {
    let mut table = WorkerTable::default();
    table.merge(NOW_MS, report("a", 1, 5));
    let cold =
        |table: &WorkerTable, now_ms| table.get("a").is_some_and(|a| a.cold_until_ms > now_ms);
    assert!(!cold(&table, NOW_MS));
    table.doubt_data_centre(NOW_MS, "north-a");
    assert!(cold(&table, NOW_MS));
    table.merge(NOW_MS + 100, report("a", 1, 6));
    assert!(cold(&table, NOW_MS + 100), "this report may have been on its way");
    assert!(table.merge(NOW_MS + 1_300, report("a", 1, 7)));
    assert!(!cold(&table, NOW_MS + 1_300));
}

#[test]
fn a_report_that_says_cold_settles_the_doubt() {
    let mut table = WorkerTable::default();
    table.merge(NOW_MS, report("a", 1, 5));
    table.doubt(NOW_MS, "a");
    assert!(table.merge(NOW_MS, FleetWorker { cold_ms: 2_000, ..report("a", 1, 6) }));
    let cold_until_ms = table.get("a").map(|entry| entry.cold_until_ms);
    assert_eq!(cold_until_ms, Some(NOW_MS + 2_000));
    table.merge(NOW_MS + 2_100, report("a", 1, 7));
    let cold_until_ms = table.get("a").map(|entry| entry.cold_until_ms);
    assert_eq!(cold_until_ms, Some(NOW_MS + 2_100));
}

/// Seen on tricura-caves, mix seed 926523552962: a region lost power; hosts that
/// started again with the workers were told of these as they had been before.
#[test]
fn a_worker_that_missed_a_report_is_told_to_be_cold() {
    let mut table = WorkerTable::default();
    table.merge(NOW_MS, report("a", 1, 5));
    let told_cold_ms =
        |now_ms| table.get("a").map(|entry| entry.as_told(now_ms, 1_200).cold_ms).unwrap_or(0);
    assert_eq!(told_cold_ms(NOW_MS + 1_300), 0);
    assert!(told_cold_ms(NOW_MS + 2_500) > 0);
}

/// The pattern: a fleet runs for days and its workers are replaced every hour.
#[test]
fn workers_that_are_gone_are_forgotten_and_those_that_serve_are_not() {
    let mut table = WorkerTable::default();
    table.merge(NOW_MS, FleetWorker { address: "10.1.0.8:80".to_owned(), ..report("old", 1, 5) });
    table.merge(NOW_MS, report("stays", 1, 5));
    let left = FleetWorker { state: FleetWorkerState::Left, ..report("old", 1, 6) };
    table.merge(NOW_MS + 1_000, FleetWorker { address: "10.1.0.8:80".to_owned(), ..left });
    table.forget_gone(NOW_MS + 60_000);
    assert!(table.get("old").is_some(), "late reports may still come");
    table.forget_gone(NOW_MS + 3_600_000);
    assert!(table.get("old").is_none());
    assert!(is_ready(&table, "stays"));
}
