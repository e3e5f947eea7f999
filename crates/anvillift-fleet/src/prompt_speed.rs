//! How fast the workers of a service process prompts.
//!
//! The speed differs between deployments by model, machine and how much of a prompt
//! is cached, so it is measured: the tokens that a worker had to process until an
//! answer began, over the time that this took. Until answers are known a usual speed
//! is assumed, since workers that are overloaded from the start answer nothing by
//! which it could be measured.

/// Speed that is assumed at first, in tokens per millisecond.
const ASSUMED_TOKENS_PER_MS: f64 = 50.0;
/// Time of answers for which the assumed speed counts, in milliseconds.
const ASSUMED_ELAPSED_MS: f64 = 2_000.0;
/// Share of the sums that is kept at each answer, so that old answers fade.
const KEPT_SHARE: f64 = 0.97;

/// Recent answers of the workers of a service to long prompts.
#[derive(Clone, Copy, Debug)]
pub struct PromptSpeed {
    processed_tokens: f64,
    elapsed_ms: f64,
}

impl Default for PromptSpeed {
    fn default() -> Self {
        Self {
            processed_tokens: ASSUMED_TOKENS_PER_MS * ASSUMED_ELAPSED_MS,
            elapsed_ms: ASSUMED_ELAPSED_MS,
        }
    }
}

impl PromptSpeed {
    /// Records that an answer began after `first_ms`, where the worker processed
    /// `tokens` in that time: those of the prompt and of the prompts beside it.
    pub fn record(&mut self, tokens: f64, first_ms: u64) {
        self.processed_tokens = self.processed_tokens * KEPT_SHARE + tokens;
        self.elapsed_ms = self.elapsed_ms * KEPT_SHARE + first_ms.max(1) as f64;
    }

    /// Time in which a worker processes so many tokens, in milliseconds.
    pub fn duration_ms(&self, tokens: f64) -> f64 {
        tokens * self.elapsed_ms / self.processed_tokens.max(1.0)
    }
}
