//! One attempt: sends a request to a worker or another host and reads the head of
//! the response.

use std::pin::pin;
use std::time::Duration;

use anvillift_fleet::retry_decision::AttemptEnd;
use anvillift_http::{BodyReader, Connection, Framing, HeadLimits, ResponseHead};
use anvillift_schema::code::Code;
use anvillift_schema::name::Name;
use tokio::time;

use crate::clock;
use crate::entry::forward_headers::{
    CALLER_HEADER, CONFIGURATION_HEADER, FORWARDED_FROM_HEADER, NOT_RUN_HEADER, NOT_SENT,
    SERVICE_HEADER, STREAM_VERSION_HEADER, TEAM_HEADER, TRIAL_HEADER,
};
use crate::entry::planned_stop::PlannedStop;
use crate::entry::pool::{AcquireError, Lease};
use crate::entry::request::Request;
use crate::entry::request_bytes::RequestBytes;
use crate::entry::target::Target;
use crate::entry::{Entry, exchange};

/// Longest time for connecting to a worker of this region.
const LOCAL_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time for connecting to a host of another region.
const REMOTE_CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Statuses that promise callers that a request has not run. A worker must state it besides.
const PROMISES_OF_NO_RUN: [u16; 3] = [408, 429, 503];
/// A response whose head has been read, with the connection that carries the body.
pub(crate) struct StartedResponse {
    pub(crate) lease: Lease,
    pub(crate) head: ResponseHead,
    pub(crate) body: BodyReader,
    pub(crate) framing: Framing,
    /// Version of the software of the worker, or `None` if it isn't known.
    pub(crate) version: Option<Name>,
    /// Whether the head arrived before the entire request was sent.
    pub(crate) answered_early: bool,
}

/// Result of an attempt.
pub(crate) enum AttemptOutcome {
    /// The head of a valid response has arrived.
    Answered(Box<StartedResponse>),
    /// There is no response to forward; the text is the reason for the log.
    NoResponse(AttemptEnd, String),
    /// The caller closed its connection.
    CallerLeft,
}

impl Entry {
    /// Sends a request and reads the head of the response, until the caller
    /// closes its connection or the deadline passes. After
    /// `response_timeout_ms` the attempt ends if `can_switch` returns true,
    /// which means that another worker can take the request.
    pub(crate) async fn attempt(
        &self,
        caller: &mut Connection,
        request: &Request,
        target: &Target,
        resume_after: Option<&str>,
        response_timeout_ms: u64,
        can_switch: impl Fn() -> bool,
    ) -> AttemptOutcome {
        let began_ms = clock::now_ms();
        // Unlike a branch of the `select!`, a timeout also fires while bytes keep arriving
        // without a pause.
        let remaining = Duration::from_millis(request.remaining_ms());
        let sending = time::timeout(remaining, self.send_request(request, target, resume_after));
        let mut sending = pin!(sending);
        let mut response_timeout = pin!(time::sleep(Duration::from_millis(response_timeout_ms)));
        let mut is_timeout_armed = true;
        loop {
            tokio::select! {
                biased;
                outcome = &mut sending => return outcome.unwrap_or_else(|_| {
                    let reason = "no response by the deadline".to_owned();
                    self.record_worker_failure(target, began_ms, false);
                    AttemptOutcome::NoResponse(AttemptEnd::TimedOut, reason)
                }),
                () = &mut response_timeout, if is_timeout_armed => {
                    is_timeout_armed = false;
                    if can_switch() {
                        let reason = "no response in time".to_owned();
                        self.record_worker_failure(target, began_ms, false);
                        return AttemptOutcome::NoResponse(AttemptEnd::Broken, reason);
                    }
                }
                () = caller.wait_for_close() => return AttemptOutcome::CallerLeft,
            }
        }
    }

    async fn send_request(
        &self,
        request: &Request,
        target: &Target,
        resume_after: Option<&str>,
    ) -> AttemptOutcome {
        let connect_timeout =
            if target.is_host { REMOTE_CONNECT_TIMEOUT } else { LOCAL_CONNECT_TIMEOUT };
        let (address, limit) = (target.address, target.connection_limit);
        let id_and_method = (request.id.as_str(), request.head.method.as_str());
        let acquired = self.pool.acquire(address, id_and_method, limit, connect_timeout).await;
        let mut lease = match acquired {
            Ok(lease) => lease,
            Err(error) => {
                if let AcquireError::Unreachable { .. } = &error {
                    let now_ms = clock::now_ms();
                    self.dispatch.borrow_mut().connect_failed(now_ms, &target.name);
                    self.node.view.borrow_mut().workers.suspect_cold(now_ms, &target.name);
                    self.record_worker_failure(target, now_ms, true);
                }
                return AttemptOutcome::NoResponse(AttemptEnd::NotSent, error.to_string());
            }
        };
        let is_new_connection = lease.is_new();
        request.served.record_attempt();
        let bytes = self.request_bytes(request, target, resume_after);
        let mut sent_bytes = 0;
        let sent_ms = clock::now_ms();
        let id_field = self.node.dialect.headers.request_id;
        let of_worker = HeadLimits::default();
        let limits = if target.is_host { of_worker.of_relayed() } else { of_worker };
        let read = match lease.connection() {
            Ok(connection) => {
                let on_head = |head: &ResponseHead| {
                    self.record_worker_answer(target, sent_ms, is_new_connection);
                    self.record_notices(request, target, sent_ms, head);
                };
                exchange::send_and_read(
                    connection,
                    &bytes,
                    &mut sent_bytes,
                    request,
                    id_field,
                    limits,
                    on_head,
                )
                .await
            }
            Err(error) => Err(error.into()),
        };
        match read {
            Ok(head) => {
                self.classify_response(request, target, lease, head, sent_bytes < bytes.len())
            }
            Err(_) if sent_bytes == 0 => {
                self.record_worker_failure(target, sent_ms, is_new_connection);
                AttemptOutcome::NoResponse(
                    AttemptEnd::NotSent,
                    "connection failed before any byte of the request was sent".to_owned(),
                )
            }
            Err(error) => {
                if error.is_disconnect() {
                    self.record_worker_failure(target, sent_ms, is_new_connection);
                }
                self.record_broken_answer(request, target);
                AttemptOutcome::NoResponse(AttemptEnd::Broken, error.to_string())
            }
        }
    }

    /// Checks the head of a response: rejections and responses without a valid
    /// request id or stamp end the attempt.
    fn classify_response(
        &self,
        request: &Request,
        target: &Target,
        lease: Lease,
        head: ResponseHead,
        answered_early: bool,
    ) -> AttemptOutcome {
        let names = &self.node.dialect.headers;
        // An answer that a host produces itself has no request id.
        let is_own_answer = !head.headers.contains(names.request_id);
        let was_not_run_by_host = target.is_host && head.headers.contains(NOT_RUN_HEADER);
        let framing = match Framing::of_response(&head, &request.head.method) {
            Ok(framing) => framing,
            Err(error) => return AttemptOutcome::NoResponse(AttemptEnd::Broken, error.to_string()),
        };
        if head.headers.contains(names.not_run) || head.status == 421 || was_not_run_by_host {
            let is_identified =
                target.is_host || head.headers.get(names.request_id) == Some(&request.id);
            if !is_identified && !lease.record_unnamed_rejection() {
                let reason = format!("rejection with {} without the id of a request", head.status);
                return AttemptOutcome::NoResponse(AttemptEnd::Broken, reason);
            }
            let is_unsent = head.headers.get(NOT_RUN_HEADER) == Some(NOT_SENT);
            if framing == Framing::Length(0) && !answered_early && is_identified {
                lease.release(&head);
            }
            if was_not_run_by_host && is_unsent {
                let reason = format!("not sent by the other host: status {}", head.status);
                return AttemptOutcome::NoResponse(AttemptEnd::NotSent, reason);
            }
            return AttemptOutcome::NoResponse(
                AttemptEnd::Rejected,
                format!("rejected with {}", head.status),
            );
        }
        if target.is_host && head.status == Code::UpstreamTimeout.status() && is_own_answer {
            let reason = "no response by the deadline at the other host".to_owned();
            return AttemptOutcome::NoResponse(AttemptEnd::TimedOut, reason);
        }
        if head.headers.get(names.request_id) != Some(&request.id) {
            let reason =
                format!("response with status {} lacks the id of this request", head.status);
            return AttemptOutcome::NoResponse(AttemptEnd::Broken, reason);
        }
        if PROMISES_OF_NO_RUN.contains(&head.status) {
            let reason = format!("status {} without a statement that it has not run", head.status);
            return AttemptOutcome::NoResponse(AttemptEnd::Broken, reason);
        }
        let is_success = (200..300).contains(&head.status);
        if is_success && !head.headers.contains(names.stamp) {
            let reason =
                format!("response with status {} lacks the stamp of a worker", head.status);
            return AttemptOutcome::NoResponse(AttemptEnd::Broken, reason);
        }
        let version = if target.is_host {
            head.headers.get(STREAM_VERSION_HEADER).map(Name::from)
        } else {
            target.version.clone()
        };
        if is_success && target.version.is_some() && version != target.version {
            let reason = format!("resumed at version {version:?} instead of {:?}", target.version);
            return AttemptOutcome::NoResponse(AttemptEnd::Broken, reason);
        }
        let body = BodyReader::new(framing);
        AttemptOutcome::Answered(Box::new(StartedResponse {
            lease,
            head,
            body,
            framing,
            version,
            answered_early,
        }))
    }

    /// Serialises the request with the fields for this attempt.
    fn request_bytes(
        &self,
        request: &Request,
        target: &Target,
        resume_after: Option<&str>,
    ) -> RequestBytes {
        let names = &self.node.dialect.headers;
        let mut head = request.head.clone();
        let stop_left_ms = self.planned_stop.get().map_or(u64::MAX, PlannedStop::left_ms);
        let time_ms = request.remaining_ms().min(stop_left_ms).max(1);
        head.headers.push(names.deadline_ms, time_ms.to_string());
        if target.is_host {
            head.headers.push(FORWARDED_FROM_HEADER, self.node.settings.region.to_string());
            head.headers.push(CALLER_HEADER, request.caller.to_string());
            head.headers.push(CONFIGURATION_HEADER, request.version.to_string());
            head.headers.push(SERVICE_HEADER, request.service.to_string());
            if let Some(team) = &request.team {
                head.headers.push(TEAM_HEADER, team.name.to_string());
            }
            if request.is_trial.get() {
                head.headers.push(TRIAL_HEADER, "1");
            }
            if let Some(version) = &target.version {
                head.headers.push(STREAM_VERSION_HEADER, version.to_string());
            }
        } else {
            head.headers.push(names.expected_worker, target.name.to_string());
            if let Some(team) = request.team.as_ref().filter(|_| !names.team.is_empty()) {
                head.headers.push(names.team, team.name.to_string());
            }
            if !names.engine_priority.is_empty() && request.prompt.input_tokens > 0 {
                head.headers.push(names.engine_priority, request.priority.min(9).to_string());
            }
        }
        if let Some(event_id) = resume_after {
            head.headers.remove(names.last_event_id);
            head.headers.push(names.last_event_id, event_id.to_owned());
        }
        if let Some(body) = &request.body {
            head.headers.push("Content-Length", body.len().to_string());
        }
        RequestBytes::new(&head, request.body.clone().unwrap_or_default())
    }
}
