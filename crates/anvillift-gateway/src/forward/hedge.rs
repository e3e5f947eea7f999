//! Hedged reads: a second attempt is sent when the first takes longer than usual.
//!
//! The first answer is used. Dropping the other attempt cancels it at its upstream. A hedge spends
//! from the retry budget of the service.

use std::sync::Arc;
use std::time::Duration;

use anvillift_routing::decide::Decision;
use tokio::time;

use super::tried::{Place, Tried};
use super::{AttemptResult, attempt, route};
use crate::admission;
use crate::gateway::Gateway;
use crate::request::Request;

/// Runs an attempt at the routed place, with a hedge if the profile enables hedging.
pub(super) async fn attempt_hedged(
    gateway: &Arc<Gateway>,
    request: &Request,
    decision: Decision,
) -> AttemptResult {
    let started_ms = gateway.now_ms();
    let result = match (Place::of(&decision), admission::hedge_delay_ms(gateway, request)) {
        (Some(place), Some(delay_ms)) => {
            let first = attempt(gateway, request, decision);
            race(gateway, request, place, first, Duration::from_millis(delay_ms)).await
        }
        _ => attempt(gateway, request, decision).await,
    };
    if is_answer(&result) {
        admission::record_latency(gateway, request, gateway.now_ms() - started_ms);
    }
    result
}

async fn race(
    gateway: &Arc<Gateway>,
    request: &Request,
    place: Place,
    first: impl Future<Output = AttemptResult>,
    delay: Duration,
) -> AttemptResult {
    tokio::pin!(first);
    tokio::select! {
        result = &mut first => return result,
        () = time::sleep(delay) => {}
    }
    let Some(decision) = route_hedge(gateway, request, place) else { return first.await };
    let second = attempt(gateway, request, decision);
    tokio::pin!(second);
    tokio::select! {
        result = &mut first => prefer_answer(result, second).await,
        result = &mut second => prefer_answer(result, first).await,
    }
}

/// Routes the hedge to another place; `None` if there is none or the retry budget is used up.
fn route_hedge(gateway: &Arc<Gateway>, request: &Request, place: Place) -> Option<Decision> {
    if !admission::allow_hedge(gateway, request) {
        return None;
    }
    let decision = route(gateway, request, &Tried::slow(place));
    (!matches!(decision, Decision::Refuse { .. })).then_some(decision)
}

/// Returns the result if it is an answer, else waits for the other attempt and prefers its answer.
async fn prefer_answer(
    result: AttemptResult,
    other: impl Future<Output = AttemptResult>,
) -> AttemptResult {
    if is_answer(&result) {
        return result;
    }
    let other = other.await;
    if is_answer(&other) { other } else { result }
}

fn is_answer(result: &AttemptResult) -> bool {
    matches!(result, Ok((_, Ok(_))))
}
