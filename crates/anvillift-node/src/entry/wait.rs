//! Requests that wait for what a host that has just started doesn't know yet.

use std::time::Duration;

use anvillift_fleet::start_wait;
use anvillift_fleet::start_wait::Sight;
use anvillift_http::Connection;
use anvillift_schema::event::Event;
use tokio::time;

use crate::clock;
use crate::entry::Entry;
use crate::node::Known;

/// How a wait ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Waited {
    /// It is known now, or was from the start, or it is waited for no longer.
    Over,
    /// The caller has left.
    CallerLeft,
}

impl Entry {
    /// Lets a request wait until something is known, for as long as it is
    /// likely to come.
    pub(super) async fn await_known(
        &self,
        caller: &mut Connection,
        id: &str,
        caller_ms: u64,
        is_known: impl Fn(&Known) -> bool,
    ) -> Waited {
        let began_ms = clock::now_ms();
        let waiting = self.waiting.get();
        let started_ago_ms = began_ms - self.started_ms;
        let wait_ms = start_wait::wait_ms(&Sight { started_ago_ms, caller_ms, waiting });
        if wait_ms == 0 || is_known(&self.node.known.borrow()) {
            return Waited::Over;
        }
        self.waiting.set(waiting + 1);
        let news = async {
            loop {
                let news = self.news.notified();
                if is_known(&self.node.known.borrow()) {
                    return;
                }
                news.await;
            }
        };
        let waited = tokio::select! {
            _ = time::timeout(Duration::from_millis(wait_ms), news) => Waited::Over,
            () = caller.departed() => Waited::CallerLeft,
        };
        self.waiting.set(self.waiting.get() - 1);
        log::info!(
            event = Event::RequestWaited.number(), id = id, started_ago_ms = started_ago_ms,
            waited_ms = clock::now_ms() - began_ms, caller_left = waited == Waited::CallerLeft,
            is_known = is_known(&self.node.known.borrow());
            "waited for what was not known yet"
        );
        waited
    }

    /// Tells those that wait that something has changed.
    pub(super) fn tell_waiting(&self) {
        if self.waiting.get() > 0 {
            self.news.notify_waiters();
        }
    }
}
