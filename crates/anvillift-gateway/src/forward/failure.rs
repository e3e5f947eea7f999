//! An attempt that gave no answer.

use anvillift_schema::code::Code;
use anvillift_schema::public::Outcome;

use crate::problem::Refusal;

/// Why an attempt failed, and whether it may have run.
#[derive(Clone, Debug, derive_more::Display)]
#[display("code {}, outcome {outcome}", code.number())]
pub(crate) struct AttemptFailure {
    pub(crate) code: Code,
    pub(crate) outcome: Outcome,
    pub(crate) retry_after_ms: Option<u64>,
}

impl AttemptFailure {
    /// No byte of the request reached anyone that could run it.
    pub(crate) fn not_run(code: Code) -> Self {
        Self { code, outcome: Outcome::NotRun, retry_after_ms: None }
    }

    /// The request may have run.
    pub(crate) fn unknown(code: Code) -> Self {
        Self { code, outcome: Outcome::Unknown, retry_after_ms: None }
    }

    /// The failure of a request whose earlier attempt failed as well: what may
    /// have run once may have run.
    pub(crate) fn after(self, earlier: Option<&Self>) -> Self {
        let outcome = earlier.map_or(self.outcome, |earlier| match earlier.outcome {
            Outcome::NotRun => self.outcome,
            unsure => unsure,
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
