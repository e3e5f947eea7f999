//! The frames that wait to be written to a link.
//!
//! Messages go first, then quick streams, then bulk ones; the streams of one
//! class take turns of one frame. Messages are bounded by count, and streams
//! by their credit, which the senders take before they push.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use anvillift_schema::link::{LinkClass, LinkFrame};
use tokio::sync::Notify;

/// A frame of a stream, and the flag to set when it is taken for writing.
pub(crate) struct StreamFrame {
    pub(crate) frame: LinkFrame,
    pub(crate) written: Option<Arc<AtomicBool>>,
}

impl From<LinkFrame> for StreamFrame {
    fn from(frame: LinkFrame) -> Self {
        Self { frame, written: None }
    }
}

#[derive(Default)]
struct Lane {
    turns: VecDeque<u64>,
    frames: BTreeMap<u64, VecDeque<StreamFrame>>,
}

impl Lane {
    fn push(&mut self, stream: u64, frame: StreamFrame) {
        let queue = self.frames.entry(stream).or_insert_with(|| {
            self.turns.push_back(stream);
            VecDeque::new()
        });
        queue.push_back(frame);
    }

    fn pop(&mut self) -> Option<StreamFrame> {
        let stream = self.turns.pop_front()?;
        let queue = self.frames.get_mut(&stream)?;
        let frame = queue.pop_front();
        if queue.is_empty() {
            self.frames.remove(&stream);
        } else {
            self.turns.push_back(stream);
        }
        frame
    }

    fn purge(&mut self, stream: u64) {
        if self.frames.remove(&stream).is_some() {
            self.turns.retain(|other| *other != stream);
        }
    }
}

#[derive(Default)]
struct Waiting {
    closed: bool,
    finishing: bool,
    messages: VecDeque<LinkFrame>,
    control: Lane,
    quick: Lane,
    bulk: Lane,
}

impl Waiting {
    fn lane(&mut self, class: LinkClass) -> &mut Lane {
        match class {
            LinkClass::Control => &mut self.control,
            LinkClass::Quick => &mut self.quick,
            LinkClass::Bulk => &mut self.bulk,
        }
    }

    fn pop(&mut self) -> Option<LinkFrame> {
        if let Some(frame) = self.messages.pop_front() {
            return Some(frame);
        }
        let lanes = [&mut self.control, &mut self.quick, &mut self.bulk];
        let next = lanes.into_iter().find_map(Lane::pop)?;
        if let Some(written) = next.written {
            written.store(true, Ordering::Release);
        }
        Some(next.frame)
    }
}

/// Frames of one link that wait to be written.
pub(crate) struct WriteQueue {
    waiting: Mutex<Waiting>,
    pushed: Notify,
    max_messages: usize,
}

impl WriteQueue {
    pub(crate) fn new(max_messages: usize) -> Self {
        Self { waiting: Mutex::default(), pushed: Notify::new(), max_messages }
    }

    /// Queues a message; false when the queue is full or closed.
    pub(crate) fn push_message(&self, frame: LinkFrame) -> bool {
        let mut waiting = self.waiting.lock().expect("lock");
        if waiting.closed || waiting.messages.len() >= self.max_messages {
            return false;
        }
        waiting.messages.push_back(frame);
        drop(waiting);
        self.pushed.notify_one();
        true
    }

    /// Queues a credit; it is never dropped, and there is at most one a stream under way.
    pub(crate) fn push_credit(&self, frame: LinkFrame) {
        let mut waiting = self.waiting.lock().expect("lock");
        if !waiting.closed {
            waiting.messages.push_back(frame);
        }
        drop(waiting);
        self.pushed.notify_one();
    }

    /// Queues a frame of a stream; false when the link is closed.
    pub(crate) fn push_stream(
        &self,
        class: LinkClass,
        stream: u64,
        frame: impl Into<StreamFrame>,
    ) -> bool {
        let mut waiting = self.waiting.lock().expect("lock");
        if waiting.closed {
            return false;
        }
        waiting.lane(class).push(stream, frame.into());
        drop(waiting);
        self.pushed.notify_one();
        true
    }

    /// Drops the waiting frames of a stream.
    pub(crate) fn purge(&self, class: LinkClass, stream: u64) {
        self.waiting.lock().expect("lock").lane(class).purge(stream);
    }

    /// The next frame, if one waits.
    pub(crate) fn pop(&self) -> Option<LinkFrame> {
        self.waiting.lock().expect("lock").pop()
    }

    /// Waits until a frame may have been pushed.
    pub(crate) async fn pushed(&self) {
        self.pushed.notified().await;
    }

    /// Ends the link once everything that waits is written.
    pub(crate) fn finish(&self) {
        self.waiting.lock().expect("lock").finishing = true;
        self.pushed.notify_one();
    }

    /// Whether the link ends when nothing waits.
    pub(crate) fn is_finishing(&self) -> bool {
        self.waiting.lock().expect("lock").finishing
    }

    /// Drops everything and takes nothing more.
    pub(crate) fn close(&self) {
        let closed = Waiting { closed: true, ..Waiting::default() };
        *self.waiting.lock().expect("lock") = closed;
        self.pushed.notify_one();
    }
}
