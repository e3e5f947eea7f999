//! State of one stream: flow-control credit, and the channel of received data.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use anvillift_schema::code::Code;
use anvillift_schema::link::{AnswerHead, LinkClass};
use bytes::Bytes;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// An item that the reader of a link passes to a [`crate::BodyReceiver`].
pub(crate) enum InboundItem {
    Data(Bytes),
    End,
    Failed(Code),
}

/// State of a stream, shared by the reader of the link and by the sender and the receiver.
pub(crate) struct StreamState {
    pub(crate) id: u64,
    pub(crate) class: LinkClass,
    send_credit_bytes: Mutex<u64>,
    credit_added: Notify,
    receive_credit_bytes: Mutex<u64>,
    inbound: mpsc::UnboundedSender<InboundItem>,
    answer: Mutex<Option<oneshot::Sender<Result<AnswerHead, Code>>>>,
    /// Set when the writer takes the first frame; before that, nothing was sent.
    pub(crate) write_started: Arc<AtomicBool>,
    /// Set when the last frame of the body to send is queued.
    pub(crate) sent_end: AtomicBool,
    /// Set when the last frame of the body to receive has arrived.
    pub(crate) received_end: AtomicBool,
    /// Cancelled when either side resets the stream or the link is lost.
    pub(crate) failed: CancellationToken,
}

impl StreamState {
    pub(crate) fn new(
        id: u64,
        class: LinkClass,
        send_credit_bytes: u64,
        receive_credit_bytes: u64,
        answer: Option<oneshot::Sender<Result<AnswerHead, Code>>>,
    ) -> (Self, mpsc::UnboundedReceiver<InboundItem>) {
        let (inbound, receiver) = mpsc::unbounded_channel();
        let state = Self {
            id,
            class,
            send_credit_bytes: Mutex::new(send_credit_bytes),
            credit_added: Notify::new(),
            receive_credit_bytes: Mutex::new(receive_credit_bytes),
            inbound,
            answer: Mutex::new(answer),
            write_started: Arc::default(),
            sent_end: AtomicBool::new(false),
            received_end: AtomicBool::new(false),
            failed: CancellationToken::new(),
        };
        (state, receiver)
    }

    /// Waits for send credit and takes up to `wanted_bytes` of it. Returns `None` when the
    /// stream fails.
    pub(crate) async fn take_credit(&self, wanted_bytes: u64) -> Option<u64> {
        loop {
            let added = self.credit_added.notified();
            {
                let mut credit = self.send_credit_bytes.lock().expect("lock");
                let taken = wanted_bytes.min(*credit);
                if taken > 0 {
                    *credit -= taken;
                    return Some(taken);
                }
            }
            tokio::select! {
                () = added => {}
                () = self.failed.cancelled() => return None,
            }
        }
    }

    pub(crate) fn add_credit(&self, bytes: u64) {
        let mut credit = self.send_credit_bytes.lock().expect("lock");
        *credit = credit.saturating_add(bytes);
        drop(credit);
        self.credit_added.notify_one();
    }

    /// Accepts `bytes` more from the peer. The caller sends the peer a credit frame for them.
    pub(crate) fn grant(&self, bytes: u64) {
        *self.receive_credit_bytes.lock().expect("lock") += bytes;
    }

    /// Passes received data to the [`crate::BodyReceiver`]. Returns false, without passing it
    /// on, if the peer exceeded its credit.
    pub(crate) fn receive_data(&self, payload: Bytes, end: bool) -> bool {
        {
            let mut credit = self.receive_credit_bytes.lock().expect("lock");
            let Some(remaining) = credit.checked_sub(payload.len() as u64) else { return false };
            *credit = remaining;
        }
        if !payload.is_empty() {
            let _ = self.inbound.send(InboundItem::Data(payload));
        }
        if end {
            self.received_end.store(true, Ordering::Release);
            let _ = self.inbound.send(InboundItem::End);
        }
        true
    }

    pub(crate) fn receive_answer(&self, head: AnswerHead) {
        if let Some(answer) = self.answer.lock().expect("lock").take() {
            let _ = answer.send(Ok(head));
        }
    }

    /// Ends both directions with a code.
    pub(crate) fn fail(&self, code: Code) {
        if let Some(answer) = self.answer.lock().expect("lock").take() {
            let _ = answer.send(Err(code));
        }
        if !self.received_end.load(Ordering::Acquire) {
            let _ = self.inbound.send(InboundItem::Failed(code));
        }
        self.failed.cancel();
    }
}
