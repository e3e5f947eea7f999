//! The lookups of stream versions that wait for answers of cores.

use std::collections::BTreeMap;

use anvillift_fleet::StreamKey;
use anvillift_fleet::stream_origin::KnownVersion;
use anvillift_schema::fleet::{FleetFrame, FleetStreamQuery};
use anvillift_schema::name::Name;
use tokio::sync::mpsc;

/// The answer of a core to a lookup.
#[derive(Clone, Debug)]
pub(super) struct CoreAnswer {
    pub(super) core: Name,
    pub(super) region: Name,
    /// What the core knows; `None` if it can't tell.
    pub(super) known: Option<KnownVersion>,
}

/// Answers to one lookup, and those to other lookups of the same stream.
pub(super) type Answers = mpsc::UnboundedReceiver<CoreAnswer>;

#[derive(Debug)]
struct WaitingStream {
    query: FleetStreamQuery,
    lookups: Vec<mpsc::UnboundedSender<CoreAnswer>>,
}

/// Running lookups by stream.
#[derive(Debug, Default)]
pub(super) struct StreamLookups {
    by_stream: BTreeMap<StreamKey, WaitingStream>,
}

impl StreamLookups {
    /// Begins a lookup. It ends when the answers are dropped.
    pub(super) fn begin(&mut self, query: FleetStreamQuery) -> Answers {
        let (sender, answers) = mpsc::unbounded_channel();
        let waiting = self
            .by_stream
            .entry(StreamKey(query.stream))
            .or_insert(WaitingStream { query, lookups: Vec::new() });
        waiting.lookups.push(sender);
        answers
    }

    /// Passes the answer of a core on to the lookups of a stream.
    pub(super) fn add_answer(&self, stream: StreamKey, answer: &CoreAnswer) {
        let waiting = self.by_stream.get(&stream);
        for lookup in waiting.into_iter().flat_map(|waiting| &waiting.lookups) {
            // A lookup that has ended needs no answer.
            lookup.send(answer.clone()).ok();
        }
    }

    /// The queries of the running lookups, for a core that may not have got them.
    pub(super) fn queries(&self) -> Vec<FleetFrame> {
        let is_running =
            |waiting: &&WaitingStream| waiting.lookups.iter().any(|lookup| !lookup.is_closed());
        let running = self.by_stream.values().filter(is_running);
        running.map(|waiting| FleetFrame::StreamWanted(waiting.query.clone())).collect()
    }

    /// Removes the lookups that have ended.
    pub(super) fn remove_ended(&mut self) {
        self.by_stream.retain(|_, waiting| {
            waiting.lookups.retain(|lookup| !lookup.is_closed());
            !waiting.lookups.is_empty()
        });
    }
}
