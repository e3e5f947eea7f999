//! Hedging of slow reads: when a second attempt is sent, and what it costs.

use std::collections::BTreeMap;

use anvillift_routing::hedge::HedgeTimer;
use anvillift_schema::name::Name;

use super::retries;
use crate::gateway::Gateway;
use crate::request::Request;

/// Latency statistics by service, from which the hedge delay is derived.
pub(super) type Timers = BTreeMap<Name, HedgeTimer>;

/// Delay after the first attempt at which a hedge is sent, in milliseconds.
///
/// `None` if the profile does not hedge, if another host forwarded the request, or if the
/// latencies recorded for the service give no delay.
pub(crate) fn hedge_delay_ms(gateway: &Gateway, request: &Request) -> Option<u64> {
    if !request.profile.hedge || request.forwarded {
        return None;
    }
    let facts = request.facts(gateway.now_ms());
    let timers = gateway.admission.timers.lock().expect("lock");
    timers.get(&request.service)?.delay_ms(&facts, &request.profile)
}

/// Records the time from the start of an attempt to the head of its answer. Only repeatable
/// requests count, because only they are hedged.
pub(crate) fn record_latency(gateway: &Gateway, request: &Request, latency_ms: u64) {
    if request.profile.hedge && request.is_repeatable() {
        let mut timers = gateway.admission.timers.lock().expect("lock");
        timers.entry(request.service.clone()).or_default().record(latency_ms);
    }
}

/// Returns whether a hedge may be sent now, and if so spends one retry from the budget.
pub(crate) fn allow_hedge(gateway: &Gateway, request: &Request) -> bool {
    request.is_repeatable() && retries::spend(gateway, request)
}
