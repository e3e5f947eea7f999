//! Streams of a link: those that this host opens, and those of its peer.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use anvillift_schema::code::Code;
use anvillift_schema::link::{ForwardHead, LinkClass, LinkFrame};
use bytes::Bytes;
use tokio::sync::oneshot;

use crate::error::OpenError;
use crate::handlers::{IncomingStream, MeshHandlers};
use crate::link::Link;
use crate::stream::{AnswerSender, BodyReceiver, BodySender, ForwardedAnswer, StreamGuard};
use crate::stream_state::StreamState;
use crate::write_queue::StreamFrame;

impl Link {
    /// Opens a stream, sends the body in a separate task and waits for the head of the answer.
    pub(crate) async fn open(
        self: &Arc<Self>,
        class: LinkClass,
        head: ForwardHead,
        body: Bytes,
    ) -> Result<ForwardedAnswer, OpenError> {
        let id = self.next_stream_id.fetch_add(2, Ordering::Relaxed);
        let credit_bytes = self.settings.stream_credit_bytes;
        let (answer_tx, answer_rx) = oneshot::channel();
        let (state, inbound) = StreamState::new(id, class, 0, credit_bytes, Some(answer_tx));
        let state = Arc::new(state);
        self.streams.lock().expect("lock").insert(id, state.clone());
        let guard = Arc::new(StreamGuard { link: self.clone(), state: state.clone() });
        let frame = LinkFrame::Open { stream: id, class, head, credit_bytes };
        let frame = StreamFrame { frame, write_started: Some(state.write_started.clone()) };
        let failed = |code| OpenError {
            host: self.peer.clone(),
            code,
            certainly_not_sent: !state.write_started.load(Ordering::Acquire),
        };
        if !self.queue.push_stream(class, id, frame) {
            return Err(failed(Code::LinkLost));
        }
        tokio::spawn(send_body(BodySender::new(guard.clone()), body));
        match answer_rx.await {
            Ok(Ok(head)) => {
                Ok(ForwardedAnswer { head, body: BodyReceiver::new(guard, inbound, credit_bytes) })
            }
            Ok(Err(code)) => Err(failed(code)),
            Err(_) => Err(failed(Code::LinkLost)),
        }
    }

    pub(super) fn handle_open(
        self: &Arc<Self>,
        id: u64,
        class: LinkClass,
        head: ForwardHead,
        send_credit_bytes: u64,
        handlers: &MeshHandlers,
    ) {
        let credit_bytes = self.settings.stream_credit_bytes;
        let (state, inbound) = StreamState::new(id, class, send_credit_bytes, credit_bytes, None);
        let state = Arc::new(state);
        self.streams.lock().expect("lock").insert(id, state.clone());
        let guard = Arc::new(StreamGuard { link: self.clone(), state });
        let stream = IncomingStream {
            from: self.peer.clone(),
            class,
            head,
            body: BodyReceiver::new(guard.clone(), inbound, credit_bytes),
            answer: AnswerSender::new(guard),
        };
        let grant = LinkFrame::Credit { stream: id, bytes: credit_bytes };
        self.queue.push_credit(grant);
        tokio::spawn((handlers.open)(stream));
    }
}

async fn send_body(mut sender: BodySender, body: Bytes) {
    if sender.send(body).await.is_ok() {
        sender.finish();
    }
}
