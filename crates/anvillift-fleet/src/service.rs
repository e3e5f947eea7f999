//! Services and the limits of their workers.

use anvillift_schema::name::Name;

/// Capacity of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Most requests in one batch.
    pub slots: u64,
    /// Memory for prompts and running requests, in tokens.
    pub memory_tokens: u64,
}

/// A service with the limits of its workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name that routes refer to.
    pub name: Name,
    /// Most connections that a worker accepts from all hosts together.
    pub connection_limit: u64,
    /// Path of the status check of its workers.
    pub health_path: String,
    /// Requests per second that a cold worker can take from all hosts together; 0
    /// if cold workers need no limit.
    pub cold_per_s: f64,
    /// Capacity of the engine, for a service that runs a model.
    pub engine: Option<Engine>,
}
