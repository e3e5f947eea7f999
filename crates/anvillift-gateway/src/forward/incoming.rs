//! Handles requests that other hosts forward over a link.

use std::sync::Arc;
use std::time::Duration;

use anvillift_mesh::{BodyReceiver, BodySender, IncomingStream};
use anvillift_schema::code::Code;
use anvillift_schema::configuration::ServiceKind;
use anvillift_schema::link::{AnswerHead, ForwardHead};
use anvillift_schema::name::Name;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use salvo::http::Method;
use tokio::time;

use crate::admission;
use crate::answer::{Answer, AnswerBody};
use crate::callers::{self, chat};
use crate::commands;
use crate::forward;
use crate::gateway::Gateway;
use crate::headers;
use crate::placement;
use crate::problem::Refusal;
use crate::request::Request;

/// Serves a forwarded request until its answer has ended or the other host has closed the stream.
pub(crate) async fn serve(gateway: &Arc<Gateway>, stream: IncomingStream) {
    let IncomingStream { head, mut body, answer: sender, .. } = stream;
    let _in_flight = gateway.in_flight.enter();
    let id = head.request_id.clone();
    let answer = tokio::select! {
        answer = run(gateway, head, &mut body) => answer,
        () = gateway.requests_end() => Err(Code::HostStopped.into()),
        () = sender.wait_until_failed() => return,
    };
    let answer = answer.unwrap_or_else(|refusal| refusal.answer(Some(&id)));
    let head =
        AnswerHead { status: answer.status.as_u16(), headers: headers::to_link(&answer.headers) };
    send_body(sender.answer(head), answer.body).await;
}

async fn run(
    gateway: &Arc<Gateway>,
    head: ForwardHead,
    body: &mut BodyReceiver,
) -> Result<Answer, Refusal> {
    gateway.check_accepting()?;
    let mut request = parse_head(gateway, head)?;
    let timeout = Duration::from_millis(gateway.settings.limits.body_timeout_ms);
    let limit_bytes = request.profile.max_body_bytes;
    request.body = time::timeout(timeout, collect(body, limit_bytes))
        .await
        .unwrap_or_else(|_| Err(Code::SlowSender.into()))?;
    if request.kind == ServiceKind::Model && request.method == Method::POST {
        let facts = chat::parse(&request.body).map_err(|_| Code::MalformedRequest)?;
        request.chat = Some(facts);
    }
    let admitted = admission::admit_forwarded(gateway, &request.facts(gateway.now_ms()))?;
    let answer = if request.is_command() {
        commands::run(gateway, request).await
    } else {
        forward::serve(gateway, request).await
    };
    Ok(answer.with_guard(admitted))
}

fn parse_head(gateway: &Gateway, head: ForwardHead) -> Result<Request, Refusal> {
    callers::check_hops(gateway, &head.hops)?;
    let (service, profile) = gateway.service(&head.service)?;
    if !placement::allows(&profile, gateway.region(), gateway.data_centre()) {
        return Err(Code::PlaceNotAllowed.into());
    }
    let received = headers::from_link(&head.headers);
    let mut to_upstream = headers::for_upstream(&received);
    let mut idempotency_key = headers::text(&received, headers::IDEMPOTENCY_KEY).map(Name::from);
    if let Some(key_hash) = received.get(headers::KEY_HASH) {
        // The home region has reserved the key, so this host sends the command without reserving it
        // again.
        idempotency_key = None;
        to_upstream.insert(headers::KEY_HASH, key_hash.clone());
    }
    Ok(Request {
        id: head.request_id,
        service: service.name,
        kind: service.kind,
        team: head.team,
        home: head.home,
        idempotency_key,
        method: head.method.parse().map_err(|_| Code::MalformedRequest)?,
        path: head.path,
        headers: to_upstream,
        body: Bytes::new(),
        hops: head.hops,
        deadline_ms: gateway.now_ms() + head.deadline_ms.min(profile.deadline_ms),
        profile,
        forwarded: true,
        chat: None,
    })
}

async fn collect(body: &mut BodyReceiver, limit_bytes: u64) -> Result<Bytes, Refusal> {
    let mut collected = BytesMut::new();
    while let Some(item) = body.next().await {
        let data = item.map_err(Refusal::from)?;
        if (collected.len() + data.len()) as u64 > limit_bytes {
            return Err(Code::BodyTooLarge.into());
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}

async fn send_body(mut sender: BodySender, body: AnswerBody) {
    let mut stream = match body {
        AnswerBody::Complete(bytes) => {
            if sender.send(bytes).await.is_ok() {
                sender.finish();
            }
            return;
        }
        AnswerBody::Stream(stream) => stream,
    };
    loop {
        let item = tokio::select! {
            item = stream.next() => item,
            () = sender.wait_until_failed() => return,
        };
        match item {
            Some(Ok(bytes)) => {
                if sender.send(bytes).await.is_err() {
                    return;
                }
            }
            Some(Err(code)) => return sender.abort(code),
            None => return sender.finish(),
        }
    }
}
