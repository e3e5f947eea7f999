//! Admission control: whether a request is accepted, and whether a failed attempt is retried.
//!
//! The host that receives a request from a caller takes a slot for it ([`slots`]) and counts it
//! against the limit of its team ([`teams`]). A host that receives a forwarded request takes only
//! a slot, because the first host has counted it. Retries ([`retries`]) and hedges of slow reads
//! ([`hedges`]) spend from the retry budget of the service.

mod hedges;
mod retries;
mod slots;
mod teams;

use std::sync::{Arc, Mutex};

use anvillift_routing::admission::{Admission, AdmissionSettings};
use anvillift_routing::request::RequestFacts;
use anvillift_routing::team_limit::TeamLimiter;
use anvillift_schema::name::Name;
use anvillift_schema::settings::LimitSettings;

pub(crate) use hedges::{allow_hedge, hedge_delay_ms, record_latency};
pub(crate) use retries::{allow_resume, allow_retry, record_first_attempt};
pub(crate) use slots::AdmissionGuard;
pub(crate) use teams::lease_tokens;

use crate::gateway::Gateway;
use crate::problem::Refusal;

/// State of admission control on this host.
#[derive(Debug)]
pub(crate) struct AdmissionState {
    admission: Mutex<Admission>,
    teams: Mutex<TeamLimiter>,
    budgets: Mutex<retries::Budgets>,
    timers: Mutex<hedges::Timers>,
}

impl AdmissionState {
    pub(crate) fn new(host: &Name, limits: &LimitSettings) -> Self {
        let settings = AdmissionSettings {
            max_in_flight_requests: limits.max_in_flight_requests,
            ..AdmissionSettings::default()
        };
        Self {
            admission: Mutex::new(Admission::new(settings)),
            teams: Mutex::new(TeamLimiter::new(host.clone())),
            budgets: Mutex::default(),
            timers: Mutex::default(),
        }
    }
}

/// Admits a caller's request once its body has been read, or refuses it at once.
pub(crate) async fn admit(
    gateway: &Arc<Gateway>,
    facts: &RequestFacts,
) -> Result<AdmissionGuard, Refusal> {
    let slot = slots::acquire(gateway, facts)?;
    teams::count_request(gateway, facts).await?;
    Ok(slot)
}

/// Admits a request that another host forwarded after counting it against the team's limit.
pub(crate) fn admit_forwarded(
    gateway: &Arc<Gateway>,
    facts: &RequestFacts,
) -> Result<AdmissionGuard, Refusal> {
    slots::acquire(gateway, facts)
}
