//! Tests of counting requests in flight at a worker.

use anvillift_fleet::{InFlight, InFlightTable, Prompt};
use anvillift_schema::name::Name;

fn prompt() -> Prompt {
    Prompt { input_tokens: 17_000, output_tokens: 120, ..Prompt::default() }
}

#[test]
fn prompt_tokens_count_until_the_answer_begins() {
    let worker = Name::from("a");
    let mut table = InFlightTable::default();
    let mut in_flight_request = table.begin(&worker, &prompt());
    assert_eq!(table.in_flight_at("a"), InFlight { requests: 1, unprocessed_tokens: 17_000 });
    table.prompt_processed(&mut in_flight_request);
    assert_eq!(table.in_flight_at("a"), InFlight { requests: 1, unprocessed_tokens: 0 });
    table.end(in_flight_request);
    assert_eq!(table.in_flight_at("a"), InFlight::default());
}

/// Guards against a leak in the counts: at a peak many callers disconnect before
/// their answers begin, and workers reject requests. The prompt tokens of these
/// requests must not count indefinitely.
#[test]
fn a_request_that_ends_before_its_answer_is_subtracted_in_full() {
    let worker = Name::from("a");
    let mut table = InFlightTable::default();
    let mut running = table.begin(&worker, &prompt());
    table.prompt_processed(&mut running);
    for _ in 0..40 {
        let abandoned = table.begin(&worker, &prompt());
        table.end(abandoned);
    }
    assert_eq!(table.in_flight_at("a"), InFlight { requests: 1, unprocessed_tokens: 0 });
    table.end(running);
}
