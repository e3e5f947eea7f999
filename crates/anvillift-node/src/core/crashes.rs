//! Crashes of workers on a core host, which entry hosts report, and the decision which
//! requests are quarantined.

use std::collections::BTreeSet;

use anvillift_fleet::{
    ConfirmedCrash, Fingerprint, Question, RequestFeatures, WorkerStart, directory,
};
use anvillift_schema::event::Event;
use anvillift_schema::fleet::{
    FleetCrash, FleetCrashedRequest, FleetCrashes, FleetFrame, FleetHost, FleetHostRole,
    FleetParts, FleetServedParts,
};
use anvillift_schema::name::Name;

use crate::clock;
use crate::core::Core;
use crate::quarantine::features_text;

/// Time after the start of the process from which it decides, in milliseconds. Hosts report
/// earlier crashes to it when their links come up, and those that have served a request since
/// must have linked as well by the time they are asked.
const DECISION_DELAY_MS: u64 = 1_000;

/// Age of a crash up to which the worker may not have reported its next start yet, in milliseconds.
/// Older ones are told again when a link comes up.
const MAX_DOUBTED_AGE_MS: u64 = 3_000;

impl Core {
    /// Records the crashes that an entry host has seen.
    pub(super) fn on_crashes(&self, from: &Name, crashes: FleetCrashes) {
        let now_ms = clock::now_ms();
        for crash in crashes.crashes {
            let confirmed = confirmed_crash(now_ms, &crash);
            self.doubt_version(from, &crash);
            let has_requests = !crash.requests.is_empty() || !crash.parts.is_empty();
            if !has_requests || !self.crash_evidence.borrow_mut().record(now_ms, confirmed) {
                continue;
            }
            log::warn!(
                event = Event::WorkerCrashed.number(), worker = crash.worker.as_str(),
                born_ms = crash.born_ms, age_ms = crash.age_ms, requests = crash.requests.len(),
                from = from.as_str();
                "worker has crashed"
            );
            self.crash_file.save_soon();
        }
        self.evaluate_crashes();
    }

    /// Doubts the version of a worker that an entry host says has crashed, and tells the entry hosts:
    /// it may start again under its id with another one, and its first report may come late.
    fn doubt_version(&self, from: &Name, crash: &FleetCrash) {
        let now_ms = clock::now_ms();
        if crash.age_ms > MAX_DOUBTED_AGE_MS {
            return;
        }
        if !self.crash_reporters.borrow_mut().record(now_ms, from, &crash.worker) {
            return;
        }
        let start = WorkerStart { id: crash.worker.clone(), born_ms: crash.born_ms };
        let is_news = self.node.view.borrow_mut().workers.doubt_version(now_ms, &start);
        let Some(hub) = self.node.hub().filter(|_| is_news) else { return };
        let without_requests =
            FleetCrash { parts: Vec::new(), requests: Vec::new(), ..crash.clone() };
        let frame = FleetFrame::Crashes(FleetCrashes { crashes: vec![without_requests] });
        let view = self.node.view.borrow();
        let entries = directory::hosts_informed_by(&view.hosts, now_ms, &self.node.own_host());
        for entry in entries.iter().filter(|entry| entry.shares_quarantine) {
            hub.send(&entry.name, frame.clone());
        }
    }

    /// Records when an entry host has served requests with some features.
    pub(super) fn on_parts_served(&self, served: &FleetServedParts) {
        let now_ms = clock::now_ms();
        let mut evidence = self.crash_evidence.borrow_mut();
        for served in &served.parts {
            evidence.record_served(served.part, now_ms.saturating_sub(served.age_ms));
        }
        self.crash_file.save_soon();
    }

    /// Asks entry hosts about suspected requests, and quarantines those that crash workers.
    pub(super) fn evaluate_crashes(&self) {
        let now_ms = clock::now_ms();
        let is_settled = now_ms >= self.started_ms + DECISION_DELAY_MS;
        if !is_settled || !self.crash_evidence.borrow().is_decision_due(now_ms) {
            return;
        }
        let (question, verdicts) = {
            let view = self.node.view.borrow();
            let mut evidence = self.crash_evidence.borrow_mut();
            let question = evidence.take_question(now_ms, &view.quarantine);
            (question, evidence.decide(now_ms, &view.quarantine))
        };
        if !question.features.is_empty() {
            self.ask(question);
        }
        self.node.quarantine(verdicts);
    }

    /// The question for an entry host whose link has come up: it may not have got it before.
    pub(super) fn open_question_for(&self, name: &Name) -> Option<FleetFrame> {
        let is_asked =
            |host: &FleetHost| host.role == FleetHostRole::Entry && host.shares_quarantine;
        if !self.node.view.borrow().hosts.get(name).is_some_and(is_asked) {
            return None;
        }
        let question = self.crash_evidence.borrow().open_question(clock::now_ms());
        (!question.features.is_empty()).then(|| question_frame(question))
    }

    /// Forgets old crashes and ended quarantines.
    pub(super) fn remove_old_crashes(&self) {
        self.crash_evidence.borrow_mut().remove_old(clock::now_ms());
        self.node.remove_ended_quarantine();
    }

    fn ask(&self, question: Question) {
        let Some(hub) = self.node.hub() else { return };
        log::info!(
            event = Event::FeaturesSuspected.number(),
            features = features_text(question.features.iter().copied()),
            suspected = question.suspected.len();
            "requests with these features were in flight at several crashes; asking when they \
             were last served"
        );
        let mut hosts = self.node.quarantine_peers();
        let view = self.node.view.borrow();
        hosts.retain(|name| {
            view.hosts.get(name).is_some_and(|host| host.role == FleetHostRole::Entry)
        });
        let frame = question_frame(question);
        hosts.iter().for_each(|name| hub.send(name, frame.clone()));
    }
}

fn question_frame(question: Question) -> FleetFrame {
    FleetFrame::PartsWanted(FleetParts { parts: question.features, suspected: question.suspected })
}

/// A crash as an entry host reports it. Hosts of older releases name the parts of all
/// prompts together.
pub(super) fn confirmed_crash(now_ms: u64, crash: &FleetCrash) -> ConfirmedCrash {
    let features = |request: &FleetCrashedRequest| RequestFeatures {
        parts: request.parts.iter().copied().collect(),
        fingerprint: Some(Fingerprint { content: request.content, of_caller: request.of_caller }),
    };
    let mut requests: BTreeSet<RequestFeatures> = crash.requests.iter().map(features).collect();
    if requests.is_empty() {
        let parts = crash.parts.iter().copied().collect();
        requests.insert(RequestFeatures { parts, ..RequestFeatures::default() });
    }
    ConfirmedCrash {
        worker: WorkerStart { id: crash.worker.clone(), born_ms: crash.born_ms },
        at_ms: now_ms.saturating_sub(crash.age_ms),
        is_given_up: crash.is_given_up,
        requests,
    }
}
