//! Tests of counting requests in flight at a worker.

use anvillift_fleet::{InFlight, InFlightTable, Prompt};
use anvillift_schema::name::Name;

fn prompt() -> Prompt {
    Prompt { input_tokens: 17_000, output_tokens: 120, shared_id: 1, shared_tokens: 13_300 }
}

#[test]
fn prompt_tokens_count_until_the_answer_begins() {
    let worker = Name::from("a");
    let mut table = InFlightTable::default();
    let mut flight = table.begin(&worker, &prompt());
    assert_eq!(table.at("a"), InFlight { requests: 1, unread_tokens: 17_000 });
    table.read(&mut flight);
    assert_eq!(table.at("a"), InFlight { requests: 1, unread_tokens: 0 });
    table.end(flight);
    assert_eq!(table.at("a"), InFlight::default());
}

/// Guards against a leak in the counts: at a peak many callers disconnect before
/// their answers begin, and workers reject requests. The prompt tokens of these
/// requests must not count indefinitely.
#[test]
fn a_request_that_ends_before_its_answer_is_subtracted_in_full() {
    let worker = Name::from("a");
    let mut table = InFlightTable::default();
    let mut running = table.begin(&worker, &prompt());
    table.read(&mut running);
    for _ in 0..40 {
        let abandoned = table.begin(&worker, &prompt());
        table.end(abandoned);
    }
    assert_eq!(table.at("a"), InFlight { requests: 1, unread_tokens: 0 });
    table.end(running);
}
