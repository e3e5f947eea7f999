//! Rejects prompts that the workers of a region can't process before their callers
//! leave.
//!
//! A worker processes the prompts of its batch side by side, so a backlog delays all
//! of them alike. Once the delay exceeds the patience of the callers, workers spend
//! their time on prompts whose callers have left, and hardly any prompt is answered,
//! although they are as fast as before. A share of the prompts is therefore rejected
//! at once while the backlog is large. It is a share, since every host of the region
//! sees the same backlog at the same time. Prompts of less urgent routes are rejected
//! first, and short prompts, which add next to nothing to the backlog, are not. Those are
//! limited by what a host has in flight ([`crate::ConcurrencyLimit`]).

use crate::prompt::Prompt;
use crate::prompt_size::PromptSize;

/// Expected wait from which prompts of less urgent routes are rejected, as a multiple
/// of the target latency.
const MAX_WAIT: f64 = 0.8;
/// The same for the most urgent routes of a service.
const MAX_URGENT_WAIT: f64 = 1.2;
/// Wait above the limit at which the largest share is rejected, as a multiple of the
/// target latency.
const FULL_REJECTION_EXCESS: f64 = 0.75;
/// Largest share that is rejected. The rest keeps the workers busy if the reported
/// backlog is outdated.
const MAX_REJECTED_SHARE: f64 = 0.9;

/// Whether a prompt may be rejected because of a backlog.
pub fn may_reject(prompt: &Prompt) -> bool {
    prompt.size() == PromptSize::Long
}

/// The wait that is expected for a prompt when it arrives.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedWait {
    /// Time until the workers have processed the present backlog, in milliseconds.
    /// The prompt itself does not count, so that a long one is not rejected where
    /// nothing waits.
    pub wait_ms: f64,
    /// Target latency of the route, in milliseconds; 0 if it has none, and then
    /// nothing is rejected.
    pub target_ms: u64,
    /// Whether no route to the service is more urgent.
    pub is_most_urgent: bool,
}

/// Whether a long prompt is rejected; `draw` lies between 0 and 1.
pub fn rejects(expected: &ExpectedWait, draw: f64) -> bool {
    if expected.target_ms == 0 {
        return false;
    }
    let limit = if expected.is_most_urgent { MAX_URGENT_WAIT } else { MAX_WAIT };
    let wait = expected.wait_ms / expected.target_ms as f64;
    let share = (wait - limit) / FULL_REJECTION_EXCESS;
    draw < share.min(MAX_REJECTED_SHARE)
}
