//! Lets a resumed stream wait for an entry host that reaches the workers which can go on with it.
//! The policy is [`anvillift_fleet::resume_wait`].

use std::collections::BTreeMap;
use std::time::Duration;

use anvillift_fleet::resume_wait;
use anvillift_fleet::resume_wait::ResumeState;
use anvillift_http::Connection;
use anvillift_schema::event::Event;
use anvillift_schema::name::Name;
use tokio::time;

use crate::clock;
use crate::entry::attempts::Attempts;
use crate::entry::front::Origin;
use crate::entry::request::Request;
use crate::entry::wait::WaitOutcome;
use crate::entry::{Entry, host_target, quarantined};

/// Interval at which a waiting stream looks for a host.
const HOST_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Entry {
    /// Whether a request without a target is a stream that may wait for a host: its caller resumes
    /// it, and it has run nowhere.
    pub(super) fn may_wait_for_host(&self, request: &Request, attempts: &Attempts) -> bool {
        request.origin == Origin::Caller
            && request.resumes.is_some()
            && attempts.run_count == 0
            && !attempts.has_waited_for_host
            && quarantined::remaining_ms(&self.node.view.borrow(), request).is_none()
    }

    /// Lets such a stream wait for a target, if it may have one soon.
    pub(super) async fn wait_for_host(
        &self,
        caller: &mut Connection,
        request: &Request,
        attempts: &mut Attempts,
    ) -> WaitOutcome {
        attempts.has_waited_for_host = true;
        let began_ms = clock::now_ms();
        let wait_ms = resume_wait::wait_ms(&ResumeState {
            is_region_heard: self.is_region_heard(request, attempts),
            remaining_ms: request.remaining_ms(),
            waiting: self.waiting_requests.get(),
        });
        if wait_ms == 0 {
            return WaitOutcome::Finished;
        }
        let tried_boots = self.boots_of_tried_hosts(attempts);
        let found = async {
            while self.next_target(request, attempts).is_none() {
                time::sleep(HOST_CHECK_INTERVAL).await;
                self.allow_restarted_hosts(&tried_boots, attempts);
            }
        };
        let outcome = self.wait_at_most(caller, wait_ms, found).await;
        log::info!(
            event = Event::StreamWaitedForHost.number(), id = request.id.as_str(),
            waited_ms = clock::now_ms() - began_ms,
            caller_left = outcome == WaitOutcome::CallerLeft,
            is_found = self.next_target(request, attempts).is_some();
            "resumed stream waited for an entry host, for at most {wait_ms} ms"
        );
        outcome
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
}
