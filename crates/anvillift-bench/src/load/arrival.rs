//! Planned request of an experiment.

use std::time::Duration;

use anvillift_schema::name::Name;

use super::experiment::ClassKind;

/// Request of a plan, with its time and everything its text depends on.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Planned send time, counted from the start of the load.
    pub at: Duration,
    /// Position in the plan, from 0.
    pub number: u64,
    /// Region whose hosts receive the request.
    pub region: Name,
    /// Name of the request class in the experiment file.
    pub class: Name,
    /// Kind of the class, which decides the form of the request.
    pub kind: ClassKind,
    /// Name of the service that the request is for.
    pub service: Name,
    /// Number of the history with which the prompt begins.
    pub history: u32,
    /// Length of the history in tokens.
    pub history_tokens: u64,
    /// Length of the prompt after the history, in tokens.
    pub question_tokens: u64,
    /// Requested length of the answer, in tokens.
    pub answer_tokens: u32,
    /// Deadline sent with the request, in milliseconds.
    pub deadline_ms: u64,
    /// Seed of the plan, from which prompt texts are generated.
    pub seed: u64,
}
