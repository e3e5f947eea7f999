//! One planned request.

use std::time::Duration;

use anvillift_schema::name::Name;

use super::experiment::ClassKind;

/// A request and when it is sent.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time since the start of the load.
    pub at: Duration,
    /// Number in the plan.
    pub number: u64,
    /// Region it comes from.
    pub region: Name,
    /// Its class.
    pub class: Name,
    /// Kind of its class.
    pub kind: ClassKind,
    /// Service asked.
    pub service: Name,
    /// History that the prompt begins with.
    pub history: u32,
    /// Length of the history.
    pub history_tokens: u64,
    /// Length of what follows.
    pub question_tokens: u64,
    /// Length of the answer.
    pub answer_tokens: u32,
    /// Deadline told.
    pub deadline_ms: u64,
    /// Seed of texts and keys.
    pub seed: u64,
}
