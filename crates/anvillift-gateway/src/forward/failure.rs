//! Failure of an attempt that produced no answer.

use anvillift_schema::code::Code;
use anvillift_schema::public::Outcome;

use crate::problem::Refusal;

/// Why an attempt failed, and whether the upstream may have run the request.
#[derive(Clone, Debug, derive_more::Display)]
#[display("code {}, outcome {outcome}", code.number())]
pub(crate) struct AttemptFailure {
    pub(crate) code: Code,
    pub(crate) outcome: Outcome,
    pub(crate) retry_after_ms: Option<u64>,
}

impl AttemptFailure {
    /// A failure where no byte of the request reached a host or upstream that could run it.
    pub(crate) fn not_run(code: Code) -> Self {
        Self { code, outcome: Outcome::NotRun, retry_after_ms: None }
    }

    /// A failure where the upstream may have run the request.
    pub(crate) fn unknown(code: Code) -> Self {
        Self { code, outcome: Outcome::Unknown, retry_after_ms: None }
    }

    /// Combines this failure with that of an earlier attempt of the same request. The outcome of
    /// the earlier attempt is kept if the request may have run in it.
    pub(crate) fn combine_with(self, earlier: Option<&Self>) -> Self {
        let outcome = earlier.map_or(self.outcome, |earlier| match earlier.outcome {
            Outcome::NotRun => self.outcome,
            may_have_run => may_have_run,
        });
        Self { outcome, ..self }
    }

    pub(crate) fn is_not_run(&self) -> bool {
        self.outcome == Outcome::NotRun
    }

    pub(crate) fn refusal(&self) -> Refusal {
        let outcome = self.outcome;
        Refusal { outcome, retry_after_ms: self.retry_after_ms, ..Refusal::from(self.code) }
    }
}
