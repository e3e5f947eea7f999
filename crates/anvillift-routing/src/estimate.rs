//! How long a request would take at an upstream or in a data centre.
//!
//! Reported load lags, so what was sent since the report is added to it.
//! Start at [`Estimate`]; [`Basis`] is the part that all requests share.

use crate::load_view::{DataCentreRoom, UpstreamRoom};
use crate::request::RequestFacts;

/// Prefill rate assumed for an upstream that reports none, in tokens a second.
const ASSUMED_PREFILL_TOKENS_PER_S: f64 = 8_000.0;

/// Gap between tokens assumed for an upstream that reports none, in milliseconds.
const ASSUMED_GAP_MS: f64 = 20.0;

/// Cost of each outstanding request, so that equal upstreams share work, in milliseconds.
const OUTSTANDING_COST_MS: f64 = 1.0;

/// A newly seen upstream gets its full share of work after this time, in milliseconds.
const RAMP_UP_MS: f64 = 10_000.0;

/// Cost of each request above the share of an upstream that ramps up, in milliseconds.
const RAMP_UP_COST_MS: f64 = 250.0;

/// Link rate assumed where none is known, in bytes a millisecond.
const ASSUMED_LINK_BYTES_PER_MS: f64 = 1_250.0;

/// Fallback batch slots of an upstream that reports none.
const ASSUMED_SLOTS: f64 = 64.0;

/// What a request is expected to meet somewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Time before its own prefill starts, in milliseconds.
    pub wait_ms: f64,
    /// Time to its first token, in milliseconds.
    pub first_token_ms: f64,
    /// Gap between its tokens, in milliseconds.
    pub gap_ms: f64,
    /// Time that its own prefill takes, in milliseconds.
    pub prefill_ms: f64,
}

/// What an upstream would make any request meet; worked out once a change of
/// its load, and not once a decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Basis {
    /// Wait that does not depend on the request, in milliseconds.
    wait_ms: f64,
    /// Wait for a slot for each token of the answer, in milliseconds.
    slot_ms_per_answer_token: f64,
    /// Prefill of one token, in milliseconds.
    ms_per_token: f64,
    /// Gap between tokens, in milliseconds.
    gap_ms: f64,
}

impl Basis {
    /// The basis of an upstream's load as it is known now.
    pub fn of(room: &UpstreamRoom) -> Self {
        let load = &room.load;
        let ms_per_token = ms_per_token(load.prefill_rate_tokens_per_s);
        let queued_tokens = load.queued_tokens + room.sent_tokens;
        let reported = load.running_requests + load.queued_requests;
        let outstanding = f64::from(reported.max(room.own_in_flight));
        let gap_ms = gap_ms(load.running_requests, load.token_rate_milli);
        let slots = if load.max_running_requests == 0 {
            ASSUMED_SLOTS
        } else {
            f64::from(load.max_running_requests)
        };
        Self {
            wait_ms: queued_tokens as f64 * ms_per_token
                + outstanding * OUTSTANDING_COST_MS
                + ramp_up_ms(room, slots),
            slot_ms_per_answer_token: slot_wait_ms(outstanding, slots, 1, gap_ms),
            ms_per_token,
            gap_ms,
        }
    }
}

/// The tokens of a request, in the form that estimates need.
#[derive(Clone, Copy, Debug)]
pub struct RequestTokens {
    prompt_tokens: f64,
    answer_tokens: f64,
}

impl RequestTokens {
    /// The tokens of a request of which `cached_tokens` need no prefill.
    pub fn of(request: &RequestFacts, cached_tokens: u64) -> Self {
        Self {
            prompt_tokens: request.prompt_tokens.saturating_sub(cached_tokens) as f64,
            answer_tokens: request.answer_tokens as f64,
        }
    }
}

/// Expectation at an upstream.
#[inline]
pub fn at_upstream(room: &UpstreamRoom, tokens: &RequestTokens) -> Estimate {
    let unprepared;
    let basis = match &room.basis {
        Some(basis) => basis,
        None => {
            unprepared = Basis::of(room);
            &unprepared
        }
    };
    let prefill_ms = tokens.prompt_tokens * basis.ms_per_token;
    let wait_ms = basis.wait_ms + basis.slot_ms_per_answer_token * tokens.answer_tokens;
    let gap_ms = basis.gap_ms;
    Estimate { wait_ms, first_token_ms: wait_ms + prefill_ms + gap_ms, gap_ms, prefill_ms }
}

/// Expectation in a data centre that has `cached_tokens` of the prompt.
pub fn at_data_centre(
    room: &DataCentreRoom,
    request: &RequestFacts,
    cached_tokens: u64,
) -> Estimate {
    let upstreams = f64::from(room.upstreams.max(1));
    let ms_per_token = ms_per_token(room.prefill_rate_tokens_per_s);
    let queued_tokens = (room.queued_tokens + room.sent_tokens) as f64;
    let gap_ms = gap_ms(room.running_requests, room.token_rate_milli);
    let slots = f64::from(room.running_requests + room.free_slots);
    let full_by = if room.free_slots == 0 { slots } else { f64::from(room.running_requests) };
    let slot_wait_ms = slot_wait_ms(full_by, slots, request.answer_tokens, gap_ms);
    let computed_tokens = request.prompt_tokens.saturating_sub(cached_tokens) as f64;
    let prefill_ms = computed_tokens * upstreams * ms_per_token;
    let travel_ms = room.round_trip_ms as f64 + transfer_ms(room, request.body_bytes);
    let wait_ms = queued_tokens * ms_per_token + slot_wait_ms + travel_ms;
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

/// Wait for a batch slot when more requests are outstanding than slots exist.
fn slot_wait_ms(outstanding: f64, slots: f64, answer_tokens: u64, gap_ms: f64) -> f64 {
    if outstanding < slots || slots == 0.0 {
        return 0.0;
    }
    let excess = outstanding - slots + 1.0;
    excess * answer_tokens as f64 * gap_ms / slots
}

fn ramp_up_ms(room: &UpstreamRoom, slots: f64) -> f64 {
    let known_ms = room.known_ms as f64;
    if known_ms >= RAMP_UP_MS {
        return 0.0;
    }
    let share = 1.0 + slots * known_ms / RAMP_UP_MS;
    (f64::from(room.own_in_flight) - share).max(0.0) * RAMP_UP_COST_MS
}

fn transfer_ms(room: &DataCentreRoom, body_bytes: u64) -> f64 {
    let bytes_per_ms = if room.link_bytes_per_s == 0 {
        ASSUMED_LINK_BYTES_PER_MS
    } else {
        room.link_bytes_per_s as f64 / 1000.0
    };
    body_bytes as f64 / bytes_per_ms
}
