//! Readiness and metrics.

use anvillift_schema::code::Code;

use crate::answer::{self, Answer};
use crate::gateway::Gateway;

/// Answers whether the host takes requests.
pub(crate) fn health(gateway: &Gateway) -> Answer {
    match gateway.check_open() {
        Ok(()) => answer::json(&serde_json::json!({ "state": "ready" })),
        Err(refusal) => refusal.answer(None),
    }
}

/// The metrics in the text form of Prometheus.
pub(crate) fn metrics(_gateway: &Gateway) -> Answer {
    crate::problem::Refusal::from(Code::NotFound).answer(None)
}
