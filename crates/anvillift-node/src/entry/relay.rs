//! Passing an answer on, as it arrives.
//!
//! The head is held until the first part of the body is there, so that a worker
//! that fails before it has not yet bound the answer. An answer that breaks off
//! ends the caller's connection without its end mark, so that it never looks
//! whole.

use std::io;
use std::time::Duration;

use anvillift_fleet::{EventSplitter, Flight};
use anvillift_http::{BodyReader, Connection, Framing, HttpError, ResponseHead};
use anvillift_schema::event::Event;
use bytes::Bytes;
use tokio::time;

use crate::clock;
use crate::entry::Entry;
use crate::entry::attempt::Answer;
use crate::entry::forward::{Attempts, Begun};
use crate::entry::front::Next;
use crate::entry::pool::Lease;
use crate::entry::request::Request;
use crate::entry::target::Target;

/// Where the answer comes from at the moment.
pub(super) struct Source {
    pub(super) target: Target,
    flight: Flight,
    pub(super) lease: Lease,
    pub(super) head: ResponseHead,
    pub(super) body: BodyReader,
    pub(super) answered_early: bool,
}

impl Source {
    pub(super) fn new(begun: Begun, answer: Answer) -> Self {
        let Answer { lease, head, body, answered_early, .. } = answer;
        let Begun { target, flight, .. } = begun;
        Self { target, flight, lease, head, body, answered_early }
    }

    async fn next(&mut self) -> Result<Option<Bytes>, HttpError> {
        let body = &mut self.body;
        self.lease.connection()?.read_body(body).await
    }
}

/// What came next.
enum Part {
    Data(Bytes),
    End,
    Broken(String),
    /// Nothing has come for long, and another worker could go on.
    StandsStill,
    /// The time is over, or the caller has left; which, for the log.
    Ended(&'static str),
}

/// The answer on the caller's side.
pub(super) struct Outlet {
    head: Option<Vec<u8>>,
    chunked: bool,
    keeps: bool,
    pub(super) events: Option<EventSplitter>,
    pub(super) passed_on_ms: Option<u64>,
    /// Whether the stream may still be moved where it stands still; it is
    /// tried once.
    pub(super) may_move: bool,
    /// Parts passed on, and the longest pause between two of them.
    parts: u64,
    longest_pause_ms: u64,
    last_part_ms: u64,
}

impl Entry {
    /// Passes an answer on to the caller.
    pub(super) async fn relay(
        &self,
        caller: &mut Connection,
        request: &Request,
        begun: Begun,
        answer: Answer,
        mut attempts: Attempts,
        keeps: bool,
    ) -> Next {
        let keeps = keeps && !self.node.is_leaving();
        let mut outlet = Outlet::new(&answer, request, keeps);
        let mut source = Source::new(begun, answer);
        loop {
            match self.next_part(caller, request, &attempts, &mut source, &outlet).await {
                Part::Data(data) => {
                    self.load.borrow_mut().heard(clock::now_ms(), &source.target.name);
                    if outlet.write(caller, &data).await.is_err() {
                        self.finish(request, source, &outlet, None, "caller_left");
                        return Next::Close;
                    }
                }
                Part::StandsStill => {
                    outlet.may_move = false;
                    let moved = self.resume(caller, request, &mut attempts, &mut outlet).await;
                    if let Some(next) = moved {
                        // What is dropped here ends the work of the worker before.
                        self.abandon(request, source, "the stream stood still");
                        source = next;
                    }
                }
                Part::Broken(reason) => {
                    self.abandon(request, source, &reason);
                    let moved = self.resume(caller, request, &mut attempts, &mut outlet).await;
                    let Some(next) = moved else {
                        caller.reset_on_drop();
                        return Next::Close;
                    };
                    source = next;
                }
                Part::End => {
                    let good = source.head.status < 500;
                    let ended = outlet.end(caller).await;
                    let keeps = outlet.keeps && ended.is_ok();
                    self.finish(request, source, &outlet, Some(good), "complete");
                    return if keeps { Next::Keep } else { Next::Close };
                }
                Part::Ended(outcome) => {
                    self.finish(request, source, &outlet, None, outcome);
                    caller.reset_on_drop();
                    return Next::Close;
                }
            }
        }
    }

    /// Gives up a worker whose answer does not go on.
    fn abandon(&self, request: &Request, source: Source, reason: &str) {
        log_broken(request, &source.target, reason);
        self.load.borrow_mut().end(clock::now_ms(), source.flight, Some(false));
    }

    async fn next_part(
        &self,
        caller: &mut Connection,
        request: &Request,
        attempts: &Attempts,
        source: &mut Source,
        outlet: &Outlet,
    ) -> Part {
        let left = Duration::from_millis(request.left_ms());
        let patience =
            self.patience(request, attempts, outlet).map_or(left, |patience| patience.min(left));
        tokio::select! {
            biased;
            read = time::timeout(patience, source.next()) => match read {
                Ok(Ok(Some(data))) => Part::Data(data),
                Ok(Ok(None)) if outlet.ends_whole(source) => Part::End,
                Ok(Ok(None)) => Part::Broken("the stream ended inside an event".to_owned()),
                Ok(Err(error)) => Part::Broken(error.to_string()),
                Err(_) if request.left_ms() == 0 => Part::Ended("timed_out"),
                Err(_) => Part::StandsStill,
            },
            () = caller.departed() => Part::Ended("caller_left"),
        }
    }

    /// Ends the accounts of an answer.
    fn finish(
        &self,
        request: &Request,
        source: Source,
        outlet: &Outlet,
        good: Option<bool>,
        outcome: &str,
    ) {
        let now_ms = clock::now_ms();
        self.load.borrow_mut().end(now_ms, source.flight, good);
        self.tell_waiting();
        let age_ms = request.age_ms();
        let first_ms = outlet.passed_on_ms.map_or(age_ms, |ms| ms - request.arrived_ms);
        log::info!(
            event = Event::AnswerEnded.number(), id = request.id.as_str(),
            route = request.route.name.as_str(), from = source.target.name.as_str(),
            status = source.head.status, first_ms = first_ms, age_ms = age_ms,
            parts = outlet.parts, pause_ms = outlet.longest_pause_ms, version = request.version;
            "answer {outcome}"
        );
        metrics::counter!("anvillift_answers_total", "outcome" => outcome.to_owned()).increment(1);
        metrics::histogram!("anvillift_first_byte_ms", "kind" => request.route.kind.to_string())
            .record(first_ms as f64);
        metrics::histogram!("anvillift_answer_ms", "kind" => request.route.kind.to_string())
            .record(age_ms as f64);
        if source.body.has_ended() && !source.answered_early && outcome == "complete" {
            source.lease.release(&source.head);
        }
    }
}

impl Outlet {
    fn new(answer: &Answer, request: &Request, keeps: bool) -> Self {
        let resumable = request.route.kind.may_repeat() && request.route.kind.is_stream();
        let splits = resumable && answer.head.status == 200;
        let has_length = matches!(answer.framing, Framing::None | Framing::Length(_)) && !splits;
        let chunked = !has_length && request.minor_version >= 1;
        let keeps = keeps && (has_length || chunked);
        let mut head = answer.head.clone();
        head.headers.remove_hop_by_hop();
        if !has_length {
            head.headers.remove("content-length");
        }
        if chunked {
            head.headers.push("Transfer-Encoding", "chunked");
        }
        if !keeps {
            head.headers.push("Connection", "close");
        }
        let mut bytes = Vec::with_capacity(512);
        head.write_to(&mut bytes);
        bytes.extend_from_slice(b"\r\n");
        let events = splits.then(EventSplitter::default);
        Self {
            head: Some(bytes),
            chunked,
            keeps,
            events,
            passed_on_ms: None,
            may_move: true,
            parts: 0,
            longest_pause_ms: 0,
            last_part_ms: 0,
        }
    }

    /// Whether anything has reached the caller.
    pub(super) fn has_begun(&self) -> bool {
        self.head.is_none()
    }

    /// Whether the end of a source is the end of a whole answer.
    fn ends_whole(&self, source: &Source) -> bool {
        let inside = self.events.as_ref().is_some_and(EventSplitter::has_partial);
        !(inside && source.head.status == 200)
    }

    async fn write(&mut self, caller: &Connection, data: &[u8]) -> io::Result<()> {
        let whole = self.events.as_mut().map(|events| events.push(data));
        let data = whole.as_deref().unwrap_or(data);
        if data.is_empty() {
            return Ok(());
        }
        self.count_part();
        let mut bytes = self.head.take().unwrap_or_default();
        if self.chunked {
            bytes.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
            bytes.extend_from_slice(data);
            bytes.extend_from_slice(b"\r\n");
        } else {
            bytes.extend_from_slice(data);
        }
        caller.write_all(&bytes).await
    }

    fn count_part(&mut self) {
        let now_ms = clock::now_ms();
        if self.passed_on_ms.is_some() {
            self.longest_pause_ms = self.longest_pause_ms.max(now_ms - self.last_part_ms);
        }
        self.passed_on_ms.get_or_insert(now_ms);
        self.last_part_ms = now_ms;
        self.parts += 1;
    }

    async fn end(&mut self, caller: &Connection) -> io::Result<()> {
        self.passed_on_ms.get_or_insert_with(clock::now_ms);
        let mut bytes = self.head.take().unwrap_or_default();
        if self.chunked {
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
        caller.write_all(&bytes).await
    }
}

fn log_broken(request: &Request, target: &Target, reason: &str) {
    log::warn!(
        event = Event::UpstreamBroke.number(), id = request.id.as_str(),
        from = target.name.as_str(), reason = reason, age_ms = request.age_ms();
        "an answer broke off"
    );
}
