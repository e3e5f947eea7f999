//! One authenticated link: its reader, its writer, and its open streams and calls.
//!
//! The writer sends the frames of a [`WriteQueue`]. The reader passes messages,
//! calls and new streams to the [`MeshHandlers`], and other stream frames to their
//! [`StreamState`].

mod streams;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anvillift_schema::code::Code;
use anvillift_schema::link::{LinkFrame, PeerAnswer, PeerCall, PeerMessage};
use anvillift_schema::name::Name;
use bytes::Bytes;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use snafu::ResultExt;
use tokio::sync::oneshot;
use tokio::time;
use tokio_tungstenite::tungstenite::Message;
use tokio_util::sync::CancellationToken;

use crate::codec;
use crate::error::{LinkError, WebSocketSnafu};
use crate::handlers::MeshHandlers;
use crate::handshake::Role;
use crate::round_trip::RoundTrip;
use crate::settings::MeshSettings;
use crate::stream_state::StreamState;
use crate::transport::Socket;
use crate::write_queue::WriteQueue;

/// A link to one host; the host that dialled uses odd stream ids, the other even ones.
pub(crate) struct Link {
    pub(crate) peer: Name,
    pub(crate) queue: WriteQueue,
    pub(crate) closed: CancellationToken,
    settings: Arc<MeshSettings>,
    streams: Mutex<BTreeMap<u64, Arc<StreamState>>>,
    next_stream_id: AtomicU64,
    calls: Mutex<BTreeMap<u64, oneshot::Sender<PeerAnswer>>>,
    next_call_id: AtomicU64,
    round_trip: RoundTrip,
}

impl Link {
    pub(crate) fn new(peer: Name, role: Role, settings: Arc<MeshSettings>) -> Self {
        let first_stream_id = match role {
            Role::Dialler => 1,
            Role::Listener => 2,
        };
        Self {
            peer,
            queue: WriteQueue::new(settings.max_queued_messages),
            closed: CancellationToken::new(),
            settings,
            streams: Mutex::default(),
            next_stream_id: AtomicU64::new(first_stream_id),
            calls: Mutex::default(),
            next_call_id: AtomicU64::new(1),
            round_trip: RoundTrip::default(),
        }
    }

    /// Reads and writes until the link fails or is closed. Returns the reason.
    pub(crate) async fn run(
        self: &Arc<Self>,
        socket: Socket,
        handlers: &MeshHandlers,
    ) -> LinkError {
        let (sink, stream) = socket.split();
        let error = tokio::select! {
            error = self.write(sink) => error,
            error = self.read(stream, handlers) => error,
            () = self.closed.cancelled() => LinkError::Closed,
        };
        self.close();
        error
    }

    /// Moving average of the round-trip time, in milliseconds; `None` before the first pong.
    pub(crate) fn round_trip_ms(&self) -> Option<u64> {
        self.round_trip.smoothed_ms()
    }

    /// Closes the link and fails all its streams and calls.
    pub(crate) fn close(&self) {
        self.closed.cancel();
        self.queue.close();
        let streams = std::mem::take(&mut *self.streams.lock().expect("lock"));
        for stream in streams.values() {
            stream.fail(Code::LinkLost);
        }
        self.calls.lock().expect("lock").clear();
    }

    pub(crate) fn remove_stream(&self, id: u64) {
        self.streams.lock().expect("lock").remove(&id);
    }

    /// Queues a call and returns its id and the receiver of the answer, which fails when the
    /// link is lost. Returns `None` if the queue is full or closed.
    pub(crate) fn call(&self, body: PeerCall) -> Option<(u64, oneshot::Receiver<PeerAnswer>)> {
        let call_id = self.next_call_id.fetch_add(1, Ordering::Relaxed);
        let (answer, receiver) = oneshot::channel();
        self.calls.lock().expect("lock").insert(call_id, answer);
        if self.queue.push_message(LinkFrame::Peer(PeerMessage::Call { call_id, body })) {
            Some((call_id, receiver))
        } else {
            self.cancel_call(call_id);
            None
        }
    }

    pub(crate) fn cancel_call(&self, call_id: u64) {
        self.calls.lock().expect("lock").remove(&call_id);
    }

    async fn write(&self, mut sink: SplitSink<Socket, Message>) -> LinkError {
        let mut ping = time::interval(Duration::from_millis(self.settings.ping_ms));
        loop {
            let result = match self.queue.pop() {
                Some(frame) => sink.feed(Message::Binary(codec::encode(&frame))).await,
                None if self.queue.is_finishing() => return self.send_goodbye(sink).await,
                None => match sink.flush().await {
                    Ok(()) => tokio::select! {
                        () = self.queue.wait_for_push() => continue,
                        _ = ping.tick() =>
                            sink.send(Message::Ping(self.round_trip.ping_payload())).await,
                    },
                    Err(error) => Err(error),
                },
            };
            if let Err(error) = result.context(WebSocketSnafu) {
                return error;
            }
        }
    }

    async fn send_goodbye(&self, mut sink: SplitSink<Socket, Message>) -> LinkError {
        let goodbye = LinkFrame::Goodbye { host: self.settings.identity.name.clone() };
        let sent = sink.send(Message::Binary(codec::encode(&goodbye))).await;
        sent.context(WebSocketSnafu).err().unwrap_or(LinkError::Closed)
    }

    async fn read(
        self: &Arc<Self>,
        mut stream: SplitStream<Socket>,
        handlers: &MeshHandlers,
    ) -> LinkError {
        let idle_timeout = Duration::from_millis(self.settings.idle_timeout_ms);
        loop {
            let message = match time::timeout(idle_timeout, stream.next()).await {
                Err(_) => return LinkError::Idle,
                Ok(None) => return LinkError::Closed,
                Ok(Some(message)) => message,
            };
            let result = match message.context(WebSocketSnafu) {
                Ok(Message::Binary(bytes)) => {
                    codec::decode(&bytes).and_then(|frame| self.handle_frame(frame, handlers))
                }
                Ok(Message::Close(_)) => Err(LinkError::Closed),
                Ok(Message::Pong(payload)) => {
                    self.round_trip.record_pong(&payload);
                    Ok(())
                }
                Ok(_) => Ok(()),
                Err(error) => Err(error),
            };
            if let Err(error) = result {
                return error;
            }
        }
    }

    fn handle_frame(
        self: &Arc<Self>,
        frame: LinkFrame,
        handlers: &MeshHandlers,
    ) -> Result<(), LinkError> {
        match frame {
            LinkFrame::Hello { .. } | LinkFrame::Proof { .. } => {
                return Err(LinkError::Decode {
                    reason: "a hello or proof arrived after the handshake".to_owned(),
                });
            }
            LinkFrame::Goodbye { .. } => return Err(LinkError::Closed),
            LinkFrame::Peer(message) => self.handle_message(message, handlers),
            LinkFrame::Open { stream, class, head, credit_bytes } => {
                self.handle_open(stream, class, head, credit_bytes, handlers);
            }
            LinkFrame::Answer { stream, head } => {
                self.with_stream(stream, |state| state.receive_answer(head));
            }
            LinkFrame::Data { stream, payload, end } => {
                self.with_stream(stream, |state| {
                    if !state.receive_data(Bytes::from(payload), end) {
                        self.reset(state, Code::MalformedRequest);
                    }
                });
            }
            LinkFrame::Credit { stream, bytes } => {
                self.with_stream(stream, |state| state.add_credit(bytes));
            }
            LinkFrame::Reset { stream, code } => {
                let code = Code::from_number(code).unwrap_or(Code::Internal);
                self.with_stream(stream, |state| state.fail(code));
            }
        }
        Ok(())
    }

    fn with_stream(&self, id: u64, apply: impl FnOnce(&Arc<StreamState>)) {
        let state = self.streams.lock().expect("lock").get(&id).cloned();
        if let Some(state) = state {
            apply(&state);
        }
    }

    fn reset(&self, state: &StreamState, code: Code) {
        let frame = LinkFrame::Reset { stream: state.id, code: code.number() };
        self.queue.push_stream(state.class, state.id, frame);
        state.fail(code);
    }

    fn handle_message(self: &Arc<Self>, message: PeerMessage, handlers: &MeshHandlers) {
        match message {
            PeerMessage::Call { call_id, body } => {
                let answer = (handlers.call)(self.peer.clone(), body);
                let link = self.clone();
                tokio::spawn(async move {
                    let body = answer.await;
                    let message = PeerMessage::CallAnswer { call_id, body };
                    link.queue.push_message(LinkFrame::Peer(message));
                });
            }
            PeerMessage::CallAnswer { call_id, body } => {
                if let Some(answer) = self.calls.lock().expect("lock").remove(&call_id) {
                    let _ = answer.send(body);
                }
            }
            message => (handlers.message)(self.peer.clone(), message),
        }
    }
}
