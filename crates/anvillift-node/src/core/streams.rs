//! Versions of streams on a core host, which entry hosts ask for when a caller takes
//! up a stream that another host began.

use anvillift_fleet::StreamKey;
use anvillift_schema::fleet::{FleetFrame, FleetStreamAnswer, FleetStreamQuery, FleetStreams};
use anvillift_schema::name::Name;

use crate::clock;
use crate::core::Core;

impl Core {
    /// Records the streams that an entry host has begun to relay.
    pub(super) fn on_streams(&self, streams: FleetStreams) {
        let now_ms = clock::now_ms();
        let mut view = self.node.view.borrow_mut();
        for group in streams.groups {
            for stream in group.streams {
                view.streams.record(now_ms, StreamKey(stream), &group.version);
            }
        }
    }

    /// Answers which version began a stream, as far as this host can tell.
    pub(super) fn on_stream_query(&self, from: &Name, query: &FleetStreamQuery) {
        let stream = StreamKey(query.stream);
        let known = self.node.view.borrow().known_version(stream, &query.service);
        let answer = FleetStreamAnswer {
            stream: query.stream,
            evidence: known.as_ref().map(|known| known.evidence),
            version: known.map(|known| known.version),
        };
        if let Some(hub) = self.node.hub() {
            hub.send(from, FleetFrame::StreamKnown(answer));
        }
    }
}
