//! A request in the form that all parts of the gateway use.

use std::sync::Arc;

use anvillift_routing::prefix;
use anvillift_routing::request::RequestFacts;
use anvillift_schema::configuration::{Profile, ServiceKind};
use anvillift_schema::link::LinkClass;
use anvillift_schema::name::Name;
use bytes::Bytes;
use salvo::http::{HeaderMap, Method};

use crate::callers::chat::ChatFacts;

/// Maximum answer length of a model request in the quick class, in tokens.
const MAX_QUICK_ANSWER_TOKENS: u64 = 256;
/// Maximum body size of a model request in the quick class, in bytes.
const MAX_QUICK_BODY_BYTES: usize = 16 * 1024;

/// A request with its complete body.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: Name,
    pub(crate) service: Name,
    pub(crate) kind: ServiceKind,
    pub(crate) profile: Arc<Profile>,
    pub(crate) team: Name,
    pub(crate) home: Option<Name>,
    pub(crate) idempotency_key: Option<Name>,
    pub(crate) method: Method,
    /// Path and query that the upstream receives.
    pub(crate) path: String,
    /// Headers that are forwarded to the upstream.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Hosts and regions that the request visited before this host.
    pub(crate) hops: Vec<Name>,
    /// Time on the monotonic clock by which the answer must be complete.
    pub(crate) deadline_ms: u64,
    /// Whether another host forwarded the request.
    pub(crate) forwarded: bool,
    pub(crate) chat: Option<ChatFacts>,
}

impl Request {
    /// Whether the request must take effect at most once.
    pub(crate) fn is_command(&self) -> bool {
        self.kind == ServiceKind::Plain && !self.is_safe()
    }

    /// Whether the request may be sent more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        !self.is_command()
    }

    fn is_safe(&self) -> bool {
        matches!(self.method, Method::GET | Method::HEAD)
    }

    /// Class of the stream that forwards the request on a link.
    pub(crate) fn class(&self) -> LinkClass {
        if self.is_quick() { LinkClass::Quick } else { LinkClass::Bulk }
    }

    /// Whether the request is short enough to be sent before bulk work. This is true of all
    /// requests without a prompt.
    fn is_quick(&self) -> bool {
        self.chat.as_ref().is_none_or(|chat| {
            chat.answer_tokens <= MAX_QUICK_ANSWER_TOKENS && self.body.len() <= MAX_QUICK_BODY_BYTES
        })
    }

    /// Priority for load shedding and at the upstream; requests with a lower one are refused first.
    pub(crate) fn priority(&self) -> u32 {
        self.profile.priority + u32::from(self.is_quick())
    }

    /// Properties of the request on which routing and admission decide.
    pub(crate) fn facts(&self, now_ms: u64) -> RequestFacts {
        let body_bytes = self.body.len() as u64;
        let chat = self.chat.as_ref();
        RequestFacts {
            service: self.service.clone(),
            team: self.team.clone(),
            model: chat.and_then(|chat| chat.model.clone()),
            prompt_tokens: body_bytes / prefix::BYTES_PER_TOKEN,
            answer_tokens: chat.map_or(0, |chat| chat.answer_tokens),
            body_bytes,
            prefix_blocks: chat.map(|chat| chat.prefix_blocks.clone()).unwrap_or_default(),
            priority: self.priority(),
            deadline_ms: self.deadline_ms.saturating_sub(now_ms),
            idempotent: self.is_repeatable(),
            forwarded: self.forwarded,
            ..RequestFacts::default()
        }
    }
}
