//! Whether a request enters, and whether a failed attempt is tried again.
//!
//! The host that the caller asked takes a slot ([`slots`]) and counts the
//! request against its team's limit ([`teams`]); a host that it is handed to
//! takes only a slot. Retries spend from the budget of the service ([`retries`]),
//! and so do hedges of slow reads ([`hedges`]).

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

pub(crate) use hedges::{hedge_delay_ms, may_hedge, record_latency};
pub(crate) use retries::{first_attempt, may_resume, may_retry};
pub(crate) use slots::AdmissionGuard;
pub(crate) use teams::lease;

use crate::gateway::Gateway;
use crate::problem::Refusal;

/// Admission's part of a gateway.
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

/// Admits a caller's request, whose body has been read, or refuses it at once.
pub(crate) async fn admit(
    gateway: &Arc<Gateway>,
    facts: &RequestFacts,
) -> Result<AdmissionGuard, Refusal> {
    let slot = slots::take(gateway, facts)?;
    teams::count(gateway, facts).await?;
    Ok(slot)
}

/// Admits a request that another host has counted against its team's limit.
pub(crate) fn admit_counted(
    gateway: &Arc<Gateway>,
    facts: &RequestFacts,
) -> Result<AdmissionGuard, Refusal> {
    slots::take(gateway, facts)
}
