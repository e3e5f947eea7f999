//! One attempt: a request to one worker, up to the head of its answer.

use std::pin::pin;
use std::time::Duration;

use anvillift_fleet::verdict::AttemptEnd;
use anvillift_http::{BodyReader, Connection, Framing, HttpError, Progress, ResponseHead};
use tokio::time;

use crate::clock;
use crate::entry::Entry;
use crate::entry::pool::{AcquireError, Lease};
use crate::entry::request::Request;
use crate::entry::target::Target;

/// Longest time for a new connection within the region.
const CONNECT_WITHIN: Duration = Duration::from_millis(250);
/// Longest time for a new connection to another region.
const CONNECT_FAR_WITHIN: Duration = Duration::from_millis(600);
/// Largest head of an answer, in bytes.
const HEAD_BYTES: usize = 32 * 1024;
/// Largest answer to another request that is skipped, in bytes.
const SKIPPED_BYTES: u64 = 1024 * 1024;
/// Field that marks a request which another host passes on.
pub(crate) const FORWARDED: &str = "Anvillift-Forwarded-From";
/// Field by which another host says that a request has not run there.
pub(crate) const NOT_RUN_THERE: &str = "Anvillift-Not-Run";

/// The head of an answer, with the connection that carries the rest.
pub(crate) struct Answer {
    pub(crate) lease: Lease,
    pub(crate) head: ResponseHead,
    pub(crate) body: BodyReader,
    pub(crate) framing: Framing,
    /// Whether the worker has not read the whole request yet.
    pub(crate) answered_early: bool,
}

/// How an attempt went.
pub(crate) enum Exchange {
    /// An answer begins.
    Answered(Box<Answer>),
    /// There is none to pass on; why, for the log.
    Ended(AttemptEnd, String),
    /// The caller has left.
    CallerLeft,
}

impl Entry {
    /// Sends a request and reads the head of its answer, for as long as the
    /// caller stays. After `patience_ms` it is given up if `may_move` says that
    /// another worker can be asked.
    pub(crate) async fn attempt(
        &self,
        caller: &mut Connection,
        request: &Request,
        target: &Target,
        resume_after: Option<&str>,
        patience_ms: u64,
        may_move: impl Fn() -> bool,
    ) -> Exchange {
        let mut exchange = pin!(self.exchange(request, target, resume_after));
        let mut end = pin!(time::sleep(Duration::from_millis(request.left_ms())));
        let mut patience = pin!(time::sleep(Duration::from_millis(patience_ms)));
        let mut is_patient = true;
        loop {
            tokio::select! {
                biased;
                ended = &mut exchange => return ended,
                () = &mut end => {
                    return Exchange::Ended(AttemptEnd::TimedOut, "no answer in time".to_owned());
                }
                () = &mut patience, if is_patient => {
                    is_patient = false;
                    if may_move() {
                        let reason = "no answer for long".to_owned();
                        return Exchange::Ended(AttemptEnd::Broken, reason);
                    }
                }
                () = caller.departed() => return Exchange::CallerLeft,
            }
        }
    }

    async fn exchange(
        &self,
        request: &Request,
        target: &Target,
        resume_after: Option<&str>,
    ) -> Exchange {
        let within = if target.is_host { CONNECT_FAR_WITHIN } else { CONNECT_WITHIN };
        let acquired = self.pool.acquire(target.address, target.connection_limit, within).await;
        let mut lease = match acquired {
            Ok(lease) => lease,
            Err(error) => {
                if let AcquireError::Unreachable { .. } = &error {
                    let now_ms = clock::now_ms();
                    self.load.borrow_mut().unreachable(now_ms, &target.name);
                    self.node.known.borrow_mut().workers.doubt(now_ms, &target.name);
                }
                return Exchange::Ended(AttemptEnd::NotSent, error.to_string());
            }
        };
        let bytes = self.request_bytes(request, target, resume_after);
        let mut sent_bytes = 0;
        let id_field = self.node.dialect.headers.request_id;
        let read = match lease.connection() {
            Ok(connection) => {
                send_and_read(connection, &bytes, &mut sent_bytes, request, id_field).await
            }
            Err(error) => Err(error.into()),
        };
        match read {
            Ok(head) => self.judge(request, target, lease, head, sent_bytes < bytes.len()),
            Err(_) if sent_bytes == 0 => {
                Exchange::Ended(AttemptEnd::NotSent, "the connection had ended".to_owned())
            }
            Err(error) => Exchange::Ended(AttemptEnd::Broken, error.to_string()),
        }
    }

    /// Tells a rejection from an answer.
    fn judge(
        &self,
        request: &Request,
        target: &Target,
        lease: Lease,
        head: ResponseHead,
        answered_early: bool,
    ) -> Exchange {
        let names = &self.node.dialect.headers;
        let refused_there = target.is_host && head.headers.contains(NOT_RUN_THERE);
        let framing = match Framing::of_response(&head, &request.head.method) {
            Ok(framing) => framing,
            Err(error) => return Exchange::Ended(AttemptEnd::Broken, error.to_string()),
        };
        if head.headers.contains(names.not_run) || head.status == 421 || refused_there {
            if framing == Framing::Length(0) && !answered_early {
                lease.release(&head);
            }
            return Exchange::Ended(AttemptEnd::Rejected, format!("rejected with {}", head.status));
        }
        if head.headers.get(names.request_id) != Some(&request.id) {
            let reason = format!("an answer {} to no request", head.status);
            return Exchange::Ended(AttemptEnd::Broken, reason);
        }
        let is_success = (200..300).contains(&head.status);
        if is_success && !head.headers.contains(names.stamp) {
            let reason = format!("an answer {} without a stamp", head.status);
            return Exchange::Ended(AttemptEnd::Broken, reason);
        }
        let body = BodyReader::new(framing);
        Exchange::Answered(Box::new(Answer { lease, head, body, framing, answered_early }))
    }

    /// The request as it goes to a worker or another host.
    fn request_bytes(
        &self,
        request: &Request,
        target: &Target,
        resume_after: Option<&str>,
    ) -> Vec<u8> {
        let names = &self.node.dialect.headers;
        let mut head = request.head.clone();
        head.headers.push(names.deadline_ms, request.left_ms().max(1).to_string());
        if target.is_host {
            head.headers.push(FORWARDED, self.node.settings.region.to_string());
        } else {
            head.headers.push(names.expected_worker, target.name.to_string());
            if !names.engine_priority.is_empty() && request.prompt.input_tokens > 0 {
                head.headers.push(names.engine_priority, request.route.priority.min(9).to_string());
            }
        }
        if let Some(event_id) = resume_after {
            head.headers.remove(names.last_event_id);
            head.headers.push(names.last_event_id, event_id.to_owned());
        }
        if let Some(body) = &request.body {
            head.headers.push("Content-Length", body.len().to_string());
        }
        let body = request.body.as_deref().unwrap_or_default();
        let mut bytes = Vec::with_capacity(1_024 + body.len());
        head.write_to(&mut bytes);
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(body);
        bytes
    }
}

/// Writes a request while it reads the head of the answer, which may come
/// before all is written. An answer to an earlier request that arrives late is
/// skipped; the id tells it.
async fn send_and_read(
    connection: &mut Connection,
    bytes: &[u8],
    sent_bytes: &mut usize,
    request: &Request,
    id_field: &str,
) -> Result<ResponseHead, HttpError> {
    *sent_bytes += connection.write_now(bytes)?;
    loop {
        while let Some(head) = connection.parse_response(HEAD_BYTES)? {
            let interim = (100..200).contains(&head.status);
            let is_other = head.headers.get(id_field).is_some_and(|id| id != request.id);
            if !interim && !is_other {
                return Ok(head);
            }
            if is_other {
                skip(connection, &head, &request.head.method).await?;
            }
        }
        match connection.progress(&bytes[*sent_bytes..]).await? {
            Progress::Wrote(written_bytes) => *sent_bytes += written_bytes,
            Progress::Read => (),
            Progress::Ended => return Err(HttpError::Incomplete),
        }
    }
}

/// Reads the body of an answer that nobody waits for.
async fn skip(
    connection: &mut Connection,
    head: &ResponseHead,
    method: &str,
) -> Result<(), HttpError> {
    let framing = Framing::of_response(head, method)?;
    if framing == Framing::UntilClose {
        return Err(HttpError::Incomplete);
    }
    let mut body = BodyReader::new(framing);
    connection.read_whole(&mut body, SKIPPED_BYTES).await.map(|_| ())
}
