//! Slots, which bound the number of requests in flight on this host.

use std::sync::Arc;

use anvillift_routing::admission::AdmissionPermit;
use anvillift_routing::request::RequestFacts;

use crate::gateway::Gateway;
use crate::problem::Refusal;

/// Slot of an admitted request. It is released on drop, when the answer has ended.
pub(crate) struct AdmissionGuard {
    gateway: Arc<Gateway>,
    permit: Option<AdmissionPermit>,
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.gateway.admission.admission.lock().expect("lock").release(permit);
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
        Ok(permit) => Ok(AdmissionGuard { gateway: gateway.clone(), permit: Some(permit) }),
        Err(refusal) => Err(Refusal::retry_after(refusal.code, refusal.retry_after_ms)),
    }
}
