//! Answers of upstreams to commands, read to their end so that they can be stored.

use anvillift_schema::code::Code;
use anvillift_schema::ledger::CommandOutcome;
use anvillift_schema::payload::Payload;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;

use crate::answer::{Answer, AnswerBody};
use crate::forward::failure::AttemptFailure;
use crate::gateway::Gateway;
use crate::headers;
use crate::request::Request;

/// Maximum size of the answer to a command, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Complete answer of the upstream, with its body collected.
pub(super) struct CompleteAnswer {
    pub(super) answer: Answer,
    pub(super) body: Bytes,
}

impl CompleteAnswer {
    pub(super) fn outcome(&self) -> CommandOutcome {
        let content_type = headers::text(&self.answer.headers, "content-type");
        CommandOutcome {
            status: self.answer.status.as_u16(),
            content_type: content_type.unwrap_or_default().to_owned(),
            body: Payload::from(self.body.to_vec()),
        }
    }
}

/// Reads the body of an answer to its end, so that the answer can be stored.
pub(super) async fn collect(
    gateway: &Gateway,
    request: &Request,
    answer: Answer,
) -> Result<CompleteAnswer, AttemptFailure> {
    let deadline = gateway.clock.instant(request.deadline_ms);
    let mut stream = match answer.body {
        AnswerBody::Complete(body) => {
            let answer = Answer { body: AnswerBody::Complete(body.clone()), ..answer };
            return Ok(CompleteAnswer { answer, body });
        }
        AnswerBody::Stream(stream) => stream,
    };
    let mut collected = BytesMut::new();
    loop {
        let item = tokio::time::timeout_at(deadline, stream.next()).await;
        match item.map_err(|_| AttemptFailure::unknown(Code::UpstreamTimeout))? {
            Some(Ok(bytes)) if collected.len() + bytes.len() <= MAX_ANSWER_BYTES => {
                collected.extend_from_slice(&bytes);
            }
            Some(_) => return Err(AttemptFailure::unknown(Code::UpstreamFailed)),
            None => break,
        }
    }
    let body = collected.freeze();
    let answer = Answer {
        status: answer.status,
        headers: answer.headers,
        body: AnswerBody::Complete(body.clone()),
    };
    Ok(CompleteAnswer { answer, body })
}
