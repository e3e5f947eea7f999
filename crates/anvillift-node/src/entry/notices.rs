//! Notices of workers: reads from each answer whether the worker is leaving, wants a
//! pause, names a limit or is brittle, and answers requests that every worker declines for that.

use std::collections::BTreeSet;

use anvillift_fleet::eligibility::Ineligible;
use anvillift_fleet::target_order::Contact;
use anvillift_fleet::{VersionConstraint, WorkerEntry, WorkerStart, rate_limit, retry_after};
use anvillift_http::ResponseHead;
use anvillift_schema::event::Event;
use rand::Rng;

use crate::clock;
use crate::dialect::LEAVING_VALUE;
use crate::entry::attempts::Attempts;
use crate::entry::front::Origin;
use crate::entry::request::Request;
use crate::entry::request_failure::RequestFailure;
use crate::entry::target::Target;
use crate::entry::{Entry, eligible};
use crate::fleet_view::FleetView;

/// Pause from which on operators are warned, in milliseconds.
const LONG_PAUSE_MS: u64 = 60_000;
/// Time over which the callers that come back after a pause are spread, in milliseconds.
const RETURN_SPREAD_MS: u64 = 1_000;
/// Longest part of a malformed field that is logged, in bytes.
const MAX_LOGGED_BYTES: usize = 64;

/// Longest time after which a caller is told to come back while workers keep to limits,
/// in milliseconds. Other hosts have their turns sooner than this one.
const MAX_LIMITED_RETRY_MS: u64 = 2_000;

/// Why a worker takes no request from this host for a time.
#[derive(Clone, Copy, Debug)]
enum Declined {
    /// It has asked for a pause.
    Paused { remaining_ms: u64 },
    /// It has named a limit, and this host has no turn.
    Limited { wait_ms: u64 },
    /// It is brittle, and this host's share of its room is used.
    Full,
}

impl Entry {
    /// Records what the head of an answer says about new requests to its worker. The
    /// head of another host's answer tells about a worker of that host's region.
    pub(super) fn record_notices(
        &self,
        request: &Request,
        target: &Target,
        sent_ms: u64,
        head: &ResponseHead,
    ) {
        if target.is_host {
            return;
        }
        let worker = WorkerStart { id: target.name.clone(), born_ms: target.born_ms };
        if head.headers.get(self.node.dialect.headers.leaving) == Some(LEAVING_VALUE) {
            self.record_leaving(request, &worker);
        }
        if head.status == 503 && head.headers.contains("retry-after") {
            self.record_pause(request, &worker, head);
        }
        if head.headers.contains(self.node.dialect.headers.rate_limit) {
            self.record_limit(request, &worker, head);
        } else if self.is_answer_of_worker(request, head) {
            self.record_no_limit(request, &worker, sent_ms);
        }
        self.record_brittleness(request, &worker, sent_ms, head);
    }

    /// Records whether a worker says that it is brittle, and its rejections if it is.
    fn record_brittleness(
        &self,
        request: &Request,
        worker: &WorkerStart,
        sent_ms: u64,
        head: &ResponseHead,
    ) {
        let field = self.node.dialect.headers.brittle;
        let values = head.headers.all(field).map(AsRef::as_ref);
        let now_ms = clock::now_ms();
        let mut dispatch = self.dispatch.borrow_mut();
        if let Some(max_rejections_per_s) = rate_limit::per_s(values) {
            if dispatch.notices.record_brittle(now_ms, worker, max_rejections_per_s) {
                log_brittle(request, worker, Some(max_rejections_per_s));
            }
        } else if head.headers.contains(field) {
            log::warn!(
                event = Event::LimitUnreadable.number(), id = request.id.as_str(),
                worker = worker.id.as_str(), value = logged_value(head, field);
                "rejections at which a worker falls over are no number; ignored"
            );
        } else if self.is_answer_of_worker(request, head)
            && dispatch.notices.record_not_brittle(worker, sent_ms)
        {
            log_brittle(request, worker, None);
        }
        let is_rejection = head.headers.contains(self.node.dialect.headers.not_run);
        if is_rejection && dispatch.notices.get(worker).max_rejections_per_s.is_some() {
            dispatch.notices.record_rejection(now_ms, worker);
        }
    }

    /// Whether a head is that of the worker's own answer to the request, rather than an
    /// interim one, one to another request, or one of another worker at the address.
    fn is_answer_of_worker(&self, request: &Request, head: &ResponseHead) -> bool {
        let names_request =
            head.headers.get(self.node.dialect.headers.request_id) == Some(&request.id);
        names_request && head.status >= 200 && head.status != 421
    }

    fn record_limit(&self, request: &Request, worker: &WorkerStart, head: &ResponseHead) {
        let field = self.node.dialect.headers.rate_limit;
        let values = head.headers.all(field).map(AsRef::as_ref);
        let Some(rate_per_s) = rate_limit::per_s(values) else {
            log::warn!(
                event = Event::LimitUnreadable.number(), id = request.id.as_str(),
                worker = worker.id.as_str(), value = logged_value(head, field);
                "limit of a worker is no number of requests a second; ignored"
            );
            return;
        };
        let now_ms = clock::now_ms();
        if self.dispatch.borrow_mut().notices.record_limit(now_ms, worker, rate_per_s) {
            log_limit(request, worker, Some(rate_per_s));
        }
    }

    fn record_no_limit(&self, request: &Request, worker: &WorkerStart, sent_ms: u64) {
        if self.dispatch.borrow_mut().notices.record_no_limit(clock::now_ms(), worker, sent_ms) {
            log_limit(request, worker, None);
        }
    }

    fn record_leaving(&self, request: &Request, worker: &WorkerStart) {
        let is_new = self.dispatch.borrow_mut().notices.record_leaving(clock::now_ms(), worker);
        if is_new {
            log::info!(
                event = Event::WorkerSaysLeaving.number(), id = request.id.as_str(),
                worker = worker.id.as_str(), born_ms = worker.born_ms;
                "worker says that it is leaving; it gets no more requests from this host"
            );
        }
    }

    fn record_pause(&self, request: &Request, worker: &WorkerStart, head: &ResponseHead) {
        let values = head.headers.all("retry-after").map(AsRef::as_ref);
        let Some(pause_ms) = retry_after::pause_ms(values) else {
            log::warn!(
                event = Event::PauseUnreadable.number(), id = request.id.as_str(),
                worker = worker.id.as_str(), value = logged_value(head, "retry-after");
                "Retry-After of a worker is no number of seconds; ignored"
            );
            return;
        };
        self.dispatch.borrow_mut().notices.record_pause(clock::now_ms(), worker, pause_ms);
        let level = if pause_ms > LONG_PAUSE_MS { log::Level::Warn } else { log::Level::Info };
        log::log!(
            level,
            event = Event::WorkerAsksForPause.number(), id = request.id.as_str(),
            worker = worker.id.as_str(), born_ms = worker.born_ms, pause_ms = pause_ms;
            "worker wants no requests from this host for a time"
        );
    }

    /// The answer to a request that certainly has not run and finds no worker. If
    /// workers take none for a time, its caller is told to come back when one of them
    /// takes requests again.
    pub(super) fn refusal(&self, request: &Request, attempts: &Attempts) -> RequestFailure {
        if let Some(failure) = self.quarantine_refusal(request) {
            return failure;
        }
        let is_unsent_forward = request.origin == Origin::Host && attempts.attempt_count == 0;
        if is_unsent_forward && self.contact.borrow().contact() != Contact::Full {
            return RequestFailure::NO_CONTACT;
        }
        let view = self.node.view.borrow();
        let declined = self.declined_by_workers(&view, request, &attempts.version_constraint);
        if declined.is_empty() {
            return RequestFailure::NO_WORKER;
        }
        let mut dispatch = self.dispatch.borrow_mut();
        let spread_ms = dispatch.rng.random_range(0..=RETURN_SPREAD_MS);
        match declined[dispatch.rng.random_range(0..declined.len())] {
            Declined::Paused { remaining_ms } => {
                metrics::counter!("anvillift_rejected_for_pause_total").increment(1);
                RequestFailure::paused(remaining_ms.saturating_add(spread_ms))
            }
            Declined::Limited { wait_ms } => {
                metrics::counter!("anvillift_rejected_for_limit_total").increment(1);
                RequestFailure::limited(wait_ms.min(MAX_LIMITED_RETRY_MS) + spread_ms)
            }
            Declined::Full => {
                metrics::counter!("anvillift_rejected_for_room_total").increment(1);
                RequestFailure::FULL
            }
        }
    }

    /// Whether workers in `view` could take a request if they had not asked for a pause
    /// or named a limit.
    pub(super) fn is_declined_by_workers(&self, view: &FleetView, request: &Request) -> bool {
        !self.declined_by_workers(view, request, &request.version_constraint).is_empty()
    }

    /// The workers that could take a request otherwise and take none for a time.
    fn declined_by_workers(
        &self,
        view: &FleetView,
        request: &Request,
        version_constraint: &VersionConstraint,
    ) -> Vec<Declined> {
        let now_ms = clock::now_ms();
        let dispatch = self.dispatch.borrow();
        let shared = self.shared_facts(view, &dispatch, &request.service);
        // A worker that has rejected this request counts, too.
        let untried = BTreeSet::new();
        let declined = |worker: &WorkerEntry| {
            let checked = eligible::check(
                view,
                &dispatch,
                &shared,
                worker,
                &untried,
                (request, version_constraint),
            );
            match checked {
                Err(Ineligible::Paused { until_ms }) => {
                    Some(Declined::Paused { remaining_ms: until_ms - now_ms })
                }
                Err(Ineligible::Limited { wait_ms }) => Some(Declined::Limited { wait_ms }),
                Err(Ineligible::Full) => Some(Declined::Full),
                _ => None,
            }
        };
        let workers = self.ready_workers(view, request, &self.node.settings.region);
        workers.into_iter().filter_map(declined).collect()
    }

    /// Exports how many workers are leaving and paused, as this host knows.
    pub(super) fn export_notice_metrics(&self) {
        let now_ms = clock::now_ms();
        let dispatch = self.dispatch.borrow();
        let (mut leaving, mut paused, mut paused_long) = (0_u32, 0_u32, 0_u32);
        let (mut limited, mut brittle) = (0_u32, 0_u32);
        for (_, notice) in dispatch.notices.iter() {
            leaving += u32::from(notice.leaving_since_ms.is_some());
            paused += u32::from(notice.is_paused(now_ms));
            paused_long += u32::from(notice.paused_until_ms > now_ms + LONG_PAUSE_MS);
            brittle += u32::from(notice.max_rejections_per_s.is_some());
            limited += u32::from(notice.limit.is_some_and(|limit| limit.ended_ms.is_none()));
        }
        metrics::gauge!("anvillift_workers_leaving").set(f64::from(leaving));
        metrics::gauge!("anvillift_workers_paused").set(f64::from(paused));
        metrics::gauge!("anvillift_workers_brittle").set(f64::from(brittle));
        metrics::gauge!("anvillift_workers_limited").set(f64::from(limited));
        metrics::gauge!("anvillift_workers_paused_long").set(f64::from(paused_long));
    }
}

/// The start of a field that can't be read.
fn logged_value(head: &ResponseHead, field: &str) -> String {
    let value = head.headers.get(field).unwrap_or("(not UTF-8)");
    value.chars().take(MAX_LOGGED_BYTES).collect()
}

fn log_limit(request: &Request, worker: &WorkerStart, rate_per_s: Option<f64>) {
    log::info!(
        event = Event::WorkerNamesLimit.number(), id = request.id.as_str(),
        worker = worker.id.as_str(), born_ms = worker.born_ms,
        is_limited = rate_per_s.is_some(),
        limit_per_s = rate_per_s.unwrap_or_default();
        "limit that a worker names has changed"
    );
}

fn log_brittle(request: &Request, worker: &WorkerStart, max_rejections_per_s: Option<f64>) {
    log::info!(
        event = Event::WorkerIsBrittle.number(), id = request.id.as_str(),
        worker = worker.id.as_str(), born_ms = worker.born_ms,
        is_brittle = max_rejections_per_s.is_some(),
        max_rejections_per_s = max_rejections_per_s.unwrap_or_default();
        "worker says otherwise than before whether it is brittle"
    );
}
