//! Tests of the timeout after which another worker is tried.

use anvillift_fleet::AnswerTimeouts;
use anvillift_schema::name::Name;

/// Guards against waiting for a lost answer until the deadline: a worker runs
/// requests and loses some of the answers, and their callers waited until they gave
/// up.
#[test]
fn a_lost_answer_times_out_before_the_deadline() {
    let mut timeouts = AnswerTimeouts::default();
    let route = Name::from("quick");
    for _ in 0..50 {
        timeouts.record(&route, 120);
    }
    assert_eq!(timeouts.timeout_ms("quick", 800), 1_200);
}

/// Guards against retries that add load: the engines are full and every answer takes seconds.
#[test]
fn the_timeout_grows_with_the_recent_latency() {
    let mut timeouts = AnswerTimeouts::default();
    let route = Name::from("quick");
    for _ in 0..50 {
        timeouts.record(&route, 1_500);
    }
    assert!(timeouts.timeout_ms("quick", 800) >= 4_000);
}
