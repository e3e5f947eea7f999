//! Lets requests wait at a host that has just started, until it has received the
//! configuration and the report of a worker with free capacity.

use std::time::Duration;

use anvillift_fleet::start_wait;
use anvillift_fleet::start_wait::StartState;
use anvillift_http::Connection;
use anvillift_schema::event::Event;
use tokio::time;

use crate::clock;
use crate::entry::Entry;
use crate::fleet_view::FleetView;

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
        let satisfied = async {
            loop {
                let notified = self.view_changed.notified();
                if is_satisfied(&self.node.view.borrow()) {
                    return;
                }
                notified.await;
            }
        };
        let outcome = self.wait_at_most(caller, wait_ms, satisfied).await;
        log::info!(
            event = Event::RequestWaitedForState.number(), id = id, started_ago_ms = uptime_ms,
            waited_ms = clock::now_ms() - began_ms,
            caller_left = outcome == WaitOutcome::CallerLeft,
            is_known = is_satisfied(&self.node.view.borrow());
            "request waited at this newly started host, for at most {wait_ms} ms"
        );
        outcome
    }

    /// Lets a request wait for a condition, for at most `wait_ms`, while its caller stays.
    pub(super) async fn wait_at_most(
        &self,
        caller: &mut Connection,
        wait_ms: u64,
        condition: impl Future<Output = ()>,
    ) -> WaitOutcome {
        self.waiting_requests.set(self.waiting_requests.get() + 1);
        let outcome = tokio::select! {
            _ = time::timeout(Duration::from_millis(wait_ms), condition) => WaitOutcome::Finished,
            () = caller.wait_for_close() => WaitOutcome::CallerLeft,
        };
        self.waiting_requests.set(self.waiting_requests.get() - 1);
        outcome
    }

    /// Wakes the waiting requests after a change of the fleet view.
    pub(super) fn notify_waiting(&self) {
        if self.waiting_requests.get() > 0 {
            self.view_changed.notify_waiters();
        }
    }
}
