//! Going on with a stream at another worker.

use std::time::Duration;

use anvillift_fleet::verdict::AttemptEnd;
use anvillift_http::Connection;

use crate::entry::Entry;
use crate::entry::attempt::Exchange;
use crate::entry::forward::{Attempts, Begun};
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
            let mut begun = self.begin(request, attempts, target);
            let (after, left_ms) = (last_id.as_deref(), request.left_ms());
            let exchange =
                self.attempt(caller, request, &begun.target, after, left_ms, || false).await;
            match exchange {
                Exchange::Answered(answer) if answer.head.status == 200 => {
                    attempts.ran += 1;
                    events.drop_partial();
                    self.note_answer(request, &mut begun);
                    return Some(Source::new(begun, *answer));
                }
                Exchange::Answered(answer) => {
                    let reason = format!("answered {} in place of a stream", answer.head.status);
                    end = self.close_broken(request, attempts, begun, &reason);
                }
                Exchange::CallerLeft => {
                    self.close(request, begun, None, "caller_left", "");
                    return None;
                }
                Exchange::Ended(AttemptEnd::Broken, reason) => {
                    end = self.close_broken(request, attempts, begun, &reason);
                }
                Exchange::Ended(ended, reason) => {
                    self.close(request, begun, Some(false), &ended.to_string(), &reason);
                    end = ended;
                }
            }
        }
    }

    /// Ends the accounts of an attempt that may have run without going on.
    fn close_broken(
        &self,
        request: &Request,
        attempts: &mut Attempts,
        begun: Begun,
        reason: &str,
    ) -> AttemptEnd {
        attempts.ran += 1;
        self.close(request, begun, Some(false), "broken", reason);
        AttemptEnd::Broken
    }
}
