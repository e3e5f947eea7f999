//! Readiness.

use crate::answer::{self, Answer};
use crate::gateway::Gateway;

/// Answers whether the host takes requests.
pub(crate) fn health(gateway: &Gateway) -> Answer {
    match gateway.check_open() {
        Ok(()) => answer::json(&serde_json::json!({ "state": "ready" })),
        Err(refusal) => refusal.answer(None),
    }
}
