//! Where a mesh delivers what other hosts send.

use std::sync::Arc;

use anvillift_schema::link::{ForwardHead, LinkClass, PeerAnswer, PeerCall, PeerMessage};
use anvillift_schema::name::Name;
use futures_util::future::BoxFuture;

use crate::stream::{AnswerSender, BodyReceiver};

/// Receivers of messages, calls and streams. Closures must not block.
#[derive(Clone)]
pub struct MeshInbox {
    /// Takes a message that is not a call.
    pub message: Arc<dyn Fn(Name, PeerMessage) + Send + Sync>,
    /// Answers a call.
    pub call: Arc<dyn Fn(Name, PeerCall) -> BoxFuture<'static, PeerAnswer> + Send + Sync>,
    /// Serves a stream; it runs as a task of its own.
    pub open: Arc<dyn Fn(IncomingStream) -> BoxFuture<'static, ()> + Send + Sync>,
}

/// A stream opened by another host.
pub struct IncomingStream {
    /// The host.
    pub from: Name,
    /// Priority of the stream.
    pub class: LinkClass,
    /// Head of the request.
    pub head: ForwardHead,
    /// Body of the request.
    pub body: BodyReceiver,
    /// Takes the answer.
    pub answer: AnswerSender,
}
