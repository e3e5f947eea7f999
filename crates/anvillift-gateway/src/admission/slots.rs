//! Slots for requests in flight.

use std::sync::Arc;

use anvillift_routing::admission::Ticket;
use anvillift_routing::request::RequestFacts;

use crate::gateway::Gateway;
use crate::problem::Refusal;

/// An admitted request; dropped when its answer has ended.
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

/// Takes a slot or says when to come back.
pub(super) fn take(
    gateway: &Arc<Gateway>,
    facts: &RequestFacts,
) -> Result<AdmissionGuard, Refusal> {
    let admitted = gateway.admission.admission.lock().expect("lock").admit(facts);
    match admitted {
        Ok(ticket) => Ok(AdmissionGuard { gateway: gateway.clone(), ticket: Some(ticket) }),
        Err(refusal) => Err(Refusal::retry_after(refusal.code, refusal.retry_after_ms)),
    }
}
