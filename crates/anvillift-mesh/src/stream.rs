//! The handles of both ends of a stream.
//!
//! The host that opens a stream gets a [`ForwardedAnswer`]; its peer gets a
//! [`BodyReceiver`] for the request and an [`AnswerSender`]. If all handles of
//! an end are dropped before both bodies are complete, the stream is reset.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use anvillift_schema::code::Code;
use anvillift_schema::link::{AnswerHead, LinkFrame};
use bytes::Bytes;
use tokio::sync::mpsc;

use crate::link::Link;
use crate::stream_state::{InboundItem, StreamState};

/// Largest payload of one data frame, in bytes.
const MAX_PAYLOAD_BYTES: usize = 8 * 1024;

/// Removes a stream from its link when dropped, and resets it if it is not finished.
pub(crate) struct StreamGuard {
    pub(crate) link: Arc<Link>,
    pub(crate) state: Arc<StreamState>,
}

impl StreamGuard {
    fn push(&self, frame: LinkFrame) -> bool {
        self.link.queue.push_stream(self.state.class, self.state.id, frame)
    }

    fn reset(&self, code: Code) {
        if !self.state.failed.is_cancelled() {
            self.push(LinkFrame::Reset { stream: self.state.id, code: code.number() });
            self.state.failed.cancel();
        }
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        let has_sent_end = self.state.sent_end.load(Ordering::Acquire);
        let has_received_end = self.state.received_end.load(Ordering::Acquire);
        if !has_sent_end && !self.state.failed.is_cancelled() {
            self.link.queue.purge(self.state.class, self.state.id);
        }
        if !(has_sent_end && has_received_end) {
            self.reset(Code::Cancelled);
        }
        self.link.remove_stream(self.state.id);
    }
}

/// Sends the request or answer body of a stream.
pub struct BodySender {
    guard: Arc<StreamGuard>,
}

/// The stream was reset or its link was lost, so the body cannot be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamFailed;

impl BodySender {
    pub(crate) fn new(guard: Arc<StreamGuard>) -> Self {
        Self { guard }
    }

    /// Sends bytes as fast as the peer grants credit.
    pub async fn send(&mut self, mut bytes: Bytes) -> Result<(), StreamFailed> {
        let state = &self.guard.state;
        while !bytes.is_empty() {
            let wanted = bytes.len().min(MAX_PAYLOAD_BYTES) as u64;
            let Some(taken) = state.take_credit(wanted).await else { return Err(StreamFailed) };
            let payload = Vec::from(bytes.split_to(taken as usize)).into();
            let frame = LinkFrame::Data { stream: state.id, payload, end: false };
            if state.failed.is_cancelled() || !self.guard.push(frame) {
                return Err(StreamFailed);
            }
        }
        Ok(())
    }

    /// Marks the body as complete. A body without this mark counts as truncated.
    pub fn finish(self) {
        let state = &self.guard.state;
        let end = LinkFrame::Data { stream: state.id, payload: Vec::new().into(), end: true };
        if !state.failed.is_cancelled() && self.guard.push(end) {
            state.sent_end.store(true, Ordering::Release);
        }
    }

    /// Resets the stream with a code; the bytes sent so far stay valid.
    pub fn abort(self, code: Code) {
        self.guard.reset(code);
    }

    /// Waits until the peer resets the stream or the link is lost.
    pub async fn wait_until_failed(&self) {
        self.guard.state.failed.cancelled().await;
    }
}

/// Receives the request or answer body of a stream.
pub struct BodyReceiver {
    guard: Arc<StreamGuard>,
    inbound: mpsc::UnboundedReceiver<InboundItem>,
    consumed_bytes: u64,
    grant_after_bytes: u64,
    is_done: bool,
}

impl BodyReceiver {
    pub(crate) fn new(
        guard: Arc<StreamGuard>,
        inbound: mpsc::UnboundedReceiver<InboundItem>,
        credit_bytes: u64,
    ) -> Self {
        let grant_after_bytes = (credit_bytes / 2).max(1);
        Self { guard, inbound, consumed_bytes: 0, grant_after_bytes, is_done: false }
    }

    /// Returns the next bytes, `None` at the end of a complete body, or the code of a failure.
    pub async fn next(&mut self) -> Option<Result<Bytes, Code>> {
        if self.is_done {
            return None;
        }
        match self.inbound.recv().await {
            Some(InboundItem::Data(bytes)) => {
                self.consume(bytes.len() as u64);
                Some(Ok(bytes))
            }
            Some(InboundItem::End) => {
                self.is_done = true;
                None
            }
            Some(InboundItem::Failed(code)) => {
                self.is_done = true;
                Some(Err(code))
            }
            None => {
                self.is_done = true;
                Some(Err(Code::LinkLost))
            }
        }
    }

    fn consume(&mut self, bytes: u64) {
        self.consumed_bytes += bytes;
        let state = &self.guard.state;
        if self.consumed_bytes < self.grant_after_bytes
            || state.received_end.load(Ordering::Acquire)
        {
            return;
        }
        state.grant(self.consumed_bytes);
        let credit = LinkFrame::Credit { stream: state.id, bytes: self.consumed_bytes };
        self.guard.link.queue.push_credit(credit);
        self.consumed_bytes = 0;
    }
}

/// The answer to a stream that this host opened; dropping it before the end resets the stream.
pub struct ForwardedAnswer {
    /// Status and headers.
    pub head: AnswerHead,
    /// Receiver of the answer body.
    pub body: BodyReceiver,
}

/// Sends the answer to a stream that another host opened.
pub struct AnswerSender {
    guard: Arc<StreamGuard>,
}

impl AnswerSender {
    pub(crate) fn new(guard: Arc<StreamGuard>) -> Self {
        Self { guard }
    }

    /// Sends the head of the answer and returns the sender of its body.
    pub fn answer(self, head: AnswerHead) -> BodySender {
        let stream = self.guard.state.id;
        self.guard.push(LinkFrame::Answer { stream, head });
        BodySender::new(self.guard)
    }

    /// Waits until the peer resets the stream or the link is lost.
    pub async fn wait_until_failed(&self) {
        self.guard.state.failed.cancelled().await;
    }
}
