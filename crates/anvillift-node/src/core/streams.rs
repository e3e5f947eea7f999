//! Versions of streams on a core host, which entry hosts ask for when a caller takes
//! up a stream that another host began.

use anvillift_fleet::StreamKey;
use anvillift_fleet::stream_origin::KnownVersion;
use anvillift_schema::fleet::{
    FleetFrame, FleetStreamAnswer, FleetStreamEvidence, FleetStreamQuery, FleetStreams,
};
use anvillift_schema::name::Name;

use crate::clock;
use crate::core::Core;

impl Core {
    /// Records the streams that an entry host has begun to relay, and answers the hosts that have
    /// asked for them in vain.
    pub(super) fn on_streams(&self, streams: FleetStreams) {
        let now_ms = clock::now_ms();
        for group in streams.groups {
            let recorded =
                KnownVersion { version: group.version, evidence: FleetStreamEvidence::Record };
            for stream in group.streams.into_iter().map(StreamKey) {
                self.node.view.borrow_mut().streams.record(now_ms, stream, &recorded.version);
                for host in self.unanswered.borrow_mut().take(now_ms, stream) {
                    self.answer_query(&host, stream, Some(recorded.clone()));
                }
            }
        }
    }

    /// Answers which version began a stream, as far as this host can tell.
    pub(super) fn on_stream_query(&self, from: &Name, query: &FleetStreamQuery) {
        let stream = StreamKey(query.stream);
        let known = self.node.view.borrow().known_version(stream, &query.service);
        let is_recorded =
            known.as_ref().is_some_and(|known| known.evidence == FleetStreamEvidence::Record);
        if !is_recorded {
            self.unanswered.borrow_mut().record(clock::now_ms(), stream, from);
        }
        self.answer_query(from, stream, known);
    }

    fn answer_query(&self, host: &Name, stream: StreamKey, known: Option<KnownVersion>) {
        let answer = FleetStreamAnswer {
            stream: stream.0,
            evidence: known.as_ref().map(|known| known.evidence),
            version: known.map(|known| known.version),
        };
        if let Some(hub) = self.node.hub() {
            hub.send(host, FleetFrame::StreamKnown(answer));
        }
    }
}
