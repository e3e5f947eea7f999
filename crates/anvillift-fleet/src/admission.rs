//! Rejects prompts that the workers of a region can't process before their callers
//! leave.
//!
//! A worker processes the prompts of its batch side by side, so a backlog delays all
//! of them alike. Once the delay exceeds the patience of the callers, workers spend
//! their time on prompts whose callers have left, and hardly any prompt is answered,
//! although they are as fast as before. A share of the prompts is therefore rejected
//! at once while the backlog is large. It is a share, since every host of the region
//! sees the same backlog at the same time. Prompts of less urgent routes are rejected
//! first, and short prompts, which add next to nothing to the backlog, are not.

use crate::prompt::Prompt;

/// Backlog per worker above which prompts of less urgent routes are rejected, in
/// batches of prompt tokens.
const MAX_BACKLOG: f64 = 0.5;
/// The same for the most urgent routes of a service.
const MAX_URGENT_BACKLOG: f64 = 0.8;
/// Backlog above the limit at which the largest share is rejected, in batches.
const FULL_REJECTION_EXCESS: f64 = 0.5;
/// Largest share that is rejected. The rest keeps the workers busy if the reported
/// backlog is outdated.
const MAX_REJECTED_SHARE: f64 = 0.9;

/// Shortest prompt that may be rejected, in tokens.
const MIN_REJECTED_TOKENS: u64 = 3_000;

/// Whether a prompt may be rejected because of a backlog.
pub fn may_reject(prompt: &Prompt) -> bool {
    prompt.input_tokens >= MIN_REJECTED_TOKENS
}

/// Whether a long prompt is rejected. `backlog` is that of the region per worker, in
/// batches of prompt tokens; `draw` lies between 0 and 1.
pub fn rejects(backlog: f64, is_most_urgent: bool, draw: f64) -> bool {
    let limit = if is_most_urgent { MAX_URGENT_BACKLOG } else { MAX_BACKLOG };
    let share = (backlog - limit) / FULL_REJECTION_EXCESS;
    draw < share.min(MAX_REJECTED_SHARE)
}
