//! One attempt of a dispatching host to run a command.
//!
//! The host asks an [`Attempt`] what to do and tells it what came of it. The
//! attempt says `not_run` only when it alone could still send and has decided
//! not to. A host that was frozen after reserving finds the dispatch deadline
//! passed on its monotonic clock and sends nothing.

use anvillift_schema::code::Code;
use anvillift_schema::ledger::{LedgerOperation, LedgerVerdict};
use anvillift_schema::name::Name;
use anvillift_schema::public::Outcome;

/// Settings of an [`Attempt`].
#[derive(Clone, Debug, Default)]
pub struct AttemptSettings {
    /// Hash of the scope and key.
    pub key_hash: String,
    /// Hash of what the request asks for.
    pub body_hash: String,
    /// Id of the attempt, never used again.
    pub attempt: Name,
    /// Own host and incarnation.
    pub holder: Name,
    /// Time from which the key is kept.
    pub issued_unix_ms: u64,
    /// How long the key is kept, in milliseconds.
    pub retention_ms: u64,
    /// The command must be sent within this time, in milliseconds.
    pub dispatch_within_ms: u64,
}

/// Why a proposal has no verdict.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoVerdict {
    /// It was certainly not taken into the log.
    NotTaken,
    /// It may still be.
    Unknown,
}

/// What came of sending.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SendResult {
    /// Not one byte was sent.
    NotSent,
    /// A whole answer came.
    Answered {
        /// HTTP status.
        status: u16,
        /// Hash of the whole answer.
        answer_hash: String,
    },
    /// The upstream broke off, or its answer is not whole.
    Broke,
    /// No answer came in time.
    TimedOut,
}

/// What the dispatching host does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Send the command, once.
    Send,
    /// Answer the caller; propose `settle` until it is recorded.
    Finish {
        /// The answer.
        answer: Answer,
        /// What the ledger is to be told.
        settle: Option<LedgerOperation>,
    },
}

/// What the caller is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The upstream's answer, which the host holds.
    Whole,
    /// The answer of an earlier attempt with this hash.
    Replay {
        /// HTTP status.
        status: u16,
        /// Hash of the whole answer.
        answer_hash: String,
    },
    /// A result code and whether the command ran.
    Refused {
        /// Code.
        code: Code,
        /// Whether the command ran.
        outcome: Outcome,
    },
}

/// An attempt of the own host.
#[derive(Clone, Debug)]
pub struct Attempt {
    settings: AttemptSettings,
    started_ms: u64,
    may_send: bool,
}

impl Attempt {
    /// An attempt that reserves its key at `now_ms`.
    pub fn new(settings: AttemptSettings, now_ms: u64) -> Self {
        Self { settings, started_ms: now_ms, may_send: false }
    }

    /// The reservation to propose.
    pub fn reservation(&self) -> LedgerOperation {
        let settings = &self.settings;
        LedgerOperation::Reserve {
            key_hash: settings.key_hash.clone(),
            body_hash: settings.body_hash.clone(),
            attempt: settings.attempt.clone(),
            holder: settings.holder.clone(),
            dispatch_within_ms: settings.dispatch_within_ms,
            issued_unix_ms: settings.issued_unix_ms,
            retention_ms: settings.retention_ms,
        }
    }

    /// Takes the verdict on the reservation. `is_silent` says whether a holder, host
    /// and incarnation, will not be heard again as such.
    pub fn reserved(
        &mut self,
        now_ms: u64,
        verdict: Result<LedgerVerdict, NoVerdict>,
        is_silent: impl Fn(&Name) -> bool,
    ) -> Step {
        match verdict {
            Ok(LedgerVerdict::Reserved(true)) => {
                self.may_send = true;
                self.check_deadline(now_ms)
            }
            Ok(LedgerVerdict::Ran { status, answer_hash }) => {
                Step::Finish { answer: Answer::Replay { status, answer_hash }, settle: None }
            }
            Ok(LedgerVerdict::InProgress { attempt, holder }) => {
                if !is_silent(&holder) {
                    return refuse(Code::CommandInProgress, Outcome::Unknown, None);
                }
                let settle = self.abandonment(attempt, false);
                refuse(Code::CommandUnknown, Outcome::Unknown, Some(settle))
            }
            Ok(LedgerVerdict::Unknown(_)) => refuse(Code::CommandUnknown, Outcome::Unknown, None),
            Ok(LedgerVerdict::Mismatch(_)) => refuse(Code::CommandMismatch, Outcome::NotRun, None),
            Ok(LedgerVerdict::Expired(_)) => refuse(Code::CommandExpired, Outcome::NotRun, None),
            Err(NoVerdict::NotTaken) | Ok(LedgerVerdict::Full(_)) => {
                refuse(Code::LedgerUnavailable, Outcome::NotRun, None)
            }
            Err(NoVerdict::Unknown) | Ok(_) => {
                refuse(Code::LedgerUnavailable, Outcome::NotRun, Some(self.release()))
            }
        }
    }

    /// Whether the command may be sent at `now_ms`; to be asked right before sending.
    pub fn check_deadline(&mut self, now_ms: u64) -> Step {
        let elapsed_ms = now_ms.saturating_sub(self.started_ms);
        if self.may_send && elapsed_ms <= self.settings.dispatch_within_ms {
            return Step::Send;
        }
        self.may_send = false;
        refuse(Code::DispatchTooLate, Outcome::NotRun, Some(self.release()))
    }

    /// Gives up a reservation without having sent.
    pub fn give_up(&mut self, code: Code) -> Step {
        self.may_send = false;
        refuse(code, Outcome::NotRun, Some(self.release()))
    }

    /// Takes what came of sending.
    pub fn sent(&mut self, result: SendResult) -> Step {
        self.may_send = false;
        let attempt = self.settings.attempt.clone();
        match result {
            SendResult::NotSent => self.give_up(Code::UpstreamUnreachable),
            SendResult::Answered { status, answer_hash } => {
                let key_hash = self.settings.key_hash.clone();
                let settle = LedgerOperation::Complete { key_hash, attempt, status, answer_hash };
                Step::Finish { answer: Answer::Whole, settle: Some(settle) }
            }
            SendResult::Broke => {
                let settle = self.abandonment(attempt, false);
                refuse(Code::UpstreamBroke, Outcome::Unknown, Some(settle))
            }
            SendResult::TimedOut => {
                let settle = self.abandonment(attempt, false);
                refuse(Code::UpstreamTimeout, Outcome::Unknown, Some(settle))
            }
        }
    }

    fn release(&self) -> LedgerOperation {
        self.abandonment(self.settings.attempt.clone(), true)
    }

    fn abandonment(&self, attempt: Name, not_run: bool) -> LedgerOperation {
        LedgerOperation::Abandon { key_hash: self.settings.key_hash.clone(), attempt, not_run }
    }
}

fn refuse(code: Code, outcome: Outcome, settle: Option<LedgerOperation>) -> Step {
    Step::Finish { answer: Answer::Refused { code, outcome }, settle }
}
