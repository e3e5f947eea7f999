//! Services.

use anvillift_schema::name::Name;

/// A model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u64,
    /// Memory for prompts and running requests, in tokens.
    pub memory_tokens: u64,
}

/// A service with the limits of its workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Name,
    /// Connections that a worker takes from all hosts together.
    pub connection_limit: u64,
    /// Requests a second that a cold worker bears; 0 where it doesn't matter.
    pub cold_per_s: f64,
    /// Engine, for a model service.
    pub engine: Option<Engine>,
}
