//! Decides whether a worker may get a request at all.
//!
//! Every way to a worker asks [`check`]: first attempts, retries, resumed streams, and
//! requests that another host forwards. Among the workers that may, [`choose`](crate::choose)
//! ranks by health, cold starts and load.

use std::collections::BTreeSet;

use anvillift_schema::fleet::FleetWorkerState;
use anvillift_schema::name::Name;

use crate::version_constraint::VersionConstraint;
use crate::worker_entry::WorkerEntry;
use crate::worker_notices::WorkerNotice;

/// Why a worker may not get a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub enum Ineligible {
    /// Its reports say that it drains or has left, or they have stopped.
    #[display("not_ready")]
    NotReady,
    /// Its data centre is under evacuation.
    #[display("evacuated")]
    Evacuated,
    /// The request was sent to it before.
    #[display("tried")]
    Tried,
    /// The request resumes a stream of another software version.
    #[display("other_version")]
    OtherVersion,
    /// Its start is said to have crashed, so that its version is not known, and the request is one
    /// for a stream that may be resumed.
    #[display("version_doubted")]
    VersionDoubted,
    /// It has said in an answer that it is leaving.
    #[display("leaving")]
    Leaving,
    /// It has asked for a pause that lasts until this time, in milliseconds.
    #[display("paused")]
    Paused {
        /// End of the pause.
        until_ms: u64,
    },
    /// It has named a limit on the requests of all hosts, and this host has no turn for a
    /// time, in milliseconds.
    #[display("limited")]
    Limited {
        /// Time until the next turn.
        wait_ms: u64,
    },
    /// It is brittle, and this host's share of its room is used.
    #[display("full")]
    Full,
}

/// Facts about a request and a worker.
#[derive(Clone, Copy, Debug)]
pub struct EligibilityFacts<'a> {
    /// Current time, in milliseconds.
    pub now_ms: u64,
    /// The worker, as its reports describe it.
    pub worker: &'a WorkerEntry,
    /// What the worker has said in its answers to this host.
    pub notice: WorkerNotice,
    /// Time until this host may send the worker a request under the limit that the worker
    /// has named, in milliseconds; 0 if it may now.
    pub limit_wait_ms: u64,
    /// Whether this host's share of the room of the worker, if it is brittle, is not used.
    pub has_room: bool,
    /// Data centres under evacuation.
    pub evacuated: &'a [Name],
    /// Workers to which the request was sent before.
    pub tried: &'a BTreeSet<Name>,
    /// Versions at which the request may be served.
    pub version_constraint: &'a VersionConstraint,
    /// Whether the version at which the request is served has to be known.
    pub needs_known_version: bool,
}

/// Checks whether a worker may get a request.
pub fn check(facts: &EligibilityFacts<'_>) -> Result<(), Ineligible> {
    let report = &facts.worker.report;
    if report.state != FleetWorkerState::Ready {
        return Err(Ineligible::NotReady);
    }
    if facts.evacuated.contains(&report.data_centre) {
        return Err(Ineligible::Evacuated);
    }
    if facts.tried.contains(&report.id) {
        return Err(Ineligible::Tried);
    }
    if !facts.version_constraint.allows(report.version.as_ref()) {
        return Err(Ineligible::OtherVersion);
    }
    if facts.needs_known_version && facts.worker.is_version_doubted(facts.now_ms) {
        return Err(Ineligible::VersionDoubted);
    }
    if facts.notice.leaving_since_ms.is_some() {
        return Err(Ineligible::Leaving);
    }
    if facts.notice.is_paused(facts.now_ms) {
        return Err(Ineligible::Paused { until_ms: facts.notice.paused_until_ms });
    }
    if facts.limit_wait_ms > 0 {
        return Err(Ineligible::Limited { wait_ms: facts.limit_wait_ms });
    }
    if !facts.has_room {
        return Err(Ineligible::Full);
    }
    Ok(())
}
