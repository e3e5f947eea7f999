//! Notices that this host has stood still, and lets streams wait until it has read what happened
//! meanwhile.
//!
//! A host that wakes finds answers that have broken off, and goes on by what it knew of the workers
//! before it stood still, although newer reports may wait unread on its links. A link may also be
//! lost, and the next one begins with the state of all workers. In both cases the answer of a core to
//! a ping that was sent after the standstill comes behind these reports.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use anvillift_schema::event::Event;
use anvillift_schema::fleet::{FleetFrame, FleetHostRole, FleetPing};
use anvillift_schema::name::Name;
use tokio::sync::Notify;
use tokio::time;

use crate::clock;
use crate::entry::Entry;

/// Interval at which this host checks whether it has stood still, and pings cores until one answers.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a check after which this host has stood still, in milliseconds.
const STANDSTILL_MS: u64 = 500;
/// Time after a standstill for which streams wait until this host has caught up, in milliseconds.
const CATCH_UP_TIMEOUT_MS: u64 = 800;

/// Whether this host has stood still, and has heard no core since.
#[derive(Debug)]
pub(super) struct Standstill {
    /// Time of the last check, in milliseconds.
    checked_ms: Cell<u64>,
    /// End of a standstill since which no core has answered, in milliseconds.
    ended_ms: Cell<Option<u64>>,
    /// Wakes the requests that wait.
    has_caught_up: Notify,
}

impl Standstill {
    pub(super) fn new(now_ms: u64) -> Self {
        Self {
            checked_ms: Cell::new(now_ms),
            ended_ms: Cell::new(None),
            has_caught_up: Notify::new(),
        }
    }

    /// Returns for how long this host has stood still until now, in milliseconds, if it has.
    fn check(&self, now_ms: u64) -> Option<u64> {
        let since_ms = now_ms.saturating_sub(self.checked_ms.replace(now_ms));
        if since_ms < STANDSTILL_MS {
            return None;
        }
        self.ended_ms.set(Some(now_ms));
        Some(since_ms)
    }

    /// Time for which requests still wait, in milliseconds; 0 if none does.
    fn left_ms(&self, now_ms: u64) -> u64 {
        let ended_ms = self.ended_ms.get();
        ended_ms.map_or(0, |ended_ms| (ended_ms + CATCH_UP_TIMEOUT_MS).saturating_sub(now_ms))
    }

    /// Records that a core has answered a ping that was sent at `sent_ms`. Returns whether that is
    /// the first one since a standstill.
    fn record_answer(&self, sent_ms: u64) -> bool {
        let is_first = self.ended_ms.get().is_some_and(|ended_ms| sent_ms >= ended_ms);
        if is_first {
            self.ended_ms.set(None);
            self.has_caught_up.notify_waiters();
        }
        is_first
    }
}

impl Entry {
    /// Checks at intervals whether this host has stood still.
    pub(super) async fn run_standstill_checks(self: Rc<Self>) {
        let mut tick = time::interval(CHECK_INTERVAL);
        loop {
            tick.tick().await;
            self.check_standstill();
            if self.standstill.left_ms(clock::now_ms()) > 0 {
                self.ping_cores();
            }
        }
    }

    /// Waits until this host has read what cores sent while it stood still, if it has. A host that
    /// hears no core goes on by what it knows.
    pub(super) async fn wait_until_caught_up(&self) {
        self.check_standstill();
        let left_ms = self.standstill.left_ms(clock::now_ms());
        if left_ms > 0 {
            let has_caught_up = self.standstill.has_caught_up.notified();
            time::timeout(Duration::from_millis(left_ms), has_caught_up).await.ok();
        }
    }

    /// Handles the answer of a host to a ping.
    pub(super) fn on_pong(&self, from: &Name, pong: &FleetPing) {
        let is_core = {
            let view = self.node.view.borrow();
            view.hosts.get(from).is_some_and(|host| host.role == FleetHostRole::Core)
        };
        if is_core && self.standstill.record_answer(pong.sent_ms) {
            log::info!(
                event = Event::CaughtUp.number(), from = from.as_str();
                "caught up after a standstill"
            );
        }
    }

    fn check_standstill(&self) {
        let Some(stood_still_ms) = self.standstill.check(clock::now_ms()) else { return };
        log::warn!(
            event = Event::StoodStill.number(), stood_still_ms = stood_still_ms;
            "this host has stood still; streams wait until it has heard a core"
        );
        self.ping_cores();
    }

    fn ping_cores(&self) {
        let Some(hub) = self.node.hub() else { return };
        let ping = FleetFrame::Ping(FleetPing { sent_ms: clock::now_ms() });
        for core in self.stream_cores() {
            hub.send(&core, ping.clone());
        }
    }
}
