//! Boundaries of server-sent events.

use anvillift_fleet::{EventPosition, TruncatedStream};
use rstest::rstest;

/// Guards against a stream that stops inside an event being taken for one that ends
/// between two events, for each way to end a line and each split of the bytes.
#[rstest]
#[case::line_feeds("id: 1\ndata: a\n\n", 0)]
#[case::both("id: 1\r\ndata: a\r\n\r\n", 0)]
#[case::carriage_returns("id: 1\rdata: a\r\r", 0)]
#[case::further_empty_line("data: a\n\n\n", 0)]
#[case::comment("data: a\n\n: ping\n\n", 0)]
#[case::nothing("", 0)]
#[case::inside_a_line("data: a\n\ndata: b", 7)]
#[case::after_a_line("data: a\n\ndata: b\n", 8)]
#[case::inside_the_last_line_end("data: a\r\n\r", 10)]
fn partial_event_is_told_from_complete_events(#[case] stream: &str, #[case] partial_bytes: u64) {
    for split in 0..=stream.len() {
        let mut position = EventPosition::default();
        position.advance(&stream.as_bytes()[..split]);
        position.advance(&stream.as_bytes()[split..]);
        assert_eq!(position.partial_bytes(), partial_bytes, "split at {split}");
    }
}

/// Guards against a boundary that is missed when its bytes arrive one by one.
#[test]
fn boundary_is_found_when_bytes_arrive_one_by_one() {
    let mut position = EventPosition::default();
    for byte in b"data: a\r\n\r\ndata: b\n\n" {
        position.advance(&[*byte]);
    }
    assert_eq!(position.partial_bytes(), 0);
}

/// Guards against a connection that closes before the first event being taken for a
/// whole stream; only a declared end may follow no event at all.
#[rstest]
#[case::closed_at_once("", false, Err(TruncatedStream::WithoutEvents))]
#[case::declared_end_at_once("", true, Ok(()))]
#[case::closed_after_an_event("data: a\n\n", false, Ok(()))]
#[case::closed_inside("data: a\n", false, Err(TruncatedStream::InsideEvent { partial_bytes: 8 }))]
#[case::ended_inside("data: a\n", true, Err(TruncatedStream::InsideEvent { partial_bytes: 8 }))]
fn end_is_accepted_only_between_events(
    #[case] stream: &str,
    #[case] is_end_declared: bool,
    #[case] expected: Result<(), TruncatedStream>,
) {
    let mut position = EventPosition::default();
    position.advance(stream.as_bytes());
    assert_eq!(position.check_end(is_end_declared), expected);
}
