//! What a link keeps of one stream.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use anvillift_schema::code::Code;
use anvillift_schema::link::{AnswerHead, LinkClass};
use bytes::Bytes;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// What arrives for a stream.
pub(crate) enum Inbound {
    Data(Bytes),
    End,
    Broken(Code),
}

/// State of a stream, shared by the link's reader and the two halves.
pub(crate) struct StreamState {
    pub(crate) id: u64,
    pub(crate) class: LinkClass,
    send_credit_bytes: Mutex<u64>,
    credit_added: Notify,
    receive_credit_bytes: Mutex<u64>,
    inbound: mpsc::UnboundedSender<Inbound>,
    answer: Mutex<Option<oneshot::Sender<Result<AnswerHead, Code>>>>,
    /// Set when the first frame is taken for writing.
    pub(crate) written: Arc<AtomicBool>,
    /// Set when the last frame of the own body is queued.
    pub(crate) sent_end: AtomicBool,
    /// Set when the last frame of the other body has arrived.
    pub(crate) received_end: AtomicBool,
    /// Cancelled when the other side resets the stream or the link breaks.
    pub(crate) broken: CancellationToken,
}

impl StreamState {
    pub(crate) fn new(
        id: u64,
        class: LinkClass,
        send_credit_bytes: u64,
        receive_credit_bytes: u64,
        answer: Option<oneshot::Sender<Result<AnswerHead, Code>>>,
    ) -> (Self, mpsc::UnboundedReceiver<Inbound>) {
        let (inbound, receiver) = mpsc::unbounded_channel();
        let state = Self {
            id,
            class,
            send_credit_bytes: Mutex::new(send_credit_bytes),
            credit_added: Notify::new(),
            receive_credit_bytes: Mutex::new(receive_credit_bytes),
            inbound,
            answer: Mutex::new(answer),
            written: Arc::default(),
            sent_end: AtomicBool::new(false),
            received_end: AtomicBool::new(false),
            broken: CancellationToken::new(),
        };
        (state, receiver)
    }

    /// Takes up to `wanted_bytes` of the credit to send; `None` when the stream is broken.
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
                () = self.broken.cancelled() => return None,
            }
        }
    }

    pub(crate) fn add_credit(&self, bytes: u64) {
        let mut credit = self.send_credit_bytes.lock().expect("lock");
        *credit = credit.saturating_add(bytes);
        drop(credit);
        self.credit_added.notify_one();
    }

    /// Lets the other side send more.
    pub(crate) fn grant(&self, bytes: u64) {
        *self.receive_credit_bytes.lock().expect("lock") += bytes;
    }

    /// Takes data; false when the other side sent more than it was granted.
    pub(crate) fn take_data(&self, payload: Bytes, end: bool) -> bool {
        {
            let mut credit = self.receive_credit_bytes.lock().expect("lock");
            let Some(rest) = credit.checked_sub(payload.len() as u64) else { return false };
            *credit = rest;
        }
        if !payload.is_empty() {
            let _ = self.inbound.send(Inbound::Data(payload));
        }
        if end {
            self.received_end.store(true, Ordering::Release);
            let _ = self.inbound.send(Inbound::End);
        }
        true
    }

    pub(crate) fn take_answer(&self, head: AnswerHead) {
        if let Some(answer) = self.answer.lock().expect("lock").take() {
            let _ = answer.send(Ok(head));
        }
    }

    /// Ends both directions with a code.
    pub(crate) fn break_off(&self, code: Code) {
        if let Some(answer) = self.answer.lock().expect("lock").take() {
            let _ = answer.send(Err(code));
        }
        if !self.received_end.load(Ordering::Acquire) {
            let _ = self.inbound.send(Inbound::Broken(code));
        }
        self.broken.cancel();
    }
}
