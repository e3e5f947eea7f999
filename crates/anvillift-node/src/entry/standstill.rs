//! Notices that this host has stood still, and lets streams wait until it has read what happened
//! meanwhile.
//!
//! A host that wakes finds answers that have broken off, and goes on by what it knew of the workers
//! before it stood still, although the news may wait unread on its links. A link may also be lost,
//! and the next one brings the state of all workers. In both cases the answer of a core to a ping
//! that was sent after the standstill comes behind the news.

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

/// Interval at which this host notes that it runs, and sends pings while it waits for news.
const NOTE_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a note after which this host has stood still, in milliseconds.
const STANDSTILL_MS: u64 = 500;
/// Time after a standstill for which streams wait for news, in milliseconds.
const NEWS_TIMEOUT_MS: u64 = 800;

/// Whether this host has stood still, and has heard no core since.
#[derive(Debug)]
pub(super) struct Standstill {
    /// Time of the last note that this host runs, in milliseconds.
    noted_ms: Cell<u64>,
    /// End of a standstill since which no news has come, in milliseconds.
    ended_ms: Cell<Option<u64>>,
    /// Wakes the requests that wait for news.
    has_news: Notify,
}

impl Standstill {
    pub(super) fn new(now_ms: u64) -> Self {
        Self { noted_ms: Cell::new(now_ms), ended_ms: Cell::new(None), has_news: Notify::new() }
    }

    /// Notes that this host runs. Returns for how long it has stood still before, in milliseconds.
    fn note(&self, now_ms: u64) -> Option<u64> {
        let since_ms = now_ms.saturating_sub(self.noted_ms.replace(now_ms));
        if since_ms < STANDSTILL_MS {
            return None;
        }
        self.ended_ms.set(Some(now_ms));
        Some(since_ms)
    }

    /// Time for which news is still waited for, in milliseconds; 0 if none is.
    fn left_ms(&self, now_ms: u64) -> u64 {
        let ended_ms = self.ended_ms.get();
        ended_ms.map_or(0, |ended_ms| (ended_ms + NEWS_TIMEOUT_MS).saturating_sub(now_ms))
    }

    /// Records that a core has answered a ping that was sent at `sent_ms`. Returns whether that is
    /// the first one since a standstill.
    fn record_pong(&self, sent_ms: u64) -> bool {
        let is_news = self.ended_ms.get().is_some_and(|ended_ms| sent_ms >= ended_ms);
        if is_news {
            self.ended_ms.set(None);
            self.has_news.notify_waiters();
        }
        is_news
    }
}

impl Entry {
    /// Notes at intervals that this host runs.
    pub(super) async fn run_standstill_notes(self: Rc<Self>) {
        let mut tick = time::interval(NOTE_INTERVAL);
        loop {
            tick.tick().await;
            self.note_running();
            if self.standstill.left_ms(clock::now_ms()) > 0 {
                self.ping_cores();
            }
        }
    }

    /// Waits until this host has read the news since it stood still, if it has. A host that
    /// hears no core goes on by what it knows.
    pub(super) async fn wait_for_news(&self) {
        self.note_running();
        let left_ms = self.standstill.left_ms(clock::now_ms());
        if left_ms > 0 {
            let has_news = self.standstill.has_news.notified();
            time::timeout(Duration::from_millis(left_ms), has_news).await.ok();
        }
    }

    /// Handles the answer of a host to a ping.
    pub(super) fn on_pong(&self, from: &Name, pong: &FleetPing) {
        let is_core = {
            let view = self.node.view.borrow();
            view.hosts.get(from).is_some_and(|host| host.role == FleetHostRole::Core)
        };
        if is_core && self.standstill.record_pong(pong.sent_ms) {
            log::info!(
                event = Event::NewsRead.number(), from = from.as_str();
                "read the news since this host stood still"
            );
        }
    }

    fn note_running(&self) {
        let Some(stood_still_ms) = self.standstill.note(clock::now_ms()) else { return };
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
