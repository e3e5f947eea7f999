//! Tests of requests at a host that has just started.

use anvillift_fleet::choose::Candidate;
use anvillift_fleet::start_wait;
use anvillift_fleet::start_wait::StartState;

const STATE: StartState = StartState { uptime_ms: 100, caller_timeout_ms: 4_000, waiting: 0 };

/// After a loss of power at all hosts callers keep sending, and the configuration
/// arrives 0.7 s after the hosts have restarted. Requests that arrive shortly
/// before it wait and are served. Earlier ones are refused early enough for a retry:
/// if they waited, they would be late and would take the slots of later requests.
#[test]
fn requests_shortly_before_the_configuration_are_not_refused() {
    const CONFIGURATION_MS: u64 = 700;
    const MAX_USEFUL_WAIT_MS: u64 = 300;
    for arrived_ms in 0..CONFIGURATION_MS {
        let wait_ms = start_wait::wait_ms(&StartState { uptime_ms: arrived_ms, ..STATE });
        let is_early = arrived_ms + MAX_USEFUL_WAIT_MS < CONFIGURATION_MS;
        assert_eq!(
            arrived_ms + wait_ms < CONFIGURATION_MS,
            is_early,
            "request that arrived at {arrived_ms} ms"
        );
    }
}

#[test]
fn a_host_that_stays_without_configuration_refuses_at_once() {
    assert_eq!(start_wait::wait_ms(&StartState { uptime_ms: 5_000, ..STATE }), 0);
}

#[test]
fn most_of_the_time_of_a_caller_is_left_for_the_answer() {
    assert_eq!(start_wait::wait_ms(&StartState { caller_timeout_ms: 800, ..STATE }), 200);
    assert!(start_wait::wait_ms(&StartState { caller_timeout_ms: u64::MAX, ..STATE }) <= 300);
}

#[test]
fn the_number_of_waiting_requests_is_bounded() {
    assert_eq!(start_wait::wait_ms(&StartState { waiting: 400, ..STATE }), 0);
}

/// A hundred requests wait when the first worker of a region becomes known. It gets
/// this host's share of its slots, and the other requests wait for the next worker.
#[test]
fn waiting_requests_are_not_all_sent_to_the_first_worker() {
    let mut first = Candidate { slots: 12, ..Candidate::default() };
    let mut sent = 0;
    while sent < 100 && start_wait::has_free_slot(&[first.clone()], 3) {
        first.in_flight.requests += 1;
        sent += 1;
    }
    assert_eq!(sent, 4);
    let second = Candidate { slots: 12, ..Candidate::default() };
    assert!(start_wait::has_free_slot(&[first, second], 3));
    assert!(!start_wait::has_free_slot(&[], 3));
}
