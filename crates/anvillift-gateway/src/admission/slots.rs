//! Slots, which bound the number of requests in flight on this host.

use std::sync::Arc;

use anvillift_routing::admission::Ticket;
use anvillift_routing::request::RequestFacts;

use crate::gateway::Gateway;
use crate::problem::Refusal;

/// Slot of an admitted request. It is released on drop, when the answer has ended.
pub(crate) struct AdmissionGuard {
    gateway: Arc<Gateway>,
    ticket: Option<Ticket>,
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.gateway.admission.admission.lock().expect("lock").release(ticket);
        }
    }
}

/// Acquires a slot, or refuses with the time after which the caller may retry.
pub(super) fn acquire(
    gateway: &Arc<Gateway>,
    facts: &RequestFacts,
) -> Result<AdmissionGuard, Refusal> {
    let admitted = gateway.admission.admission.lock().expect("lock").admit(facts);
    match admitted {
        Ok(ticket) => Ok(AdmissionGuard { gateway: gateway.clone(), ticket: Some(ticket) }),
        Err(refusal) => Err(Refusal::retry_after(refusal.code, refusal.retry_after_ms)),
    }
}
