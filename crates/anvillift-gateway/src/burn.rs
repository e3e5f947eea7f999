//! Whether requests meet the objectives of their profile.
//!
//! A [`ObjectiveTracker`] follows a request from its admission to the end of its answer
//! and counts it as good or bad once. Faults of callers are not counted, nor
//! answers that a caller left before their end.

use std::sync::Arc;

use anvillift_schema::code::Code;
use anvillift_schema::configuration::Profile;
use bytes::Bytes;
use futures_util::StreamExt;

use crate::answer::{Answer, AnswerBody};
use crate::gateway::Gateway;
use crate::headers;
use crate::problem::Refusal;

/// Least HTTP status that is a fault of this side.
const SERVER_FAULT_STATUS: u16 = 500;

/// Follows one request.
pub(crate) struct ObjectiveTracker {
    gateway: Arc<Gateway>,
    profile: Arc<Profile>,
    started_ms: u64,
}

impl ObjectiveTracker {
    /// Follows a request whose body has been read.
    pub(crate) fn start(gateway: &Arc<Gateway>, profile: &Arc<Profile>) -> Self {
        let (gateway, profile) = (gateway.clone(), profile.clone());
        Self { started_ms: gateway.now_ms(), gateway, profile }
    }

    /// Counts a refusal.
    pub(crate) fn record_refusal(&self, refusal: &Refusal) {
        self.failed(refusal.code.status());
    }

    /// Follows an answer to its end.
    pub(crate) fn track(self, answer: Answer) -> Answer {
        if !answer.status.is_success() {
            self.failed(answer.status.as_u16());
            return answer;
        }
        if let AnswerBody::Complete(_) = answer.body {
            let elapsed_ms = self.gateway.now_ms() - self.started_ms;
            self.ended(elapsed_ms <= u64::from(self.profile.first_token_target_ms));
        }
        let paced = answer.is_event_stream();
        let length = headers::text(&answer.headers, "content-length");
        let expected_bytes = length.and_then(|text| text.parse().ok());
        answer.map_stream(|body| {
            let mut pace = Pace::new(self, paced, expected_bytes);
            let items = body.map(Some).chain(futures_util::stream::once(async { None }));
            Box::pin(items.filter_map(move |item| {
                pace.take(item.as_ref());
                std::future::ready(item)
            }))
        })
    }

    /// Counts an answer that is no success, unless the caller caused it.
    fn failed(&self, status: u16) {
        if status >= SERVER_FAULT_STATUS {
            self.ended(false);
        }
    }

    fn ended(&self, good: bool) {
        self.gateway.burn.record(&self.profile.name, self.gateway.now_ms(), good);
    }
}

/// Times of the pieces of a streamed answer.
struct Pace {
    watch: Option<ObjectiveTracker>,
    /// Whether pieces are tokens, with an objective for the gap between them.
    paced: bool,
    /// Declared length; the body is not asked for its end once it is reached.
    expected_bytes: Option<u64>,
    bytes: u64,
    pieces: u64,
    first_ms: u64,
    last_ms: u64,
}

impl Drop for Pace {
    /// Counts an answer that its deadline cut off.
    fn drop(&mut self) {
        let Some(watch) = &self.watch else { return };
        if watch.gateway.now_ms() - watch.started_ms >= watch.profile.deadline_ms {
            watch.ended(false);
        }
    }
}

impl Pace {
    fn new(watch: ObjectiveTracker, paced: bool, expected_bytes: Option<u64>) -> Self {
        let watch = Some(watch);
        Self { watch, paced, expected_bytes, bytes: 0, pieces: 0, first_ms: 0, last_ms: 0 }
    }

    /// Takes the next piece; `None` is the end.
    fn take(&mut self, item: Option<&Result<Bytes, Code>>) {
        let Some(watch) = &self.watch else { return };
        let good = match item {
            Some(Ok(bytes)) => {
                self.last_ms = watch.gateway.now_ms();
                if self.pieces == 0 {
                    self.first_ms = self.last_ms;
                }
                self.pieces += 1;
                self.bytes += bytes.len() as u64;
                if self.expected_bytes != Some(self.bytes) {
                    return;
                }
                self.met(watch)
            }
            Some(Err(_)) => false,
            None => self.met(watch),
        };
        watch.ended(good);
        self.watch = None;
    }

    fn met(&self, watch: &ObjectiveTracker) -> bool {
        let first_ms = self.first_ms.saturating_sub(watch.started_ms);
        let gaps = self.pieces.saturating_sub(1);
        let gap_limit_ms = gaps * u64::from(watch.profile.between_tokens_target_ms);
        let in_time = first_ms <= u64::from(watch.profile.first_token_target_ms);
        in_time && (!self.paced || self.last_ms - self.first_ms <= gap_limit_ms)
    }
}
