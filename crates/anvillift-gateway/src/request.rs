//! A request as the parts of the gateway pass it on.

use std::sync::Arc;

use anvillift_routing::prefix;
use anvillift_routing::request::RequestFacts;
use anvillift_schema::configuration::{Profile, ServiceKind};
use anvillift_schema::link::LinkClass;
use anvillift_schema::name::Name;
use bytes::Bytes;
use salvo::http::{HeaderMap, Method};

use crate::callers::chat::ChatFacts;

/// Longest answer of a model that still counts as quick, in tokens.
const QUICK_ANSWER_TOKENS: u64 = 256;
/// Longest prompt of a model that still counts as quick, in bytes.
const QUICK_BODY_BYTES: usize = 16 * 1024;

/// A request with its whole body.
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
    /// Path and query at the upstream.
    pub(crate) path: String,
    /// Headers that go to the upstream.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Hosts and regions visited before this host.
    pub(crate) hops: Vec<Name>,
    /// When the answer must be whole, on the monotonic clock.
    pub(crate) deadline_ms: u64,
    /// Whether it came from another host.
    pub(crate) forwarded: bool,
    pub(crate) chat: Option<ChatFacts>,
}

impl Request {
    /// Whether it must take effect at most once.
    pub(crate) fn is_command(&self) -> bool {
        self.kind == ServiceKind::Plain && !self.is_safe()
    }

    /// Whether it may be repeated without harm.
    pub(crate) fn is_repeatable(&self) -> bool {
        !self.is_command()
    }

    fn is_safe(&self) -> bool {
        matches!(self.method, Method::GET | Method::HEAD)
    }

    /// Class of its stream on a link.
    pub(crate) fn class(&self) -> LinkClass {
        if self.is_quick() { LinkClass::Quick } else { LinkClass::Bulk }
    }

    /// Whether it is short enough to go before bulk work.
    fn is_quick(&self) -> bool {
        self.chat.as_ref().is_none_or(|chat| {
            chat.answer_tokens <= QUICK_ANSWER_TOKENS && self.body.len() <= QUICK_BODY_BYTES
        })
    }

    /// Priority under overload and at the upstream; higher is kept longer.
    pub(crate) fn priority(&self) -> u32 {
        self.profile.priority + u32::from(self.is_quick())
    }

    /// What routing and admission rest on.
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
