//! The two ends of a stream.
//!
//! The opener gets a [`ForwardedAnswer`]; the other side gets a
//! [`BodyReceiver`] for the request and an [`AnswerSender`]. An end that is
//! dropped before both bodies are whole resets the stream.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use anvillift_schema::code::Code;
use anvillift_schema::link::{AnswerHead, LinkFrame};
use bytes::Bytes;
use tokio::sync::mpsc;

use crate::link::Link;
use crate::stream_state::{Inbound, StreamState};

/// Largest payload of one data frame, in bytes.
const MAX_PAYLOAD_BYTES: usize = 8 * 1024;

/// Keeps a stream in its link's table, and resets it when dropped unfinished.
pub(crate) struct StreamGuard {
    pub(crate) link: Arc<Link>,
    pub(crate) state: Arc<StreamState>,
}

impl StreamGuard {
    fn push(&self, frame: LinkFrame) -> bool {
        self.link.queue.push_stream(self.state.class, self.state.id, frame)
    }

    fn reset(&self, code: Code) {
        if !self.state.broken.is_cancelled() {
            self.push(LinkFrame::Reset { stream: self.state.id, code: code.number() });
            self.state.broken.cancel();
        }
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        let sent = self.state.sent_end.load(Ordering::Acquire);
        let received = self.state.received_end.load(Ordering::Acquire);
        if !sent && !self.state.broken.is_cancelled() {
            self.link.queue.purge(self.state.class, self.state.id);
        }
        if !(sent && received) {
            self.reset(Code::Cancelled);
        }
        self.link.remove_stream(self.state.id);
    }
}

/// Sends one body of a stream.
pub struct BodySender {
    guard: Arc<StreamGuard>,
}

/// The stream was reset or its link broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamBroken;

impl BodySender {
    pub(crate) fn new(guard: Arc<StreamGuard>) -> Self {
        Self { guard }
    }

    /// Sends bytes as the other side grants credit.
    pub async fn send(&mut self, mut bytes: Bytes) -> Result<(), StreamBroken> {
        let state = &self.guard.state;
        while !bytes.is_empty() {
            let wanted = bytes.len().min(MAX_PAYLOAD_BYTES) as u64;
            let Some(taken) = state.take_credit(wanted).await else { return Err(StreamBroken) };
            let payload = Vec::from(bytes.split_to(taken as usize)).into();
            let frame = LinkFrame::Data { stream: state.id, payload, end: false };
            if state.broken.is_cancelled() || !self.guard.push(frame) {
                return Err(StreamBroken);
            }
        }
        Ok(())
    }

    /// Ends the body; the other side then knows that it is whole.
    pub fn finish(self) {
        let state = &self.guard.state;
        let end = LinkFrame::Data { stream: state.id, payload: Vec::new().into(), end: true };
        if !state.broken.is_cancelled() && self.guard.push(end) {
            state.sent_end.store(true, Ordering::Release);
        }
    }

    /// Breaks the body off after what was sent.
    pub fn abort(self, code: Code) {
        self.guard.reset(code);
    }

    /// Waits until the other side has left.
    pub async fn broken(&self) {
        self.guard.state.broken.cancelled().await;
    }
}

/// Receives one body of a stream.
pub struct BodyReceiver {
    guard: Arc<StreamGuard>,
    inbound: mpsc::UnboundedReceiver<Inbound>,
    consumed_bytes: u64,
    grant_after_bytes: u64,
    done: bool,
}

impl BodyReceiver {
    pub(crate) fn new(
        guard: Arc<StreamGuard>,
        inbound: mpsc::UnboundedReceiver<Inbound>,
        credit_bytes: u64,
    ) -> Self {
        let grant_after_bytes = (credit_bytes / 2).max(1);
        Self { guard, inbound, consumed_bytes: 0, grant_after_bytes, done: false }
    }

    /// The next bytes; `None` after a whole body, a code when it broke off.
    pub async fn next(&mut self) -> Option<Result<Bytes, Code>> {
        if self.done {
            return None;
        }
        match self.inbound.recv().await {
            Some(Inbound::Data(bytes)) => {
                self.consume(bytes.len() as u64);
                Some(Ok(bytes))
            }
            Some(Inbound::End) => {
                self.done = true;
                None
            }
            Some(Inbound::Broken(code)) => {
                self.done = true;
                Some(Err(code))
            }
            None => {
                self.done = true;
                Some(Err(Code::LinkBroke))
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

/// The answer to a stream that this host opened.
pub struct ForwardedAnswer {
    /// Head of the answer.
    pub head: AnswerHead,
    /// Body of the answer.
    pub body: BodyReceiver,
}

/// Takes the answer to a stream that another host opened.
pub struct AnswerSender {
    guard: Arc<StreamGuard>,
}

impl AnswerSender {
    pub(crate) fn new(guard: Arc<StreamGuard>) -> Self {
        Self { guard }
    }

    /// Sends the head and gives the sender of the body.
    pub fn answer(self, head: AnswerHead) -> BodySender {
        let stream = self.guard.state.id;
        self.guard.push(LinkFrame::Answer { stream, head });
        BodySender::new(self.guard)
    }

    /// Waits until the other side has left.
    pub async fn broken(&self) {
        self.guard.state.broken.cancelled().await;
    }
}
