//! How long an answer is waited for.

use anvillift_fleet::Patience;
use anvillift_schema::name::Name;

/// The pattern: a worker runs requests and loses some answers; the callers of
/// those waited until they gave up.
#[test]
fn a_lost_answer_is_not_waited_for_to_the_end() {
    let mut patience = Patience::default();
    let route = Name::from("quick");
    for _ in 0..50 {
        patience.observe(&route, 120);
    }
    assert_eq!(patience.wait_ms("quick", 800), 1_200);
}

/// The pattern: the engines are full and every answer takes seconds; asking
/// again would add to that.
#[test]
fn slow_answers_are_waited_for_longer() {
    let mut patience = Patience::default();
    let route = Name::from("quick");
    for _ in 0..50 {
        patience.observe(&route, 1_500);
    }
    assert!(patience.wait_ms("quick", 800) >= 4_000);
}
