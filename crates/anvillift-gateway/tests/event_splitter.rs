//! Events come out whole however the bytes are cut.

use anvillift_gateway::forward::event_splitter::EventSplitter;
use bytes::Bytes;
use proptest::prelude::*;

const TEXT: &str = "data: one\n\n: a comment\n\ndata: two\ndata: lines\r\n\r\nid: 7\ndata:three\n\n\
    event: x\n\ndata: [DONE]\n\n";

proptest! {
    #[test]
    fn any_cut_gives_the_same_events(mut cuts in proptest::collection::vec(0..TEXT.len(), 0..12)) {
        cuts.extend([0, TEXT.len()]);
        cuts.sort_unstable();
        let mut events = EventSplitter::default();
        let mut out = Vec::new();
        for pair in cuts.windows(2) {
            let given = events.feed(Bytes::from_static(&TEXT.as_bytes()[pair[0]..pair[1]]));
            out.extend_from_slice(&given.expect("short events"));
            prop_assert!(out.is_empty() || out.ends_with(b"\n\n") || out.ends_with(b"\r\n\r\n"));
        }
        prop_assert_eq!(out, TEXT.as_bytes());
        prop_assert_eq!(events.data_events(), 4);
        prop_assert!(events.is_done());
    }

    #[test]
    fn any_bytes_are_passed_or_kept(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let mut events = EventSplitter::default();
        let given = events.feed(Bytes::from(bytes.clone())).expect("short");
        prop_assert!(bytes.starts_with(&given));
    }
}

#[test]
fn an_endless_event_is_refused() {
    let mut events = EventSplitter::default();
    let chunk = Bytes::from(vec![b'x'; 64 * 1024]);
    let refused = (0..8).any(|_| events.feed(chunk.clone()).is_err());
    assert!(refused);
}
