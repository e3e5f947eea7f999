//! The frames that are queued for writing to a link.
//!
//! Messages are written first, then frames of control, quick and bulk streams in
//! this order. The streams of one class are served round-robin, one frame each.
//! The number of queued messages is limited; stream frames are limited by the
//! credit that senders take before they push.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use anvillift_schema::link::{LinkClass, LinkFrame};
use tokio::sync::Notify;

/// A frame of a stream, and the flag to set when the writer takes it.
pub(crate) struct StreamFrame {
    pub(crate) frame: LinkFrame,
    pub(crate) write_started: Option<Arc<AtomicBool>>,
}

impl From<LinkFrame> for StreamFrame {
    fn from(frame: LinkFrame) -> Self {
        Self { frame, write_started: None }
    }
}

#[derive(Default)]
struct ClassQueue {
    round_robin: VecDeque<u64>,
    frames: BTreeMap<u64, VecDeque<StreamFrame>>,
}

impl ClassQueue {
    fn push(&mut self, stream_id: u64, frame: StreamFrame) {
        let queue = self.frames.entry(stream_id).or_insert_with(|| {
            self.round_robin.push_back(stream_id);
            VecDeque::new()
        });
        queue.push_back(frame);
    }

    fn pop(&mut self) -> Option<StreamFrame> {
        let stream_id = self.round_robin.pop_front()?;
        let queue = self.frames.get_mut(&stream_id)?;
        let frame = queue.pop_front();
        if queue.is_empty() {
            self.frames.remove(&stream_id);
        } else {
            self.round_robin.push_back(stream_id);
        }
        frame
    }

    fn purge(&mut self, stream_id: u64) {
        if self.frames.remove(&stream_id).is_some() {
            self.round_robin.retain(|other| *other != stream_id);
        }
    }
}

#[derive(Default)]
struct QueueState {
    closed: bool,
    finishing: bool,
    messages: VecDeque<LinkFrame>,
    control: ClassQueue,
    quick: ClassQueue,
    bulk: ClassQueue,
}

impl QueueState {
    fn class_queue(&mut self, class: LinkClass) -> &mut ClassQueue {
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
        let queues = [&mut self.control, &mut self.quick, &mut self.bulk];
        let next = queues.into_iter().find_map(ClassQueue::pop)?;
        if let Some(write_started) = next.write_started {
            write_started.store(true, Ordering::Release);
        }
        Some(next.frame)
    }
}

/// Priority queue of the frames of one link.
pub(crate) struct WriteQueue {
    state: Mutex<QueueState>,
    pushed: Notify,
    max_messages: usize,
}

impl WriteQueue {
    pub(crate) fn new(max_messages: usize) -> Self {
        Self { state: Mutex::default(), pushed: Notify::new(), max_messages }
    }

    /// Queues a message. Returns false if the queue is full or closed.
    pub(crate) fn push_message(&self, frame: LinkFrame) -> bool {
        let mut state = self.state.lock().expect("lock");
        if state.closed || state.messages.len() >= self.max_messages {
            return false;
        }
        state.messages.push_back(frame);
        drop(state);
        self.pushed.notify_one();
        true
    }

    /// Queues a credit frame, even if the limit of messages is reached: without the credit its
    /// stream would stall. Each stream has at most one credit in flight.
    pub(crate) fn push_credit(&self, frame: LinkFrame) {
        let mut state = self.state.lock().expect("lock");
        if !state.closed {
            state.messages.push_back(frame);
        }
        drop(state);
        self.pushed.notify_one();
    }

    /// Queues a frame of a stream. Returns false if the link is closed.
    pub(crate) fn push_stream(
        &self,
        class: LinkClass,
        stream_id: u64,
        frame: impl Into<StreamFrame>,
    ) -> bool {
        let mut state = self.state.lock().expect("lock");
        if state.closed {
            return false;
        }
        state.class_queue(class).push(stream_id, frame.into());
        drop(state);
        self.pushed.notify_one();
        true
    }

    /// Drops the queued frames of a stream.
    pub(crate) fn purge(&self, class: LinkClass, stream_id: u64) {
        self.state.lock().expect("lock").class_queue(class).purge(stream_id);
    }

    /// Takes the next frame, if one is queued.
    pub(crate) fn pop(&self) -> Option<LinkFrame> {
        self.state.lock().expect("lock").pop()
    }

    /// Waits until a frame is pushed or the queue is finished or closed. It may return although
    /// the queue is empty.
    pub(crate) async fn wait_for_push(&self) {
        self.pushed.notified().await;
    }

    /// Lets the link end once all queued frames are written.
    pub(crate) fn finish(&self) {
        self.state.lock().expect("lock").finishing = true;
        self.pushed.notify_one();
    }

    /// Whether the link ends as soon as the queue is empty.
    pub(crate) fn is_finishing(&self) -> bool {
        self.state.lock().expect("lock").finishing
    }

    /// Drops all queued frames and rejects new ones.
    pub(crate) fn close(&self) {
        let closed = QueueState { closed: true, ..QueueState::default() };
        *self.state.lock().expect("lock") = closed;
        self.pushed.notify_one();
    }
}
