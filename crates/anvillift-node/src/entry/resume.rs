//! Going on with a stream at another worker.

use std::time::Duration;

use anvillift_fleet::verdict::AttemptEnd;
use anvillift_http::Connection;

use crate::clock;
use crate::entry::Entry;
use crate::entry::attempt::Exchange;
use crate::entry::forward::{Attempts, log_attempt};
use crate::entry::relay::{Outlet, Source};
use crate::entry::request::Request;

/// Shortest pause after which a stream that may go on elsewhere is moved.
const STAND_STILL_MIN_MS: u64 = 900;
/// Pauses of the longest useful length after which it is moved.
const STAND_STILL_GAPS: u64 = 3;

impl Entry {
    /// How long a stream that may go on elsewhere may stand still.
    pub(super) fn patience(
        &self,
        request: &Request,
        attempts: &Attempts,
        outlet: &Outlet,
    ) -> Option<Duration> {
        outlet.events.as_ref().filter(|_| outlet.has_begun() && outlet.may_move)?;
        let state = attempts.state(request);
        if state.ran >= state.attempts || !self.could_move(request, attempts) {
            return None;
        }
        let pause_ms = request.route.target_gap_ms * STAND_STILL_GAPS;
        Some(Duration::from_millis(pause_ms.max(STAND_STILL_MIN_MS)))
    }

    /// Finds another worker that goes on after the last whole event.
    pub(super) async fn resume(
        &self,
        caller: &mut Connection,
        request: &Request,
        attempts: &mut Attempts,
        outlet: &mut Outlet,
    ) -> Option<Source> {
        let events = outlet.events.as_mut()?;
        let last_id = events.last_id().map(str::to_owned);
        let mut end = AttemptEnd::Broken;
        loop {
            if self.after(request, attempts, end).is_some() {
                return None;
            }
            let target = self.next_target(request, &attempts.tried)?;
            attempts.sent += 1;
            attempts.tried.insert(target.name.clone());
            let began_ms = clock::now_ms();
            self.load.borrow_mut().begin(began_ms, &target.name, &request.prompt);
            let exchange = {
                let (after, left_ms) = (last_id.as_deref(), request.left_ms());
                self.attempt(caller, request, &target, after, left_ms, || false).await
            };
            let now_ms = clock::now_ms();
            match exchange {
                Exchange::Answered(answer) if answer.head.status == 200 => {
                    attempts.ran += 1;
                    events.drop_partial();
                    self.load.borrow_mut().answered(now_ms, &target.name, &request.prompt);
                    log_attempt(request, &target, began_ms, "resumed", "");
                    return Some(Source::new(target, *answer));
                }
                Exchange::Answered(answer) => {
                    attempts.ran += 1;
                    self.load.borrow_mut().end(now_ms, &target.name, Some(false));
                    log_attempt(
                        request,
                        &target,
                        began_ms,
                        "failed",
                        &answer.head.status.to_string(),
                    );
                    end = AttemptEnd::Broken;
                }
                Exchange::CallerLeft => {
                    self.load.borrow_mut().end(now_ms, &target.name, None);
                    return None;
                }
                Exchange::Ended(ended, reason) => {
                    attempts.ran += u32::from(ended == AttemptEnd::Broken);
                    self.load.borrow_mut().end(now_ms, &target.name, Some(false));
                    log_attempt(request, &target, began_ms, &ended.to_string(), &reason);
                    end = ended;
                }
            }
        }
    }
}
