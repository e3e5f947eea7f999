//! Retries, within one budget a service.

use std::collections::BTreeMap;

use anvillift_routing::retry_budget::{RetryBudget, RetryBudgetSettings};
use anvillift_schema::name::Name;

use crate::forward::failure::AttemptFailure;
use crate::gateway::Gateway;
use crate::request::Request;

/// Attempts of one request at most.
const MAX_ATTEMPTS: u32 = 3;

/// Times that one stream is resumed at most.
const MAX_RESUMES: u32 = 3;

/// Retry budgets by service.
pub(super) type Budgets = BTreeMap<Name, RetryBudget>;

/// Counts a first attempt on this host.
pub(crate) fn first_attempt(gateway: &Gateway, request: &Request) {
    let share_milli = request.profile.retry_share_milli;
    let mut budgets = gateway.admission.budgets.lock().expect("lock");
    let budget = budgets.entry(request.service.clone()).or_insert_with(|| {
        let default = RetryBudgetSettings::default();
        RetryBudget::new(RetryBudgetSettings { earned_per_attempt_milli: share_milli, ..default })
    });
    budget.set_earned_per_attempt(share_milli);
    budget.earn();
}

/// Whether a failed attempt may be followed by another. Only the host that
/// the caller asked tries again.
pub(crate) fn may_retry(
    gateway: &Gateway,
    request: &Request,
    failure: &AttemptFailure,
    attempts: u32,
) -> bool {
    let harmless = failure.is_not_run() || request.is_repeatable();
    if !harmless || request.forwarded || attempts >= MAX_ATTEMPTS {
        return false;
    }
    spend(gateway, request)
}

/// Whether a stream that broke off may be resumed once more, by the host that
/// asked the upstream.
pub(crate) fn may_resume(gateway: &Gateway, request: &Request, resumes: u32) -> bool {
    resumes < MAX_RESUMES && spend(gateway, request)
}

/// Spends the credit of one retry, if there is enough.
pub(super) fn spend(gateway: &Gateway, request: &Request) -> bool {
    let mut budgets = gateway.admission.budgets.lock().expect("lock");
    budgets.get_mut(&request.service).is_some_and(RetryBudget::spend)
}
