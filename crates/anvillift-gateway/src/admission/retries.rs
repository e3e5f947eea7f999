//! Limits on retries and on resumed streams, with one retry budget per service.

use std::collections::BTreeMap;

use anvillift_routing::retry_budget::{RetryBudget, RetryBudgetSettings};
use anvillift_schema::name::Name;

use crate::forward::failure::AttemptFailure;
use crate::gateway::Gateway;
use crate::request::Request;

/// Maximum number of attempts per request, including the first.
const MAX_ATTEMPTS: u32 = 3;

/// Maximum number of times that one stream is resumed.
const MAX_RESUMES: u32 = 3;

/// Retry budgets by the name of the service.
pub(super) type Budgets = BTreeMap<Name, RetryBudget>;

/// Counts a first attempt on this host, which earns retry credit for its service.
pub(crate) fn record_first_attempt(gateway: &Gateway, request: &Request) {
    let share_milli = request.profile.retry_share_milli;
    let mut budgets = gateway.admission.budgets.lock().expect("lock");
    let budget = budgets.entry(request.service.clone()).or_insert_with(|| {
        let default = RetryBudgetSettings::default();
        RetryBudget::new(RetryBudgetSettings { earned_per_attempt_milli: share_milli, ..default })
    });
    budget.set_earned_per_attempt(share_milli);
    budget.earn();
}

/// Returns whether a failed attempt may be followed by another, and if so spends one retry. Only
/// the host that received the request from the caller retries it.
pub(crate) fn allow_retry(
    gateway: &Gateway,
    request: &Request,
    failure: &AttemptFailure,
    attempts: u32,
) -> bool {
    let can_repeat = failure.is_not_run() || request.is_repeatable();
    if !can_repeat || request.forwarded || attempts >= MAX_ATTEMPTS {
        return false;
    }
    spend(gateway, request)
}

/// Returns whether a broken stream may be resumed once more, and if so spends one retry. The host
/// that sent the request to the upstream decides this.
pub(crate) fn allow_resume(gateway: &Gateway, request: &Request, resumes: u32) -> bool {
    resumes < MAX_RESUMES && spend(gateway, request)
}

/// Spends the credit of one retry; `false` if the budget of the service does not cover it.
pub(super) fn spend(gateway: &Gateway, request: &Request) -> bool {
    let mut budgets = gateway.admission.budgets.lock().expect("lock");
    budgets.get_mut(&request.service).is_some_and(RetryBudget::spend)
}
