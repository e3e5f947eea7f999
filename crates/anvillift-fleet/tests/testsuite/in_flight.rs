//! Work that is counted at a worker while a request is under way.

use anvillift_fleet::{InFlight, InFlightTable, Prompt};
use anvillift_schema::name::Name;

fn prompt() -> Prompt {
    Prompt { input_tokens: 17_000, output_tokens: 120, shared_id: 1, shared_tokens: 13_300 }
}

#[test]
fn a_prompt_waits_until_the_answer_begins() {
    let worker = Name::from("a");
    let mut table = InFlightTable::default();
    let mut flight = table.begin(&worker, &prompt());
    assert_eq!(table.at("a"), InFlight { requests: 1, unread_tokens: 17_000 });
    table.read(&mut flight);
    assert_eq!(table.at("a"), InFlight { requests: 1, unread_tokens: 0 });
    table.end(flight);
    assert_eq!(table.at("a"), InFlight::default());
}

/// The pattern: at a peak many callers leave before their answers begin, and
/// workers shed; what none of these has read must not weigh for ever.
#[test]
fn a_request_that_ends_unread_leaves_nothing_behind() {
    let worker = Name::from("a");
    let mut table = InFlightTable::default();
    let mut stays = table.begin(&worker, &prompt());
    table.read(&mut stays);
    for _ in 0..40 {
        let left = table.begin(&worker, &prompt());
        table.end(left);
    }
    assert_eq!(table.at("a"), InFlight { requests: 1, unread_tokens: 0 });
    table.end(stays);
}
