//! The attempts of one request.

use std::collections::BTreeSet;

use anvillift_fleet::retry_decision::RequestState;
use anvillift_fleet::{InFlightRequest, VersionConstraint, retry_decision};
use anvillift_schema::name::Name;

use crate::entry::front::Origin;
use crate::entry::request::Request;
use crate::entry::target::Target;

/// The attempts made for a request so far.
#[derive(Default)]
pub(crate) struct Attempts {
    /// Workers and hosts that were tried; none is tried twice.
    pub(crate) tried: BTreeSet<Name>,
    pub(crate) attempt_count: u32,
    /// Attempts in which a worker may have executed the request.
    pub(crate) run_count: u32,
    /// Workers of this region that could not be reached.
    pub(crate) unreachable_workers: u32,
    /// Whether the request has waited for an entry host that reaches its workers.
    pub(crate) has_waited_for_host: bool,
    /// The software versions whose workers may take the next attempt.
    pub(crate) version_constraint: VersionConstraint,
}

/// An attempt that counts as in flight at its target.
pub(crate) struct StartedAttempt {
    pub(crate) target: Target,
    pub(crate) in_flight: InFlightRequest,
    pub(crate) began_ms: u64,
}

impl Attempts {
    /// No attempts yet.
    pub(crate) fn of(request: &Request) -> Self {
        Self { version_constraint: request.version_constraint.clone(), ..Self::default() }
    }

    /// `is_suspected` is whether the request may be the cause of crashes of workers.
    pub(crate) fn state(&self, request: &Request, is_suspected: bool) -> RequestState {
        let is_forwarded = request.origin == Origin::Host;
        RequestState {
            kind: request.route.kind,
            run_count: self.run_count,
            max_runs: retry_decision::max_runs_here(request.route.attempts, is_forwarded),
            attempt_count: self.attempt_count,
            is_suspected,
            left_ms: request.remaining_ms(),
        }
    }
}
