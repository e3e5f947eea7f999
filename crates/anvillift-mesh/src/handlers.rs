//! Handlers to which a mesh passes what other hosts send.

use std::sync::Arc;

use anvillift_schema::link::{ForwardHead, LinkClass, PeerAnswer, PeerCall, PeerMessage};
use anvillift_schema::name::Name;
use futures_util::future::BoxFuture;

use crate::stream::{AnswerSender, BodyReceiver};

/// Handlers of messages, calls and streams. The closures run on the reader of a link, so
/// they must not block.
#[derive(Clone)]
pub struct MeshHandlers {
    /// Handles a message that is not a call.
    pub message: Arc<dyn Fn(Name, PeerMessage) + Send + Sync>,
    /// Returns the answer to a call; the future runs as a separate task.
    pub call: Arc<dyn Fn(Name, PeerCall) -> BoxFuture<'static, PeerAnswer> + Send + Sync>,
    /// Serves a stream; the future runs as a separate task.
    pub open: Arc<dyn Fn(IncomingStream) -> BoxFuture<'static, ()> + Send + Sync>,
}

/// A stream opened by another host.
pub struct IncomingStream {
    /// The host that opened the stream.
    pub from: Name,
    /// Priority of the frames of the stream.
    pub class: LinkClass,
    /// Head of the forwarded request.
    pub head: ForwardHead,
    /// Receiver of the request body.
    pub body: BodyReceiver,
    /// Sender of the answer.
    pub answer: AnswerSender,
}
