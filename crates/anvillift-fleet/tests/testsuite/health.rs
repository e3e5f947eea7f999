//! Tests of the health and relative latency of a worker.

use anvillift_fleet::choose::Degradation;
use anvillift_fleet::{WorkerHealth, WorkerHealthSettings};

/// One request in seven fails at every worker; that is not the fault of the worker.
#[test]
fn failures_caused_by_requests_are_not_held_against_the_worker() {
    let mut health = WorkerHealth::default();
    for answer in 0..200 {
        health.record_answer(answer % 7 == 0);
        assert!(!health.is_failing(), "after answer {answer}");
    }
}

/// A worker fails nearly half of its requests while it reports itself as ready.
#[test]
fn a_worker_that_fails_too_often_is_detected() {
    let mut health = WorkerHealth::default();
    for answer in 0..20 {
        health.record_answer(answer % 7 == 0);
    }
    for answer in 0..12 {
        health.record_answer(answer % 2 == 0);
    }
    assert!(health.is_failing());
}

#[test]
fn a_worker_that_sends_no_bytes_is_silent_until_the_next_byte() {
    let settings = WorkerHealthSettings::default();
    let mut health = WorkerHealth::default();
    health.record_sent(1_000);
    let late_ms = 1_000 + settings.silent_after_ms + 1;
    assert_eq!(health.degradation(late_ms, &settings), Degradation::Silent);
    health.record_bytes(late_ms);
    assert_eq!(health.degradation(late_ms, &settings), Degradation::None);
}

/// A worker that was slow gets requests again after some time without answers.
#[test]
fn high_latency_is_recorded_and_decays() {
    let mut health = WorkerHealth::default();
    assert_eq!(health.relative_latency(1_000), 1.0);
    for answer in 0..12 {
        health.record_latency(1_000 + answer * 100, 4.0);
    }
    let latency_after_slow_answers = health.relative_latency(2_100);
    assert!(latency_after_slow_answers > 2.5, "{latency_after_slow_answers}");
    let latency_later = health.relative_latency(20_000);
    assert!(latency_later < 1.2, "{latency_later}");
}
