//! Tests of the health and pace of a worker.

use anvillift_fleet::choose::Trouble;
use anvillift_fleet::{WorkerHealth, WorkerHealthSettings};

/// One request in seven fails at every worker; that is not the fault of the worker.
#[test]
fn failures_caused_by_requests_are_not_held_against_the_worker() {
    let mut health = WorkerHealth::default();
    for answer in 0..200 {
        health.answered(answer % 7 == 0);
        assert!(!health.fails_by_itself(), "after answer {answer}");
    }
}

/// A worker fails nearly half of its requests while it reports itself as ready.
#[test]
fn a_worker_that_fails_too_often_is_detected() {
    let mut health = WorkerHealth::default();
    for answer in 0..20 {
        health.answered(answer % 7 == 0);
    }
    for answer in 0..12 {
        health.answered(answer % 2 == 0);
    }
    assert!(health.fails_by_itself());
}

#[test]
fn a_worker_that_sends_no_bytes_is_silent_until_the_next_byte() {
    let settings = WorkerHealthSettings::default();
    let mut health = WorkerHealth::default();
    health.sent(1_000);
    let late_ms = 1_000 + settings.silent_after_ms + 1;
    assert_eq!(health.trouble(late_ms, &settings), Trouble::Silent);
    health.heard(late_ms);
    assert_eq!(health.trouble(late_ms, &settings), Trouble::None);
}

/// A worker that was slow gets requests again after some time without answers.
#[test]
fn a_slow_pace_is_recorded_and_decays() {
    let mut health = WorkerHealth::default();
    assert_eq!(health.pace(1_000), 1.0);
    for answer in 0..12 {
        health.paced(1_000 + answer * 100, 4.0);
    }
    let pace_after_slow_answers = health.pace(2_100);
    assert!(pace_after_slow_answers > 2.5, "{pace_after_slow_answers}");
    let pace_later = health.pace(20_000);
    assert!(pace_later < 1.2, "{pace_later}");
}
