//! Tracks whether requests meet the objectives of their profile, for the burn rate.
//!
//! An [`ObjectiveTracker`] follows a request from its admission to the end of its answer and
//! records once whether it met the objectives. Errors of callers are not recorded. Neither are
//! answers whose caller disconnected before the end.

use std::sync::Arc;

use anvillift_schema::code::Code;
use anvillift_schema::configuration::Profile;
use bytes::Bytes;
use futures_util::StreamExt;

use crate::answer::{Answer, AnswerBody};
use crate::gateway::Gateway;
use crate::headers;
use crate::problem::Refusal;

/// Lowest HTTP status that counts against the objectives; lower ones are errors of the caller.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// Start time of one request, and the profile whose objectives it must meet.
pub(crate) struct ObjectiveTracker {
    gateway: Arc<Gateway>,
    profile: Arc<Profile>,
    started_ms: u64,
}

impl ObjectiveTracker {
    /// Starts to track a request, once its body has been read.
    pub(crate) fn start(gateway: &Arc<Gateway>, profile: &Arc<Profile>) -> Self {
        let (gateway, profile) = (gateway.clone(), profile.clone());
        Self { started_ms: gateway.now_ms(), gateway, profile }
    }

    /// Records a refusal, unless the caller caused it.
    pub(crate) fn record_refusal(&self, refusal: &Refusal) {
        self.record_status(refusal.code.status());
    }

    /// Tracks an answer to its end.
    pub(crate) fn track(self, answer: Answer) -> Answer {
        if !answer.status.is_success() {
            self.record_status(answer.status.as_u16());
            return answer;
        }
        if let AnswerBody::Complete(_) = answer.body {
            let elapsed_ms = self.gateway.now_ms() - self.started_ms;
            self.record(elapsed_ms <= u64::from(self.profile.first_token_target_ms));
        }
        let is_event_stream = answer.is_event_stream();
        let length = headers::text(&answer.headers, "content-length");
        let expected_bytes = length.and_then(|text| text.parse().ok());
        answer.map_stream(|body| {
            let mut timing = StreamTiming::new(self, is_event_stream, expected_bytes);
            let items = body.map(Some).chain(futures_util::stream::once(async { None }));
            Box::pin(items.filter_map(move |item| {
                timing.record_chunk(item.as_ref());
                std::future::ready(item)
            }))
        })
    }

    /// Records an unsuccessful answer, unless the caller caused it.
    fn record_status(&self, status: u16) {
        if status >= MIN_SERVER_ERROR_STATUS {
            self.record(false);
        }
    }

    fn record(&self, is_met: bool) {
        self.gateway.burn.record(&self.profile.name, self.gateway.now_ms(), is_met);
    }
}

/// Arrival times of the chunks of a streamed answer.
struct StreamTiming {
    tracker: Option<ObjectiveTracker>,
    /// Whether chunks are tokens, with an objective for the gap between them.
    is_event_stream: bool,
    /// Declared length of the body. The server does not poll the stream again once it is reached,
    /// so the end is recognized by the length.
    expected_bytes: Option<u64>,
    bytes: u64,
    chunks: u64,
    first_ms: u64,
    last_ms: u64,
}

impl Drop for StreamTiming {
    /// Records a failure if the answer was not complete by its deadline.
    fn drop(&mut self) {
        let Some(tracker) = &self.tracker else { return };
        if tracker.gateway.now_ms() - tracker.started_ms >= tracker.profile.deadline_ms {
            tracker.record(false);
        }
    }
}

impl StreamTiming {
    fn new(tracker: ObjectiveTracker, is_event_stream: bool, expected_bytes: Option<u64>) -> Self {
        let tracker = Some(tracker);
        Self {
            tracker,
            is_event_stream,
            expected_bytes,
            bytes: 0,
            chunks: 0,
            first_ms: 0,
            last_ms: 0,
        }
    }

    /// Records the arrival of the next chunk; `None` is the end of the stream.
    fn record_chunk(&mut self, item: Option<&Result<Bytes, Code>>) {
        let Some(tracker) = &self.tracker else { return };
        let is_met = match item {
            Some(Ok(bytes)) => {
                self.last_ms = tracker.gateway.now_ms();
                if self.chunks == 0 {
                    self.first_ms = self.last_ms;
                }
                self.chunks += 1;
                self.bytes += bytes.len() as u64;
                if self.expected_bytes != Some(self.bytes) {
                    return;
                }
                self.meets_objectives(tracker)
            }
            Some(Err(_)) => false,
            None => self.meets_objectives(tracker),
        };
        tracker.record(is_met);
        self.tracker = None;
    }

    fn meets_objectives(&self, tracker: &ObjectiveTracker) -> bool {
        let first_ms = self.first_ms.saturating_sub(tracker.started_ms);
        let gaps = self.chunks.saturating_sub(1);
        let gap_limit_ms = gaps * u64::from(tracker.profile.between_tokens_target_ms);
        let is_first_chunk_on_time = first_ms <= u64::from(tracker.profile.first_token_target_ms);
        is_first_chunk_on_time
            && (!self.is_event_stream || self.last_ms - self.first_ms <= gap_limit_ms)
    }
}
