//! The endpoint `/healthz`, which reports whether this host accepts requests.

use crate::answer::{self, Answer};
use crate::gateway::Gateway;

/// Answers with state `ready`, or with a refusal while the host is starting or draining.
pub(crate) fn health(gateway: &Gateway) -> Answer {
    match gateway.check_accepting() {
        Ok(()) => answer::json(&serde_json::json!({ "state": "ready" })),
        Err(refusal) => refusal.answer(None),
    }
}
