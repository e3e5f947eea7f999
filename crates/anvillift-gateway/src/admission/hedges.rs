//! When a read is hedged, by service.

use std::collections::BTreeMap;

use anvillift_routing::hedge::HedgeTimer;
use anvillift_schema::name::Name;

use super::retries;
use crate::gateway::Gateway;
use crate::request::Request;

/// Usual latencies by service.
pub(super) type Timers = BTreeMap<Name, HedgeTimer>;

/// When to send a hedge after the first attempt, in milliseconds; none if not at all.
pub(crate) fn hedge_delay_ms(gateway: &Gateway, request: &Request) -> Option<u64> {
    if !request.profile.hedge || request.forwarded {
        return None;
    }
    let facts = request.facts(gateway.now_ms());
    let timers = gateway.admission.timers.lock().expect("lock");
    timers.get(&request.service)?.delay_ms(&facts, &request.profile)
}

/// Records how long the head of an answer took.
pub(crate) fn record_latency(gateway: &Gateway, request: &Request, latency_ms: u64) {
    if request.profile.hedge && request.is_repeatable() {
        let mut timers = gateway.admission.timers.lock().expect("lock");
        timers.entry(request.service.clone()).or_default().record(latency_ms);
    }
}

/// Whether a hedge may be sent now; it costs as much as a retry.
pub(crate) fn may_hedge(gateway: &Gateway, request: &Request) -> bool {
    request.is_repeatable() && retries::spend(gateway, request)
}
