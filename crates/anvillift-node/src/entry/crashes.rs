//! Crashes of workers as this host sees them, and the refusal of requests that crash
//! workers.
//!
//! When an answer breaks off, [`run_crash_checks`](Entry::run_crash_checks) checks
//! whether its worker can still be reached. If not, cores are told which requests were in
//! flight there, by their features. They find what is to be quarantined, by the policy of
//! [`CrashEvidence`](anvillift_fleet::CrashEvidence). While this host hears no core it
//! applies that policy to what it has seen itself.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use anvillift_fleet::target_order::Contact;
use anvillift_fleet::{ConfirmedCrash, RequestFeatures, WorkerStart};
use anvillift_schema::event::Event;
use anvillift_schema::fleet::{
    FleetCrash, FleetCrashedRequest, FleetCrashes, FleetFrame, FleetHost, FleetHostRole,
    FleetParts, FleetServedPart, FleetServedParts,
};
use anvillift_schema::name::Name;
use tokio::{task, time};

use crate::clock;
use crate::entry::Entry;
use crate::entry::front::Origin;
use crate::entry::request::Request;
use crate::entry::target::Target;
use crate::quarantine::features_text;

/// Time between a broken answer and the check of its worker. Within it the other
/// answers of a worker that has crashed break off as well.
const CHECK_DELAY: Duration = Duration::from_millis(50);
/// Longest time for connecting to a worker that is checked.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Most crashes that cores are told of at a time.
const MAX_CRASHES_PER_FRAME: usize = 8;
/// Most parts of prompts that cores are told of one crash, and of one request.
const MAX_PARTS_PER_CRASH: usize = 64;
const MAX_PARTS_PER_REQUEST: usize = 16;
/// Most features of one crash that are logged.
const MAX_LOGGED_FEATURES: usize = 64;

impl Entry {
    /// Records that the answer of a worker broke off.
    pub(super) fn record_broken_answer(&self, request: &Request, target: &Target) {
        if target.is_host {
            return;
        }
        let worker = WorkerStart { id: target.name.clone(), born_ms: target.born_ms };
        let needs_check =
            self.broken.borrow_mut().record(clock::now_ms(), &worker, &request.features);
        if needs_check {
            self.crash_check_due.notify_one();
        }
    }

    /// Records that a request that was sent at `sent_ms` was given up before the answer of a
    /// worker was complete.
    pub(super) fn record_unanswered(&self, request: &Request, target: &Target, sent_ms: u64) {
        if target.is_host {
            return;
        }
        let worker = WorkerStart { id: target.name.clone(), born_ms: target.born_ms };
        let mut broken = self.broken.borrow_mut();
        broken.record_unanswered(clock::now_ms(), &worker, sent_ms, &request.features);
    }

    /// Records that bytes of an answer to a request that was sent at `sent_ms` have arrived, which
    /// shows that the worker has not crashed since.
    pub(super) fn record_answering(&self, target: &Target, sent_ms: u64) {
        if target.is_host {
            return;
        }
        let worker = WorkerStart { id: target.name.clone(), born_ms: target.born_ms };
        self.broken.borrow_mut().record_answering(&worker, sent_ms);
    }

    /// Records that an answer was complete, which shows that its request doesn't crash
    /// workers.
    pub(super) fn record_served(&self, request: &Request, status: u16) {
        if (200..300).contains(&status) {
            let mut dispatch = self.dispatch.borrow_mut();
            dispatch.served_features.record(clock::now_ms(), &request.features);
            dispatch.suspected_features.clear(&request.features);
            drop(dispatch);
            if request.is_trial.get() && request.origin == Origin::Caller {
                self.record_trial_served(request);
            }
        }
    }

    /// Whether a request was in flight at several crashes, so that it may be their cause.
    pub(super) fn is_suspected(&self, request: &Request) -> bool {
        request.is_trial.get()
            || self
                .dispatch
                .borrow()
                .suspected_features
                .contains(clock::now_ms(), &request.features)
    }

    /// Checks the workers whose answers broke off, and reports those that have crashed.
    pub(super) async fn run_crash_checks(self: Rc<Self>) {
        loop {
            self.crash_check_due.notified().await;
            time::sleep(CHECK_DELAY).await;
            for worker in self.broken.borrow_mut().take_unchecked() {
                let entry = Rc::clone(&self);
                task::spawn_local(async move { entry.check_worker(worker).await });
            }
        }
    }

    async fn check_worker(&self, worker: WorkerStart) {
        let address = {
            let view = self.node.view.borrow();
            let current = view.workers.get(&worker.id);
            let current = current.filter(|entry| entry.report.born_ms == worker.born_ms);
            current.and_then(|entry| entry.report.address.parse().ok())
        };
        if let Some(address) = address
            && self.pool.is_reachable(address, CHECK_TIMEOUT).await
        {
            return;
        }
        // While no worker is reached, it is not known which of them have crashed.
        if self.contact.borrow().contact() == Contact::Full {
            self.node.view.borrow_mut().workers.doubt_version(clock::now_ms(), &worker);
        }
        let crash = self.broken.borrow_mut().confirm(clock::now_ms(), &worker);
        if let Some(crash) = crash {
            self.report_crashes(vec![crash]);
        }
    }

    /// Doubts the versions of workers that have crashed, as a core says.
    pub(super) fn on_crashed_elsewhere(&self, crashes: &FleetCrashes) {
        let workers = &mut self.node.view.borrow_mut().workers;
        for crash in &crashes.crashes {
            let start = WorkerStart { id: crash.worker.clone(), born_ms: crash.born_ms };
            workers.doubt_version(clock::now_ms(), &start);
        }
    }

    /// Reports the crashes of workers that have started anew or fallen silent since.
    pub(super) fn report_ended_workers(&self) {
        let workers = &self.node.view.borrow().workers;
        let crashes = self.broken.borrow_mut().confirm_reported(clock::now_ms(), workers);
        if !crashes.is_empty() {
            self.report_crashes(crashes);
        }
    }

    fn report_crashes(&self, crashes: Vec<ConfirmedCrash>) {
        for crash in &crashes {
            metrics::counter!("anvillift_worker_crashes_total").increment(1);
            let features = crash.requests.iter().flat_map(RequestFeatures::iter);
            let features: BTreeSet<u64> = features.take(MAX_LOGGED_FEATURES).collect();
            log::warn!(
                event = Event::WorkerCrashed.number(), worker = crash.worker.id.as_str(),
                born_ms = crash.worker.born_ms, age_ms = clock::now_ms() - crash.at_ms,
                requests = crash.requests.len(), features = features_text(features);
                "worker has crashed with requests of this host in flight"
            );
            self.crash_evidence.borrow_mut().record(clock::now_ms(), crash.clone());
        }
        self.send_crashes(crashes, &self.crash_cores());
    }

    /// Tells a core whose link has come up of all crashes that this host has seen. What was sent
    /// to it before may be lost: it may have been restarted since.
    pub(super) fn report_crashes_again(&self, core: &FleetHost) {
        if core.shares_quarantine {
            let crashes = self.crash_evidence.borrow().crashes().collect();
            self.send_crashes(crashes, std::slice::from_ref(&core.name));
        }
    }

    /// Tells linked cores of crashes. Those that link later are told then.
    fn send_crashes(&self, crashes: Vec<ConfirmedCrash>, cores: &[Name]) {
        let Some(hub) = self.node.hub() else { return };
        let crashes: Vec<FleetCrash> =
            crashes.into_iter().map(|crash| self.describe(crash)).collect();
        for part in crashes.chunks(MAX_CRASHES_PER_FRAME) {
            let frame = FleetFrame::Crashes(FleetCrashes { crashes: part.to_vec() });
            cores.iter().for_each(|core| hub.send(core, frame.clone()));
        }
    }

    /// Describes a crash to cores. Of too many parts, those that were never served come
    /// first.
    fn describe(&self, crash: ConfirmedCrash) -> FleetCrash {
        let parts: BTreeSet<u64> =
            crash.requests.iter().flat_map(|request| request.parts.iter().copied()).collect();
        let describe_request = |request: RequestFeatures| {
            let fingerprint = request.fingerprint?;
            Some(FleetCrashedRequest {
                parts: self.most_suspicious(request.parts, MAX_PARTS_PER_REQUEST),
                content: fingerprint.content,
                of_caller: fingerprint.of_caller,
            })
        };
        FleetCrash {
            worker: crash.worker.id,
            born_ms: crash.worker.born_ms,
            age_ms: clock::now_ms().saturating_sub(crash.at_ms),
            is_given_up: crash.is_given_up,
            parts: self.most_suspicious(parts, MAX_PARTS_PER_CRASH),
            requests: crash.requests.into_iter().filter_map(describe_request).collect(),
        }
    }

    /// The parts of prompts that were served the longest ago, or never.
    fn most_suspicious(&self, parts: BTreeSet<u64>, max_parts: usize) -> Vec<u64> {
        let mut parts: Vec<u64> = parts.into_iter().collect();
        let dispatch = self.dispatch.borrow();
        parts.sort_by_key(|part| dispatch.served_features.last_served_ms(*part));
        parts.truncate(max_parts);
        parts
    }

    /// Answers a core that asks when requests with some features were last served. Some are
    /// suspected until they are served again.
    pub(super) fn answer_parts_wanted(&self, from: &Name, wanted: &FleetParts) {
        let now_ms = clock::now_ms();
        self.dispatch.borrow_mut().suspected_features.record(now_ms, &wanted.suspected);
        let dispatch = self.dispatch.borrow();
        let served = |part: &u64| {
            let served_ms = dispatch.served_features.last_served_ms(*part)?;
            Some(FleetServedPart { part: *part, age_ms: now_ms.saturating_sub(served_ms) })
        };
        let parts: Vec<FleetServedPart> = wanted.parts.iter().filter_map(served).collect();
        if let Some(hub) = self.node.hub().filter(|_| !parts.is_empty()) {
            hub.send(from, FleetFrame::PartsServed(FleetServedParts { parts }));
        }
    }

    /// Reports the crashes of workers that have ended, and decides alone while no core is heard.
    pub(super) fn update_crashes(&self) {
        let now_ms = clock::now_ms();
        self.report_ended_workers();
        self.broken.borrow_mut().remove_old(now_ms);
        if !self.hears_core() {
            self.decide_alone(now_ms);
        }
    }

    /// Forgets old crashes and ended quarantines.
    pub(super) fn remove_old_crashes(&self) {
        self.crash_evidence.borrow_mut().remove_old(clock::now_ms());
        self.node.remove_ended_quarantine();
    }

    fn decide_alone(&self, now_ms: u64) {
        let mut evidence = self.crash_evidence.borrow_mut();
        if !evidence.is_decision_due(now_ms) {
            return;
        }
        let verdicts = {
            let mut dispatch = self.dispatch.borrow_mut();
            if dispatch.served_features.is_empty() {
                return;
            }
            let quarantine = &self.node.view.borrow().quarantine;
            let question = evidence.take_question(now_ms, quarantine);
            dispatch.suspected_features.record(now_ms, &question.suspected);
            for feature in question.features {
                if let Some(served_ms) = dispatch.served_features.last_served_ms(feature) {
                    evidence.record_served(feature, served_ms);
                }
            }
            evidence.decide(now_ms, quarantine)
        };
        self.node.quarantine(verdicts);
    }

    /// Linked cores that understand the frames about crashes.
    pub(super) fn crash_cores(&self) -> Vec<Name> {
        let mut names = self.node.quarantine_peers();
        let view = self.node.view.borrow();
        names.retain(|name| {
            view.hosts.get(name).is_some_and(|host| host.role == FleetHostRole::Core)
        });
        names
    }

    /// Whether messages of a core that understands the frames about crashes arrive.
    fn hears_core(&self) -> bool {
        let heard = self.node.view.borrow().hosts.direct_hosts(clock::now_ms());
        heard.iter().any(|host| host.role == FleetHostRole::Core && host.shares_quarantine)
    }
}
