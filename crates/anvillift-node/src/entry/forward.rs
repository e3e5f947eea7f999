//! The attempts of a request, one after the other.

use std::collections::BTreeSet;

use anvillift_fleet::verdict::{AttemptEnd, Final, RequestState, Step};
use anvillift_fleet::{Flight, verdict};
use anvillift_http::Connection;
use anvillift_schema::event::Event;
use anvillift_schema::name::Name;

use crate::clock;
use crate::entry::Entry;
use crate::entry::attempt::{Answer, Exchange};
use crate::entry::final_answer::GivenUp;
use crate::entry::front::{Next, Origin};
use crate::entry::request::Request;
use crate::entry::target::Target;

/// The attempts made so far.
#[derive(Default)]
pub(crate) struct Attempts {
    /// Workers and hosts that were tried.
    pub(crate) tried: BTreeSet<Name>,
    /// Attempts made.
    pub(crate) sent: u32,
    /// Workers that may have run the request.
    pub(crate) ran: u32,
}

/// An attempt that has been begun.
pub(crate) struct Begun {
    pub(crate) target: Target,
    pub(crate) flight: Flight,
    began_ms: u64,
}

impl Attempts {
    pub(crate) fn state(&self, request: &Request) -> RequestState {
        let is_passed_on = request.origin == Origin::Host;
        RequestState {
            kind: request.route.kind,
            ran: self.ran,
            attempts: verdict::attempts_here(request.route.attempts, is_passed_on),
            sent: self.sent,
            left_ms: request.left_ms(),
        }
    }
}

impl Entry {
    /// Serves a request by attempts until one is answered or none is left.
    pub(crate) async fn forward(
        &self,
        caller: &mut Connection,
        request: &Request,
        keeps: bool,
    ) -> Next {
        let mut attempts = Attempts::default();
        loop {
            let Some(target) = self.next_target(request, &attempts.tried) else {
                let end = if attempts.ran > 0 { Final::Unknown } else { Final::Refused };
                return self.end(caller, request, &attempts, end, keeps).await;
            };
            let mut begun = self.begin(request, &mut attempts, target);
            let patience_ms = self.patience_ms(request, &attempts);
            let may_move = || self.could_move(request, &attempts);
            let exchange =
                self.attempt(caller, request, &begun.target, None, patience_ms, may_move).await;
            match exchange {
                Exchange::CallerLeft => {
                    self.close(request, begun, None, "caller_left", "");
                    return Next::Close;
                }
                Exchange::Answered(answer) => {
                    attempts.ran += 1;
                    self.note_answer(request, &mut begun);
                    if !self.tries_again_after(request, &attempts, &begun.target, &answer) {
                        log_attempt(request, &begun, "answered", "");
                        return self.relay(caller, request, begun, *answer, attempts, keeps).await;
                    }
                    self.close(request, begun, Some(true), "failed", "");
                    drain(*answer).await;
                }
                Exchange::Ended(end, reason) => {
                    let end = self.close_ended(request, &mut attempts, begun, end, &reason);
                    if let Some(end) = end {
                        return self.end(caller, request, &attempts, end, keeps).await;
                    }
                }
            }
        }
    }

    /// Counts an attempt that is about to be made.
    pub(crate) fn begin(
        &self,
        request: &Request,
        attempts: &mut Attempts,
        target: Target,
    ) -> Begun {
        attempts.sent += 1;
        attempts.tried.insert(target.name.clone());
        let began_ms = clock::now_ms();
        let flight = self.load.borrow_mut().begin(began_ms, &target.name, &request.prompt);
        Begun { target, flight, began_ms }
    }

    /// Notes that the answer of an attempt has begun.
    pub(crate) fn note_answer(&self, request: &Request, begun: &mut Begun) {
        let now_ms = clock::now_ms();
        let (route, first_ms) = (&request.route.name, now_ms - begun.began_ms);
        self.load.borrow_mut().answered(now_ms, &mut begun.flight, route, first_ms);
    }

    /// Ends the accounts of an attempt whose answer is not passed on; `good`
    /// says what it tells of the worker, if anything.
    pub(crate) fn close(
        &self,
        request: &Request,
        begun: Begun,
        good: Option<bool>,
        outcome: &str,
        reason: &str,
    ) {
        log_attempt(request, &begun, outcome, reason);
        self.load.borrow_mut().end(clock::now_ms(), begun.flight, good);
        self.tell_waiting();
    }

    /// Ends the accounts of an attempt without an answer; gives how the request
    /// ends, unless another attempt follows.
    pub(crate) fn close_ended(
        &self,
        request: &Request,
        attempts: &mut Attempts,
        begun: Begun,
        end: AttemptEnd,
        reason: &str,
    ) -> Option<Final> {
        attempts.ran += u32::from(matches!(end, AttemptEnd::Broken | AttemptEnd::TimedOut));
        self.close(request, begun, Some(false), &end.to_string(), reason);
        self.after(request, attempts, end)
    }

    /// How a request ends after an attempt, unless another one follows.
    pub(crate) fn after(
        &self,
        request: &Request,
        attempts: &Attempts,
        end: AttemptEnd,
    ) -> Option<Final> {
        match verdict::step(end, &attempts.state(request)) {
            Step::TryAnother => None,
            Step::End(end) => Some(end),
            Step::RetryElse(end) => (!self.may_retry(request)).then_some(end),
        }
    }

    /// Whether another worker could be asked now.
    pub(crate) fn could_move(&self, request: &Request, attempts: &Attempts) -> bool {
        let now_ms = clock::now_ms();
        let hosts = self.sharing_hosts(now_ms);
        let allows = hosts.is_some_and(|hosts| {
            self.load.borrow_mut().retries.allows(now_ms, &request.service, hosts)
        });
        allows && self.next_target(request, &attempts.tried).is_some()
    }

    /// How long the next answer is waited for, in milliseconds: to the end,
    /// unless another worker may run the request too.
    fn patience_ms(&self, request: &Request, attempts: &Attempts) -> u64 {
        let left_ms = request.left_ms();
        let state = attempts.state(request);
        if !state.kind.may_repeat() || state.ran + 1 >= state.attempts {
            return left_ms;
        }
        let route = &request.route;
        let load = self.load.borrow();
        load.patience.wait_ms(&route.name, route.target_latency_ms).min(left_ms)
    }

    fn may_retry(&self, request: &Request) -> bool {
        let now_ms = clock::now_ms();
        self.sharing_hosts(now_ms).is_some_and(|hosts| {
            self.load.borrow_mut().retries.spend(now_ms, &request.service, hosts)
        })
    }

    /// Hosts that share limits with this one, itself included, while it may use
    /// its part.
    fn sharing_hosts(&self, now_ms: u64) -> Option<usize> {
        let known = self.node.known.borrow();
        known.hosts.holds_share(now_ms).then(|| known.hosts.entries_known())
    }

    /// Whether the worker's own failure is better answered by another worker.
    fn tries_again_after(
        &self,
        request: &Request,
        attempts: &Attempts,
        target: &Target,
        answer: &Answer,
    ) -> bool {
        let is_failure = answer.head.status >= 500;
        if !self.load.borrow_mut().fails_by_itself(&target.name, is_failure) {
            return false;
        }
        let another = self.next_target(request, &attempts.tried).is_some();
        another && self.after(request, attempts, AttemptEnd::Failed).is_none()
    }

    /// Gives a request its final answer.
    async fn end(
        &self,
        caller: &Connection,
        request: &Request,
        attempts: &Attempts,
        end: Final,
        keeps: bool,
    ) -> Next {
        let given_up = GivenUp::of(end);
        log::info!(
            event = Event::RequestGivenUp.number(), id = request.id.as_str(),
            route = request.route.name.as_str(), service = request.service.as_str(),
            code = given_up.code.number(), status = given_up.code.status(), sent = attempts.sent,
            ran = attempts.ran, age_ms = request.age_ms(), version = request.version,
            origin = request.origin.to_string();
            "given up: {}", given_up.code.title()
        );
        let reply = self.give_up(given_up, request.origin);
        self.reply(caller, reply, keeps).await
    }
}

/// Reads the rest of an answer that is not passed on, so that its connection
/// can be used again.
async fn drain(answer: Answer) {
    const DRAINED_BYTES: u64 = 64 * 1024;
    const DRAIN_WITHIN: std::time::Duration = std::time::Duration::from_millis(20);
    let Answer { mut lease, head, mut body, answered_early, .. } = answer;
    let Ok(connection) = lease.connection() else { return };
    let read = connection.read_whole(&mut body, DRAINED_BYTES);
    let whole = matches!(tokio::time::timeout(DRAIN_WITHIN, read).await, Ok(Ok(_)));
    if whole && !answered_early {
        lease.release(&head);
    }
}

fn log_attempt(request: &Request, begun: &Begun, outcome: &str, reason: &str) {
    let Begun { target, began_ms, .. } = begun;
    log::info!(
        event = Event::AttemptEnded.number(), id = request.id.as_str(),
        route = request.route.name.as_str(), to = target.name.as_str(), chosen = target.reason,
        outcome = outcome, reason = reason, waited_ms = clock::now_ms() - began_ms,
        age_ms = request.age_ms(), left_ms = request.left_ms(), version = request.version;
        "attempt"
    );
}
