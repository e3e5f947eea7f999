//! How a worker has behaved lately.

use anvillift_fleet::choose::Trouble;
use anvillift_fleet::{WorkerHealth, WorkerHealthSettings};

/// The pattern: one request in seven fails wherever it runs.
#[test]
fn failures_of_the_requests_are_not_the_workers() {
    let mut health = WorkerHealth::default();
    for answer in 0..200 {
        health.answered(answer % 7 == 0);
        assert!(!health.fails_by_itself(), "after answer {answer}");
    }
}

/// The pattern: a worker fails nearly half of its requests while it calls
/// itself ready.
#[test]
fn a_worker_that_fails_by_itself_is_told_apart() {
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
fn a_worker_without_a_sign_of_life_is_silent_until_it_is_heard() {
    let settings = WorkerHealthSettings::default();
    let mut health = WorkerHealth::default();
    health.sent(1_000);
    let late_ms = 1_000 + settings.silent_after_ms + 1;
    assert_eq!(health.trouble(late_ms, &settings), Trouble::Silent);
    health.heard(late_ms);
    assert_eq!(health.trouble(late_ms, &settings), Trouble::None);
}

/// A worker that has been slow is tried again after a while without answers.
#[test]
fn a_slow_pace_is_learned_and_forgotten() {
    let mut health = WorkerHealth::default();
    assert_eq!(health.pace(1_000), 1.0);
    for answer in 0..12 {
        health.paced(1_000 + answer * 100, 4.0);
    }
    let slow = health.pace(2_100);
    assert!(slow > 2.5, "{slow}");
    let later = health.pace(20_000);
    assert!(later < 1.2, "{later}");
}
