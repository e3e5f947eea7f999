//! The request that admission passes on to forwarding and relaying.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use anvillift_fleet::{
    CallerId, Fingerprint, FleetTeam, Prompt, RequestFeatures, Route, VersionConstraint, homes,
};
use anvillift_http::RequestHead;
use anvillift_schema::name::Name;
use bytes::Bytes;

use crate::clock;
use crate::entry::front::Origin;
use crate::entry::served_request::ServedRequest;

/// Most parts of a prompt that a log line names.
const MAX_LOGGED_PARTS: usize = 8;

/// An admitted request, with the route and service that admission has chosen.
pub(crate) struct Request {
    /// Head as the caller sent it, without the fields removed at admission.
    pub(crate) head: RequestHead,
    /// Body, or `None` if the request has none.
    pub(crate) body: Option<Bytes>,
    /// Its part in the count of the requests in service.
    pub(crate) served: Rc<ServedRequest>,
    /// Id from the request id field.
    pub(crate) id: String,
    /// Id of the request that began the stream which this one resumes.
    pub(crate) resumes: Option<Name>,
    pub(crate) route: Arc<Route>,
    /// Team of the caller's key; `None` without teams, and for anonymous requests.
    pub(crate) team: Option<Arc<FleetTeam>>,
    /// Priority by the team, or else by the route; 0 is the most urgent.
    pub(crate) priority: u8,
    /// Service drawn from the targets of the route.
    pub(crate) service: Name,
    /// Token counts and shared prefix of the prompt, as stated by the caller.
    pub(crate) prompt: Prompt,
    /// Caller, as its connection or the forwarding host shows it.
    pub(crate) caller: CallerId,
    pub(crate) fingerprint: Fingerprint,
    /// By what it is recognised if it crashes workers.
    pub(crate) features: RequestFeatures,
    /// Key of the prefix whose cache decides between workers; `None` if the prefix is
    /// too short for that.
    pub(crate) affinity_key: Option<u64>,
    /// The software versions whose workers may serve the request.
    pub(crate) version_constraint: VersionConstraint,
    /// Whether a caller or another entry host sent the request.
    pub(crate) origin: Origin,
    /// Time at which the head was received.
    pub(crate) arrived_ms: u64,
    /// Time at which the caller's or the route's timeout ends.
    pub(crate) deadline_ms: u64,
    /// Minor version of HTTP/1 in the request line.
    pub(crate) minor_version: u8,
    /// Version of the configuration at admission.
    pub(crate) version: u64,
    /// Whether the demand of its team contains the request. The check for overload is repeated
    /// after a wait for a grant.
    pub(crate) is_demand_counted: Cell<bool>,
    /// Whether it is sent as a trial though it is quarantined.
    pub(crate) is_trial: Cell<bool>,
}

impl Request {
    /// Whether the request may run in a region.
    pub(crate) fn allows_region(&self, region: &str) -> bool {
        homes::allows_region(&self.route, self.team.as_deref(), region)
    }

    /// Name of the team for the log; empty without one.
    pub(crate) fn team_text(&self) -> &str {
        self.team.as_ref().map_or("", |team| team.name.as_str())
    }

    /// Time until the deadline, in milliseconds.
    pub(crate) fn remaining_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(clock::now_ms())
    }

    /// Time since the head was received, in milliseconds.
    pub(crate) fn age_ms(&self) -> u64 {
        clock::now_ms().saturating_sub(self.arrived_ms)
    }

    /// Fingerprints for the log, hexadecimal: that of the content, and that of the content
    /// and the caller.
    pub(crate) fn fingerprint_text(&self) -> String {
        let Fingerprint { content, of_caller } = self.fingerprint;
        format!("{content:016x},{of_caller:016x}")
    }

    /// Ids of the shared parts of the prompt for the log, hexadecimal and separated by
    /// commas, the first [`MAX_LOGGED_PARTS`] of them.
    pub(crate) fn parts_text(&self) -> String {
        let parts = self.prompt.shared_parts.iter().take(MAX_LOGGED_PARTS);
        let ids: Vec<String> = parts.map(|part| format!("{:x}", part.id)).collect();
        ids.join(",")
    }
}
