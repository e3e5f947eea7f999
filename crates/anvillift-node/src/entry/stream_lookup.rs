//! Finds the software version at which a request that resumes a stream may be served.
//!
//! [`Entry::find_stream_version`] looks it up in the own records, and else asks the cores. Links to
//! them may be down at that moment: this host has stood still, or connections were reset. Each core
//! is asked again when a link to it comes up, until the answers decide or [`LOOKUP_TIMEOUT`] is
//! over. The policy is [`StreamLookup`](anvillift_fleet::StreamLookup).

use std::time::Duration;

use anvillift_fleet::stream_origin::KnownVersion;
use anvillift_fleet::{
    LookupCore, LookupState, OwnKnowledge, StreamKey, StreamLookup, VersionConstraint,
};
use anvillift_http::Connection;
use anvillift_schema::event::Event;
use anvillift_schema::fleet::{
    FleetFrame, FleetHost, FleetHostRole, FleetStreamAnswer, FleetStreamEvidence, FleetStreamQuery,
};
use anvillift_schema::name::Name;
use tokio::time;

use crate::clock;
use crate::entry::Entry;
use crate::entry::request::Request;
use crate::entry::stream_lookups::{Answers, CoreAnswer};

/// Longest wait for the answers of cores. It covers a new link to a distant region, with its
/// handshakes, and a round trip over it.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without a link after which a core is not waited for: it has failed, or is cut off.
const LINK_RECOVERY_TIME: Duration = Duration::from_millis(2_000);
/// What the answer of a host that does not say it may be based on at least.
const EVIDENCE_OF_OLDER_HOSTS: FleetStreamEvidence = FleetStreamEvidence::OnlyVersionForRetention;

/// Result of a lookup.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum LookupOutcome {
    /// The request may be sent to workers that the constraint allows.
    Found(VersionConstraint),
    /// Nobody knows which version began the stream.
    Unknown,
    /// The caller closed its connection.
    CallerLeft,
}

/// A version, or that nobody knows it, and how it was found.
#[derive(Clone, Debug)]
struct LookupResult {
    version: Option<Name>,
    /// Who was asked: `own` records or `cores`.
    source: &'static str,
    /// Cores that may know.
    known_cores: usize,
    /// Those to which a link was up when the lookup began.
    linked_cores: usize,
    /// Answers that arrived.
    answers: usize,
}

impl LookupResult {
    fn of_own_record(version: Name) -> Self {
        Self { version: Some(version), source: "own", known_cores: 0, linked_cores: 0, answers: 0 }
    }
}

impl Entry {
    /// Finds the version at which a request may be served: any, unless it resumes a
    /// stream.
    pub(super) async fn find_stream_version(
        &self,
        caller: &mut Connection,
        request: &Request,
    ) -> LookupOutcome {
        if let VersionConstraint::Only(_) = &request.version_constraint {
            return LookupOutcome::Found(request.version_constraint.clone());
        }
        if !self.resumes_stream(request) {
            return LookupOutcome::Found(VersionConstraint::Any);
        }
        let began_ms = clock::now_ms();
        // Nobody has a record of the request's own id, so without an id of the stream
        // only a version that is certain is found.
        let id = request.resumes.as_ref().map_or(request.id.as_str(), Name::as_str);
        let stream = StreamKey::of_request(id);
        let recorded = self.node.view.borrow().streams.version(stream).cloned();
        if let Some(version) = recorded {
            return log_result(request, LookupResult::of_own_record(version), began_ms);
        }
        let timeout = LOOKUP_TIMEOUT.min(Duration::from_millis(request.remaining_ms()));
        tokio::select! {
            result = self.ask_cores(stream, &request.service, timeout) => {
                log_result(request, result, began_ms)
            }
            () = caller.wait_for_close() => {
                log_caller_left(request, began_ms);
                LookupOutcome::CallerLeft
            }
        }
    }

    /// Whether a request asks for the rest of a stream whose start its caller has.
    pub(super) fn resumes_stream(&self, request: &Request) -> bool {
        let last_event_id = self.node.dialect.headers.last_event_id;
        request.route.kind.is_stream()
            && (request.resumes.is_some() || request.head.headers.contains(last_event_id))
    }

    async fn ask_cores(
        &self,
        stream: StreamKey,
        service: &Name,
        timeout: Duration,
    ) -> LookupResult {
        let linked = self.stream_cores();
        let cores = self.cores_that_may_know(&linked);
        let (known_cores, linked_cores) = (cores.len(), linked.len());
        let mut lookup = StreamLookup::new(cores);
        let query = FleetStreamQuery { stream: stream.0, service: service.clone() };
        let answers = self.stream_lookups.borrow_mut().begin(query.clone());
        if let Some(hub) = self.node.hub() {
            linked.iter().for_each(|core| hub.send(core, FleetFrame::StreamWanted(query.clone())));
        }
        // What this host knows may change while it waits, so that it is determined anew each time.
        let own = || self.own_knowledge(stream, service);
        let decided = time::timeout(timeout, collect_answers(&mut lookup, answers, own)).await;
        let version = decided.unwrap_or_else(|_| lookup.state_at_timeout(&own()));
        let answers = lookup.answer_count();
        LookupResult { version, source: "cores", known_cores, linked_cores, answers }
    }

    fn own_knowledge(&self, stream: StreamKey, service: &Name) -> OwnKnowledge {
        let view = self.node.view.borrow();
        OwnKnowledge {
            version: view.known_version(stream, service),
            core_regions: view.hosts.core_regions().clone(),
        }
    }

    /// Cores that may have a record of a stream: a link to them is up, or was up a moment ago.
    /// Right after the start these are also hosts of which nothing but the name is known.
    fn cores_that_may_know(&self, linked: &[Name]) -> Vec<LookupCore> {
        let Some(hub) = self.node.hub() else { return Vec::new() };
        let hosts = &self.node.view.borrow().hosts;
        let mut names = hub.linked_within(LINK_RECOVERY_TIME);
        names.retain(|name| hosts.get(name).is_none_or(answers_stream_queries));
        let describe = |name: Name| LookupCore {
            is_awaited: hosts.get(&name).is_none() || linked.contains(&name),
            name,
        };
        names.into_iter().map(describe).collect()
    }

    /// Passes the answer of a core on to the lookups of its stream.
    pub(super) fn on_stream_answer(&self, from: &Name, answer: FleetStreamAnswer) {
        let region = self.node.view.borrow().hosts.get(from).map(|host| host.region.clone());
        let Some(region) = region else { return };
        let known = answer.version.map(|version| KnownVersion {
            version,
            evidence: answer.evidence.unwrap_or(EVIDENCE_OF_OLDER_HOSTS),
        });
        let core_answer = CoreAnswer { core: from.clone(), region, known };
        self.stream_lookups.borrow().add_answer(StreamKey(answer.stream), &core_answer);
    }

    /// The queries for a host to which a link has come up. None for a host that isn't known yet to
    /// be a core that answers them.
    pub(super) fn queries_for(&self, name: &Name) -> Vec<FleetFrame> {
        let view = self.node.view.borrow();
        if !view.hosts.get(name).is_some_and(answers_stream_queries) {
            return Vec::new();
        }
        self.stream_lookups.borrow().queries()
    }
}

/// Whether a host is a core that answers queries about streams.
pub(super) fn answers_stream_queries(host: &FleetHost) -> bool {
    host.role == FleetHostRole::Core && host.remembers_streams
}

/// Waits for answers until they decide. `own` is what this host knows by itself now.
async fn collect_answers(
    lookup: &mut StreamLookup,
    mut answers: Answers,
    own: impl Fn() -> OwnKnowledge,
) -> Option<Name> {
    loop {
        if let LookupState::Decided(version) = lookup.state(&own()) {
            return version;
        }
        let answer = answers.recv().await?;
        lookup.add(&answer.core, &answer.region, answer.known);
    }
}

fn log_caller_left(request: &Request, began_ms: u64) {
    log::info!(
        event = Event::StreamLookedUp.number(), id = request.id.as_str(),
        resumes = request.resumes.as_ref().map_or("", Name::as_str),
        service = request.service.as_str(), caller_left = true,
        waited_ms = clock::now_ms() - began_ms;
        "caller left while the version of the resumed stream was looked up"
    );
}

fn log_result(request: &Request, result: LookupResult, began_ms: u64) -> LookupOutcome {
    log::info!(
        event = Event::StreamLookedUp.number(), id = request.id.as_str(),
        resumes = request.resumes.as_ref().map_or("", Name::as_str),
        service = request.service.as_str(), source = result.source,
        worker_version = result.version.as_ref().map_or("", Name::as_str),
        cores_known = result.known_cores, cores_linked = result.linked_cores,
        answers = result.answers, waited_ms = clock::now_ms() - began_ms;
        "version of the resumed stream looked up"
    );
    let label = if result.version.is_some() { "found" } else { "unknown" };
    metrics::counter!("anvillift_stream_lookups_total", "result" => label).increment(1);
    result.version.map_or(LookupOutcome::Unknown, |version| {
        LookupOutcome::Found(VersionConstraint::Only(version))
    })
}
