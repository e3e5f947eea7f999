//! The event splitter returns the same events wherever the bytes are cut into chunks.

use anvillift_gateway::forward::event_splitter::EventSplitter;
use bytes::Bytes;
use proptest::prelude::*;

const TEXT: &str = "data: one\n\n: a comment\n\ndata: two\ndata: lines\r\n\r\nid: 7\ndata:three\n\n\
    event: x\n\ndata: [DONE]\n\n";

proptest! {
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(
        mut cuts in proptest::collection::vec(0..TEXT.len(), 0..12),
    ) {
        cuts.extend([0, TEXT.len()]);
        cuts.sort_unstable();
        let mut events = EventSplitter::default();
        let mut out = Vec::new();
        for pair in cuts.windows(2) {
            let complete = events.feed(Bytes::from_static(&TEXT.as_bytes()[pair[0]..pair[1]]));
            out.extend_from_slice(&complete.expect("events below the size limit"));
            prop_assert!(out.is_empty() || out.ends_with(b"\n\n") || out.ends_with(b"\r\n\r\n"));
        }
        prop_assert_eq!(out, TEXT.as_bytes());
        prop_assert_eq!(events.data_events(), 4);
        prop_assert!(events.is_done());
    }

    #[test]
    fn arbitrary_bytes_are_returned_or_buffered(
        bytes in proptest::collection::vec(any::<u8>(), 0..512),
    ) {
        let mut events = EventSplitter::default();
        let complete = events.feed(Bytes::from(bytes.clone())).expect("less than the size limit");
        prop_assert!(bytes.starts_with(&complete));
    }
}

#[test]
fn an_event_above_the_size_limit_is_an_error() {
    let mut events = EventSplitter::default();
    let chunk = Bytes::from(vec![b'x'; 64 * 1024]);
    let is_refused = (0..8).any(|_| events.feed(chunk.clone()).is_err());
    assert!(is_refused);
}
