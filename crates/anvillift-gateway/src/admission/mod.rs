//! Whether a request enters, and whether a failed attempt is tried again.

use std::sync::{Arc, Mutex};

use anvillift_routing::admission::{Admission, AdmissionSettings, Ticket};
use anvillift_routing::request::RequestFacts;
use anvillift_schema::code::Code;
use anvillift_schema::link::PeerAnswer;
use anvillift_schema::name::Name;
use anvillift_schema::settings::LimitSettings;

use crate::forward::failure::AttemptFailure;
use crate::gateway::Gateway;
use crate::inbox;
use crate::problem::Refusal;
use crate::request::Request;

/// Attempts of one request at most.
const MAX_ATTEMPTS: u32 = 3;

/// Admission's part of a gateway.
#[derive(Debug)]
pub(crate) struct AdmissionState {
    admission: Mutex<Admission>,
}

impl AdmissionState {
    pub(crate) fn new(limits: &LimitSettings) -> Self {
        let settings = AdmissionSettings {
            max_in_flight_requests: limits.max_in_flight_requests,
            ..AdmissionSettings::default()
        };
        Self { admission: Mutex::new(Admission::new(settings)) }
    }
}

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

/// Admits a request, whose body has been read, or refuses it at once.
pub(crate) async fn admit(
    gateway: &Arc<Gateway>,
    facts: &RequestFacts,
) -> Result<AdmissionGuard, Refusal> {
    let admitted = gateway.admission.admission.lock().expect("lock").admit(facts);
    match admitted {
        Ok(ticket) => Ok(AdmissionGuard { gateway: gateway.clone(), ticket: Some(ticket) }),
        Err(refusal) => Err(Refusal::retry_after(refusal.code, refusal.retry_after_ms)),
    }
}

/// Counts a first attempt.
pub(crate) fn first_attempt(_gateway: &Gateway, _request: &Request) {}

/// Whether a failed attempt may be followed by another. Only the host that
/// the caller asked tries again.
pub(crate) fn may_retry(
    _gateway: &Gateway,
    request: &Request,
    failure: &AttemptFailure,
    attempts: u32,
) -> bool {
    let harmless = failure.is_not_run() || request.is_repeatable();
    harmless && !request.forwarded && attempts < MAX_ATTEMPTS
}

/// Leases tokens of a team to another host of the data centre.
pub(crate) fn lease(
    _gateway: &Gateway,
    _from: &Name,
    _team: &Name,
    _requests_milli: u64,
    _tokens: u64,
) -> PeerAnswer {
    inbox::refused(Code::NotReady)
}
