//! Lets requests wait: at a host that has just started, until it has received the
//! configuration and the report of a worker with free capacity; and for an entry host that reaches
//! the workers which can go on with a stream.

use std::collections::BTreeMap;
use std::time::Duration;

use anvillift_fleet::resume_wait::ResumeState;
use anvillift_fleet::start_wait::StartState;
use anvillift_fleet::{resume_wait, start_wait};
use anvillift_http::Connection;
use anvillift_schema::event::Event;
use anvillift_schema::name::Name;
use tokio::time;

use crate::clock;
use crate::entry::attempts::Attempts;
use crate::entry::front::Origin;
use crate::entry::request::Request;
use crate::entry::{Entry, host_target};
use crate::fleet_view::FleetView;

/// Interval at which a waiting stream looks for a host.
const HOST_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How the wait of a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WaitOutcome {
    /// The condition holds or the waiting time is over; the request proceeds.
    Finished,
    /// The caller closed its connection.
    CallerLeft,
}

impl Entry {
    /// Lets a request wait until the fleet view satisfies a condition. The time
    /// depends on how long ago this host started, and is zero once the condition
    /// can't be expected to become true soon.
    pub(super) async fn wait_until(
        &self,
        caller: &mut Connection,
        id: &str,
        caller_timeout_ms: u64,
        is_satisfied: impl Fn(&FleetView) -> bool,
    ) -> WaitOutcome {
        let began_ms = clock::now_ms();
        let waiting = self.waiting_requests.get();
        let uptime_ms = began_ms - self.started_ms;
        let wait_ms = start_wait::wait_ms(&StartState { uptime_ms, caller_timeout_ms, waiting });
        if wait_ms == 0 || is_satisfied(&self.node.view.borrow()) {
            return WaitOutcome::Finished;
        }
        self.waiting_requests.set(waiting + 1);
        let satisfied = async {
            loop {
                let notified = self.view_changed.notified();
                if is_satisfied(&self.node.view.borrow()) {
                    return;
                }
                notified.await;
            }
        };
        let outcome = tokio::select! {
            _ = time::timeout(Duration::from_millis(wait_ms), satisfied) => WaitOutcome::Finished,
            () = caller.wait_for_close() => WaitOutcome::CallerLeft,
        };
        self.waiting_requests.set(self.waiting_requests.get() - 1);
        log::info!(
            event = Event::RequestWaitedForState.number(), id = id, started_ago_ms = uptime_ms,
            waited_ms = clock::now_ms() - began_ms,
            caller_left = outcome == WaitOutcome::CallerLeft,
            is_known = is_satisfied(&self.node.view.borrow());
            "request waited at this newly started host, for at most {wait_ms} ms"
        );
        outcome
    }

    /// Lets a resumed stream that has no target wait for one, once, if it may have one soon.
    pub(super) async fn wait_for_host(
        &self,
        caller: &mut Connection,
        request: &Request,
        attempts: &mut Attempts,
    ) -> WaitOutcome {
        attempts.has_waited_for_host = true;
        let began_ms = clock::now_ms();
        let waiting = self.waiting_requests.get();
        let wait_ms = resume_wait::wait_ms(&ResumeState {
            is_region_heard: self.is_region_heard(request, attempts),
            remaining_ms: request.remaining_ms(),
            waiting,
        });
        if wait_ms == 0 {
            return WaitOutcome::Finished;
        }
        self.waiting_requests.set(waiting + 1);
        let tried_boots = self.boots_of_tried_hosts(attempts);
        let found = async {
            while self.next_target(request, attempts).is_none() {
                time::sleep(HOST_CHECK_INTERVAL).await;
                self.allow_restarted_hosts(&tried_boots, attempts);
            }
        };
        let outcome = tokio::select! {
            _ = time::timeout(Duration::from_millis(wait_ms), found) => WaitOutcome::Finished,
            () = caller.wait_for_close() => WaitOutcome::CallerLeft,
        };
        self.waiting_requests.set(self.waiting_requests.get() - 1);
        log::info!(
            event = Event::StreamWaitedForHost.number(), id = request.id.as_str(),
            waited_ms = clock::now_ms() - began_ms,
            caller_left = outcome == WaitOutcome::CallerLeft,
            is_found = self.next_target(request, attempts).is_some();
            "resumed stream waited for an entry host, for at most {wait_ms} ms"
        );
        outcome
    }

    /// Whether a request without a target is a stream that may wait for a host: its caller resumes
    /// it, and it has run nowhere.
    pub(super) fn may_wait_for_host(&self, request: &Request, attempts: &Attempts) -> bool {
        request.origin == Origin::Caller
            && request.resumes.is_some()
            && attempts.run_count == 0
            && !attempts.has_waited_for_host
            && self.quarantine_refusal(request).is_none()
    }

    /// Whether a core is heard of another region with workers that may take the next attempt.
    fn is_region_heard(&self, request: &Request, attempts: &Attempts) -> bool {
        let view = self.node.view.borrow();
        let own = &self.node.settings.region;
        let now_ms = clock::now_ms();
        host_target::serving_regions(self, &view, request, attempts)
            .into_iter()
            .any(|region| region != own && view.hosts.is_region_reachable(now_ms, region))
    }

    /// Start times of the hosts that were tried.
    fn boots_of_tried_hosts(&self, attempts: &Attempts) -> BTreeMap<Name, u64> {
        let view = self.node.view.borrow();
        let tried = attempts.tried.iter().filter_map(|name| view.hosts.get(name));
        tried.map(|host| (host.name.clone(), host.boot)).collect()
    }

    /// Lets hosts that have started again since they were tried be tried again.
    fn allow_restarted_hosts(&self, tried_boots: &BTreeMap<Name, u64>, attempts: &mut Attempts) {
        let view = self.node.view.borrow();
        attempts.tried.retain(|name| {
            let boot = view.hosts.get(name).map(|host| &host.boot);
            tried_boots.get(name).is_none_or(|tried| boot == Some(tried))
        });
    }

    /// Wakes the waiting requests after a change of the fleet view.
    pub(super) fn notify_waiting(&self) {
        if self.waiting_requests.get() > 0 {
            self.view_changed.notify_waiters();
        }
    }
}
