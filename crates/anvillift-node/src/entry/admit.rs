//! Admission of a request: finds its route, service and deadline, and strips
//! header fields that are not forwarded.

use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;

use anvillift_fleet::{
    CallerId, Fingerprint, Prompt, RequestContent, RequestFeatures, VersionConstraint, choose,
    homes, team_table,
};
use anvillift_http::RequestHead;
use anvillift_schema::name::Name;
use bytes::Bytes;
use rand::Rng;

use crate::clock;
use crate::entry::Entry;
use crate::entry::forward_headers::{
    CALLER_HEADER, CONFIGURATION_HEADER, FORWARDED_FROM_HEADER, NOT_RUN_HEADER, SERVICE_HEADER,
    STREAM_VERSION_HEADER, TEAM_HEADER, TRIAL_HEADER,
};
use crate::entry::front::Origin;
use crate::entry::request::Request;
use crate::entry::request_failure::RequestFailure;
use crate::entry::request_progress::RequestProgress;
use crate::entry::served_request::ServedRequest;
use crate::fleet_view::FleetView;

impl Entry {
    /// Checks that a request has a route and an id, and derives its service and
    /// deadline. The route's timeout limits the caller's deadline.
    pub(crate) fn admit(
        &self,
        served: &Rc<ServedRequest>,
        mut head: RequestHead,
        body: Option<Bytes>,
        origin: Origin,
        peer: Option<IpAddr>,
        arrived_ms: u64,
    ) -> Result<Request, RequestFailure> {
        let names = &self.node.dialect.headers;
        let view = self.node.view.borrow();
        let Some(configuration) = &view.configuration else {
            return Err(RequestFailure::NO_CONFIGURATION);
        };
        let host = head.headers.get("host").unwrap_or_default();
        let route = view.routes.find(host, head.path()).cloned();
        let team = self.team_of(&view, configuration, &head, route.as_deref(), origin)?;
        let Some(route) = route else {
            let is_behind = newer_service(&head, origin, configuration.version).is_some();
            let behind = RequestFailure::CONFIGURATION_BEHIND;
            return Err(if is_behind { behind } else { RequestFailure::NO_ROUTE });
        };
        if team.as_ref().is_some_and(|team| homes::are_disjoint(&route, team)) {
            return Err(RequestFailure::NO_COMMON_HOME);
        }
        let Some(id) = head.headers.get(names.request_id).map(str::to_owned) else {
            return Err(RequestFailure::NO_REQUEST_ID);
        };
        let requested_ms = head.headers.get(names.deadline_ms).and_then(|text| text.parse().ok());
        let timeout_ms = requested_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
        let service = match newer_service(&head, origin, configuration.version) {
            Some(service) if !configuration.services.contains_key(&service) => {
                return Err(RequestFailure::CONFIGURATION_BEHIND);
            }
            Some(service) => service,
            None => {
                let draw = self.dispatch.borrow_mut().rng.random();
                let service = route.target(draw).map(|target| target.service.clone());
                service.unwrap_or_else(Name::default)
            }
        };
        let deadline_ms = arrived_ms + timeout_ms;
        if !self.stop_admits(&route, &service, deadline_ms.saturating_sub(clock::now_ms())) {
            return Err(RequestFailure::DRAINING);
        }
        let prompt = (self.node.dialect.decode_prompt)(&head.headers);
        let version_constraint = version_constraint(&head, origin);
        let caller = self.caller_of(&head, origin, peer);
        let content = RequestContent {
            method: &head.method,
            host,
            target: &head.target,
            body: body.as_deref().unwrap_or_default(),
        };
        let fingerprint = Fingerprint::of(&content, caller);
        let features = RequestFeatures::new(&prompt, fingerprint);
        let resumes = head.headers.get(names.resumes).map(Name::from);
        let affinity_key = self.affinity_key(&view, &service, &prompt, origin);
        let minor_version = head.minor_version;
        let is_trial = origin == Origin::Host && head.headers.contains(TRIAL_HEADER);
        self.strip_headers(&mut head, !configuration.teams.is_empty());
        served.set_progress(RequestProgress::NotRun);
        Ok(Request {
            served: Rc::clone(served),
            head,
            body,
            id,
            resumes,
            priority: team_table::priority(&route, team.as_deref()),
            route,
            team,
            service,
            prompt,
            caller,
            fingerprint,
            features,
            affinity_key,
            version_constraint,
            origin,
            arrived_ms,
            deadline_ms,
            minor_version,
            version: configuration.version,
            is_demand_counted: Cell::new(false),
            is_trial: Cell::new(is_trial),
        })
    }

    /// The caller of a request; the host that forwards one states it.
    fn caller_of(&self, head: &RequestHead, origin: Origin, peer: Option<IpAddr>) -> CallerId {
        if origin == Origin::Host {
            let stated = head.headers.get(CALLER_HEADER).and_then(CallerId::parse);
            return stated.unwrap_or_default();
        }
        let field = self.node.dialect.headers.credentials;
        let credentials = head.headers.all(field).next().filter(|_| !field.is_empty());
        CallerId::of(credentials.map(AsRef::as_ref), peer)
    }

    /// The affinity key of a prompt, which is counted if a caller of this host sent it.
    fn affinity_key(
        &self,
        view: &FleetView,
        service: &Name,
        prompt: &Prompt,
        origin: Origin,
    ) -> Option<u64> {
        if !choose::has_affinity(prompt) {
            return None;
        }
        let workers = view.workers.ready(service).count();
        let mut dispatch = self.dispatch.borrow_mut();
        let counts = dispatch.prefix_counts.entry(service.clone()).or_default();
        if origin == Origin::Caller {
            counts.record(prompt);
        }
        counts.deciding_key(prompt, workers)
    }

    /// Removes the fields that concern the caller's connection, those that are
    /// set for each attempt, and those that only this system may set. Where there are
    /// teams, credentials are keys, which workers never get.
    fn strip_headers(&self, head: &mut RequestHead, has_teams: bool) {
        let names = &self.node.dialect.headers;
        head.headers.remove_hop_by_hop();
        let own_fields = [
            names.deadline_ms,
            names.expected_worker,
            names.engine_priority,
            names.team,
            FORWARDED_FROM_HEADER,
            CALLER_HEADER,
            TEAM_HEADER,
            STREAM_VERSION_HEADER,
            TRIAL_HEADER,
            CONFIGURATION_HEADER,
            SERVICE_HEADER,
        ];
        let framing = ["content-length", "expect", NOT_RUN_HEADER];
        head.headers.retain(|name| {
            let keys = has_teams.then_some(&names.credentials);
            let dropped = own_fields.iter().chain(&framing).chain(names.system_only).chain(keys);
            !dropped.into_iter().any(|other| name.eq_ignore_ascii_case(other.as_bytes()))
        });
    }
}

/// The versions that the host which forwards a request allows. Callers can't state any.
fn version_constraint(head: &RequestHead, origin: Origin) -> VersionConstraint {
    let stated = head.headers.get(STREAM_VERSION_HEADER).filter(|_| origin == Origin::Host);
    stated.map_or(VersionConstraint::Any, |version| VersionConstraint::Only(Name::from(version)))
}

/// The service that the host which forwards a request has chosen by a newer configuration than this
/// host has; `None` if this host's own counts.
fn newer_service(head: &RequestHead, origin: Origin, own_version: u64) -> Option<Name> {
    if origin != Origin::Host {
        return None;
    }
    let version: u64 = head.headers.get(CONFIGURATION_HEADER)?.parse().ok()?;
    let service = head.headers.get(SERVICE_HEADER)?;
    (version > own_version).then(|| Name::from(service))
}
