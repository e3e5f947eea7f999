//! Estimates the latency of a request at an upstream or in a data centre.
//!
//! Reported load lags behind, so the tokens sent since the report are added to it.
//! [`Estimate`] is the result for one request; [`BaseEstimate`] is the part of it
//! that is the same for all requests.

use crate::load_view::{DataCentreCapacity, UpstreamCapacity};
use crate::request::RequestFacts;

/// Prefill rate of an upstream that reports none, in tokens per second.
const ASSUMED_PREFILL_TOKENS_PER_S: f64 = 8_000.0;

/// Gap between tokens at an upstream that reports no token rate, in milliseconds.
const ASSUMED_GAP_MS: f64 = 20.0;

/// Wait added for each outstanding request, in milliseconds. It makes otherwise
/// equal upstreams share the work.
const OUTSTANDING_COST_MS: f64 = 1.0;

/// Time over which a newly seen upstream ramps up to its full share of requests, in milliseconds.
const RAMP_UP_MS: f64 = 10_000.0;

/// Wait added for each request above the current share of an upstream that ramps
/// up, in milliseconds.
const RAMP_UP_COST_MS: f64 = 250.0;

/// Link rate if none is reported, in bytes per millisecond.
const ASSUMED_LINK_BYTES_PER_MS: f64 = 1_250.0;

/// Batch slots of an upstream that reports none.
const ASSUMED_SLOTS: f64 = 64.0;

/// Expected latency of a request at one candidate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Time before the prefill of the request starts, in milliseconds.
    pub wait_ms: f64,
    /// Time until the first token of the answer, in milliseconds.
    pub first_token_ms: f64,
    /// Gap between the tokens of the answer, in milliseconds.
    pub gap_ms: f64,
    /// Duration of the prefill of the request, in milliseconds.
    pub prefill_ms: f64,
}

/// The part of an estimate at an upstream that does not depend on the request. It
/// is computed when the load changes, not for each decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BaseEstimate {
    /// Wait of any request, in milliseconds.
    wait_ms: f64,
    /// Wait for a batch slot per token of the answer, in milliseconds.
    slot_ms_per_answer_token: f64,
    /// Prefill time of one token, in milliseconds.
    ms_per_token: f64,
    /// Gap between tokens, in milliseconds.
    gap_ms: f64,
}

impl BaseEstimate {
    /// Computes the base estimate from the reported load and the requests sent since.
    pub fn of(capacity: &UpstreamCapacity) -> Self {
        let load = &capacity.load;
        let ms_per_token = ms_per_token(load.prefill_rate_tokens_per_s);
        let queued_tokens = load.queued_tokens + capacity.sent_tokens;
        let reported = load.running_requests + load.queued_requests;
        let outstanding = f64::from(reported.max(capacity.own_in_flight));
        let gap_ms = gap_ms(load.running_requests, load.token_rate_milli);
        let slots = if load.max_running_requests == 0 {
            ASSUMED_SLOTS
        } else {
            f64::from(load.max_running_requests)
        };
        Self {
            wait_ms: queued_tokens as f64 * ms_per_token
                + outstanding * OUTSTANDING_COST_MS
                + ramp_up_wait_ms(capacity, slots),
            slot_ms_per_answer_token: slot_wait_ms(outstanding, slots, 1, gap_ms),
            ms_per_token,
            gap_ms,
        }
    }
}

/// Token counts of a request as floating-point numbers, converted once for all candidates.
#[derive(Clone, Copy, Debug)]
pub struct RequestTokens {
    prompt_tokens: f64,
    answer_tokens: f64,
}

impl RequestTokens {
    /// Token counts of a request of which `cached_tokens` prompt tokens need no prefill.
    pub fn of(request: &RequestFacts, cached_tokens: u64) -> Self {
        Self {
            prompt_tokens: request.prompt_tokens.saturating_sub(cached_tokens) as f64,
            answer_tokens: request.answer_tokens as f64,
        }
    }
}

/// Estimates a request at an upstream of the local data centre.
#[inline]
pub fn at_upstream(capacity: &UpstreamCapacity, tokens: &RequestTokens) -> Estimate {
    let computed;
    let base_estimate = match &capacity.base_estimate {
        Some(base_estimate) => base_estimate,
        None => {
            computed = BaseEstimate::of(capacity);
            &computed
        }
    };
    let prefill_ms = tokens.prompt_tokens * base_estimate.ms_per_token;
    let wait_ms =
        base_estimate.wait_ms + base_estimate.slot_ms_per_answer_token * tokens.answer_tokens;
    let gap_ms = base_estimate.gap_ms;
    Estimate { wait_ms, first_token_ms: wait_ms + prefill_ms + gap_ms, gap_ms, prefill_ms }
}

/// Estimates a request in another data centre that has `cached_tokens` of the prompt cached.
pub fn at_data_centre(
    capacity: &DataCentreCapacity,
    request: &RequestFacts,
    cached_tokens: u64,
) -> Estimate {
    let upstreams = f64::from(capacity.upstreams.max(1));
    let ms_per_token = ms_per_token(capacity.prefill_rate_tokens_per_s);
    let queued_tokens = (capacity.queued_tokens + capacity.sent_tokens) as f64;
    let gap_ms = gap_ms(capacity.running_requests, capacity.token_rate_milli);
    let slots = f64::from(capacity.running_requests + capacity.free_slots);
    let occupied_slots =
        if capacity.free_slots == 0 { slots } else { f64::from(capacity.running_requests) };
    let slot_wait_ms = slot_wait_ms(occupied_slots, slots, request.answer_tokens, gap_ms);
    let computed_tokens = request.prompt_tokens.saturating_sub(cached_tokens) as f64;
    let prefill_ms = computed_tokens * upstreams * ms_per_token;
    let network_ms = capacity.round_trip_ms as f64 + transfer_ms(capacity, request.body_bytes);
    let wait_ms = queued_tokens * ms_per_token + slot_wait_ms + network_ms;
    Estimate { wait_ms, first_token_ms: wait_ms + prefill_ms + gap_ms, gap_ms, prefill_ms }
}

fn ms_per_token(tokens_per_s: u64) -> f64 {
    let per_s = if tokens_per_s == 0 { ASSUMED_PREFILL_TOKENS_PER_S } else { tokens_per_s as f64 };
    1000.0 / per_s
}

fn gap_ms(running_requests: u32, token_rate_milli: u64) -> f64 {
    if running_requests == 0 || token_rate_milli == 0 {
        return ASSUMED_GAP_MS;
    }
    f64::from(running_requests) * 1_000_000.0 / token_rate_milli as f64
}

/// Wait for a batch slot, in milliseconds; 0 while fewer requests are outstanding than
/// there are slots.
fn slot_wait_ms(outstanding: f64, slots: f64, answer_tokens: u64, gap_ms: f64) -> f64 {
    if outstanding < slots || slots == 0.0 {
        return 0.0;
    }
    let excess = outstanding - slots + 1.0;
    excess * answer_tokens as f64 * gap_ms / slots
}

fn ramp_up_wait_ms(capacity: &UpstreamCapacity, slots: f64) -> f64 {
    let seen_for_ms = capacity.seen_for_ms as f64;
    if seen_for_ms >= RAMP_UP_MS {
        return 0.0;
    }
    let share = 1.0 + slots * seen_for_ms / RAMP_UP_MS;
    (f64::from(capacity.own_in_flight) - share).max(0.0) * RAMP_UP_COST_MS
}

fn transfer_ms(capacity: &DataCentreCapacity, body_bytes: u64) -> f64 {
    let bytes_per_ms = if capacity.link_bytes_per_s == 0 {
        ASSUMED_LINK_BYTES_PER_MS
    } else {
        capacity.link_bytes_per_s as f64 / 1000.0
    };
    body_bytes as f64 / bytes_per_ms
}
