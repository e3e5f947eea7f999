//! The planned stop of an entry host.
//!
//! The host leaves the directory and goes on serving, first new requests too. Shortly before the
//! grace period is over, the requests that are left get the answer that is true for them by their
//! [progress](RequestProgress), whatever they wait for. The policy for new requests is
//! [`stop_admission`].

use std::time::Duration;

use anvillift_fleet::stop_admission::{RequestTime, StopState};
use anvillift_fleet::{Route, stop_admission};
use anvillift_http::Connection;
use anvillift_schema::event::Event;
use anvillift_schema::name::Name;
use futures_util::future;
use tokio::time;

use crate::clock;
use crate::entry::Entry;
use crate::entry::front::{ConnectionAction, Origin};
use crate::entry::request_failure::RequestFailure;
use crate::entry::request_progress::RequestProgress;
use crate::entry::served_request::ServedRequest;

/// Shortest time in milliseconds for which the process keeps running after the
/// start of a planned stop, since callers use cached directory answers for a while.
const MIN_DRAIN_MS: u64 = 1_200;
/// Part of the grace period that is kept for the last answers and for the process to exit by
/// itself, in milliseconds.
const EXIT_MARGIN_MS: u64 = 900;
/// Longest time for the last answers, in milliseconds.
const LAST_ANSWERS_MS: u64 = 400;
/// Longest time for which the rest of a refused request is read and discarded, so that its sender
/// gets the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which a planned stop checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Checks in a row without a request after which the process exits. One is not enough, since
/// a request may arrive on an open connection at that moment.
const IDLE_CHECKS: u32 = 5;

/// Multiple of the average time of an answer that most answers take at most.
const USUAL_RUN_TIMES: f64 = 2.0;

/// Times of a planned stop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedStop {
    began_ms: u64,
    /// Time at which it ends the requests in service.
    ends_ms: u64,
}

impl PlannedStop {
    fn begin(grace_ms: u64) -> Self {
        let began_ms = clock::now_ms();
        Self { began_ms, ends_ms: began_ms + grace_ms.saturating_sub(EXIT_MARGIN_MS) }
    }

    /// Time until it ends the requests in service, in milliseconds.
    pub(crate) fn left_ms(self) -> u64 {
        self.ends_ms.saturating_sub(clock::now_ms())
    }
}

impl Entry {
    /// Runs the planned stop: announces this host as leaving, which removes it
    /// from the directory, closes the listening sockets once callers have had time to
    /// notice, and returns when the requests being served have ended. Those that have not
    /// when the grace period is almost over are ended by it.
    pub(crate) async fn stop(&self) {
        let stop = PlannedStop::begin(self.node.settings.grace_ms);
        let PlannedStop { began_ms, ends_ms } = stop;
        self.planned_stop.set(Some(stop));
        self.node.leave();
        log::info!(
            event = Event::HostDraining.number(), in_service = self.served.total();
            "planned stop started"
        );
        let earliest_ms = (began_ms + MIN_DRAIN_MS).min(ends_ms);
        // Under steady load the host is never idle. The second half of the time is left for
        // the requests accepted by then.
        let latest_ms = earliest_ms.max(began_ms + (ends_ms - began_ms) / 2);
        self.wait_until_idle(1, earliest_ms, latest_ms).await;
        self.close_listeners(stop).await;
        self.wait_until_idle(IDLE_CHECKS, earliest_ms, ends_ms).await;
        if self.served.total() > 0 {
            self.end_requests().await;
        }
    }

    /// Closes the listening sockets, and waits until the connections whose handshake has begun
    /// are accepted: their callers may have sent requests already.
    async fn close_listeners(&self, stop: PlannedStop) {
        self.accepting_ends.notify_waiters();
        let closing = future::join_all(self.accepting.take());
        let timeout = Duration::from_millis(stop.left_ms());
        if time::timeout(timeout, closing).await.is_err() {
            log::warn!("the listening sockets were not closed within {timeout:?}");
        }
    }

    /// Ends the requests in service, and waits until their last answers are written.
    async fn end_requests(&self) {
        self.log_unfinished();
        // Callers may take their streams up at other hosts right away.
        self.announce_streams();
        self.requests_end.send_replace(true);
        let now_ms = clock::now_ms();
        self.wait_until_idle(1, now_ms, now_ms + LAST_ANSWERS_MS).await;
    }

    /// Logs how many requests have not ended when the planned stop does.
    fn log_unfinished(&self) {
        log::warn!(
            event = Event::RequestsUnfinished.number(),
            receiving = self.served.count(RequestProgress::Receiving),
            not_run = self.served.count(RequestProgress::NotRun),
            may_have_run = self.served.count(RequestProgress::MayHaveRun),
            answering = self.served.count(RequestProgress::Answering);
            "planned stop ends with requests in service"
        );
    }

    /// Waits until `checks` checks in a row since `earliest_ms` have found no request, at
    /// most until `latest_ms`.
    async fn wait_until_idle(&self, checks: u32, earliest_ms: u64, latest_ms: u64) {
        let mut idle_checks = 0;
        while idle_checks < checks && clock::now_ms() < latest_ms {
            time::sleep(DRAIN_POLL_INTERVAL).await;
            let is_idle = self.served.total() == 0 && clock::now_ms() >= earliest_ms;
            idle_checks = if is_idle { idle_checks + 1 } else { 0 };
        }
    }

    /// Waits until the planned stop ends the requests in service.
    pub(super) async fn requests_end(&self) {
        let ended = self.requests_end.subscribe().wait_for(|is_over| *is_over).await.is_ok();
        if !ended {
            future::pending().await
        }
    }

    /// Answers a request that has not ended when the planned stop does.
    pub(super) async fn end_at_stop(
        &self,
        connection: &mut Connection,
        served: &ServedRequest,
        origin: Origin,
    ) -> ConnectionAction {
        let progress = served.progress();
        let failure = match progress {
            RequestProgress::Receiving | RequestProgress::NotRun => RequestFailure::DRAINING,
            RequestProgress::MayHaveRun => RequestFailure::STOPPED,
            RequestProgress::Answering => {
                log::info!(
                    event = Event::RequestAbandoned.number(), id = served.id(),
                    progress = progress.to_string(), origin = origin.to_string();
                    "answer cut by the planned stop"
                );
                connection.reset_on_drop();
                return ConnectionAction::Close;
            }
        };
        log::info!(
            event = Event::RequestAbandoned.number(), id = served.id(),
            code = failure.code.number(), status = failure.code.status(),
            progress = progress.to_string(), origin = origin.to_string();
            "given up: {}", failure.code.title()
        );
        let reply = self.failure_reply(failure, origin);
        let action = self.reply(connection, served, reply, false).await;
        if progress == RequestProgress::Receiving {
            // Closing a connection with unread bytes would reset it before the answer is read.
            time::timeout(DISCARD_TIMEOUT, connection.discard_until_close()).await.ok();
        }
        action
    }

    /// Whether the planned stop, if there is one, takes a new request. `left_ms` is the time until
    /// its deadline.
    pub(super) fn stop_admits(&self, route: &Route, service: &Name, left_ms: u64) -> bool {
        let Some(stop) = self.planned_stop.get() else { return true };
        let state = StopState {
            age_ms: clock::now_ms() - stop.began_ms,
            left_ms: stop.left_ms(),
            grace_ms: self.node.settings.grace_ms,
        };
        let usual_ms = self.usual_time_ms(route, service);
        stop_admission::admits(&state, &RequestTime { left_ms, usual_ms })
    }

    /// Time that requests of a route and service usually take at most, in milliseconds.
    fn usual_time_ms(&self, route: &Route, service: &Name) -> u64 {
        let dispatch = self.dispatch.borrow();
        let first_ms = dispatch.answer_timeouts.timeout_ms(&route.name, route.target_latency_ms);
        let run_time = dispatch.run_times.get(service).copied().unwrap_or_default();
        first_ms + (run_time.average_ms() * USUAL_RUN_TIMES) as u64
    }
}
