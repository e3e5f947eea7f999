//! A request that may be served.

use std::sync::Arc;

use anvillift_fleet::{Prompt, Route};
use anvillift_http::RequestHead;
use anvillift_schema::name::Name;
use bytes::Bytes;

use crate::clock;
use crate::entry::front::Origin;

/// A request that may be served.
pub(crate) struct Request {
    /// Head as the caller sent it, without what concerns its connection only.
    pub(crate) head: RequestHead,
    /// Body, and whether there is one.
    pub(crate) body: Option<Bytes>,
    /// Id.
    pub(crate) id: String,
    /// Route.
    pub(crate) route: Arc<Route>,
    /// Service that takes it.
    pub(crate) service: Name,
    /// What is known of its prompt.
    pub(crate) prompt: Prompt,
    /// Who sent it here.
    pub(crate) origin: Origin,
    /// When its head had arrived.
    pub(crate) arrived_ms: u64,
    /// When its caller or its route gives it up.
    pub(crate) end_ms: u64,
    /// Minor version of HTTP/1 that the caller speaks.
    pub(crate) minor_version: u8,
    /// Version of the configuration that it is served by.
    pub(crate) version: u64,
}

impl Request {
    /// Time left, in milliseconds.
    pub(crate) fn left_ms(&self) -> u64 {
        self.end_ms.saturating_sub(clock::now_ms())
    }

    /// Time since it arrived, in milliseconds.
    pub(crate) fn age_ms(&self) -> u64 {
        clock::now_ms().saturating_sub(self.arrived_ms)
    }
}
