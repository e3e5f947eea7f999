//! Answers of the stand-in engine, sent as a stream of server-sent events or as
//! one JSON body.

use std::io;

use bytes::Bytes;
use futures_util::stream;
use salvo::Response;
use salvo::http::StatusCode;
use salvo::http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use salvo::prelude::Json;
use serde_json::{Value, json};

use super::prompt::Prompt;
use super::runner::Answer;

/// Fields of the answer, and where it is interrupted.
pub(super) struct StreamSettings {
    /// Id of the answer, taken from the `Anvillift-Attempt` header.
    pub(super) id: String,
    /// Model name to repeat in the answer.
    pub(super) model: String,
    /// Length of the complete answer in tokens.
    pub(super) answer_tokens: u32,
    /// Number of data events that the receiver of a resumed stream already has.
    pub(super) first_event: u32,
    /// Whether the answer contains `usage`.
    pub(super) reports_usage: bool,
    /// Number of tokens after which the answer is interrupted; `None` for never.
    pub(super) break_after_tokens: Option<u32>,
}

struct EventState {
    settings: StreamSettings,
    prompt: Prompt,
    answer: Answer,
    sent_tokens: u32,
    is_finished: bool,
}

/// Streams the answer as server-sent events, with one data event for each token.
pub(super) fn write_events(
    res: &mut Response,
    settings: StreamSettings,
    prompt: Prompt,
    answer: Answer,
) {
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    let state = EventState { settings, prompt, answer, sent_tokens: 0, is_finished: false };
    res.stream(stream::unfold(state, next_event));
}

async fn next_event(mut state: EventState) -> Option<(Result<Bytes, io::Error>, EventState)> {
    if state.is_finished {
        return None;
    }
    if state.settings.first_event > state.settings.answer_tokens {
        state.is_finished = true;
        return Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), state));
    }
    let token = state.answer.next().await?;
    // The stream is interrupted only when the next token is due, so the server has
    // time to flush the tokens before it.
    if state.settings.break_after_tokens == Some(state.sent_tokens) {
        state.is_finished = true;
        return Some((Err(io::ErrorKind::ConnectionAborted.into()), state));
    }
    state.sent_tokens += 1;
    let mut event = token_event(&state, token.index, token.is_last);
    if token.is_last {
        state.is_finished = true;
        event.push_str(&closing_events(&state, token.index + 1, token.cached_tokens));
    }
    Some((Ok(Bytes::from(event)), state))
}

fn token_event(state: &EventState, index: u32, is_last: bool) -> String {
    let reason = if is_last { "\"stop\"" } else { "null" };
    // A resumed stream whose receiver already has every token gets only the closing
    // events.
    if index >= state.settings.answer_tokens {
        return String::new();
    }
    format!(
        "data: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\",\"model\":\"{}\",\
         \"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{} \"}},\"finish_reason\":{reason}}}]}}\n\n",
        state.settings.id,
        state.settings.model,
        state.prompt.answer_token(index),
    )
}

fn closing_events(state: &EventState, answer_tokens: u32, cached_tokens: u64) -> String {
    let answer_tokens = answer_tokens.min(state.settings.answer_tokens);
    let done = "data: [DONE]\n\n";
    if !state.settings.reports_usage {
        return done.to_owned();
    }
    let event = json!({
        "id": state.settings.id,
        "object": "chat.completion.chunk",
        "choices": [],
        "usage": usage(state.prompt.tokens, answer_tokens, cached_tokens),
    });
    format!("data: {event}\n\n{done}")
}

/// Sends the complete answer as one JSON body.
///
/// An interrupted answer gets status 500, since nothing has been sent yet.
pub(super) async fn write_complete(
    res: &mut Response,
    settings: StreamSettings,
    prompt: Prompt,
    mut answer: Answer,
) {
    let mut content = String::new();
    let mut cached_tokens = 0;
    let mut sent_tokens = 0;
    while let Some(token) = answer.next().await {
        if settings.break_after_tokens == Some(sent_tokens) {
            res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
            return;
        }
        sent_tokens += 1;
        cached_tokens = token.cached_tokens;
        content.push_str(prompt.answer_token(token.index));
        content.push(' ');
    }
    let mut body = json!({
        "id": settings.id,
        "object": "chat.completion",
        "model": settings.model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": content },
            "finish_reason": "stop",
        }],
    });
    if settings.reports_usage {
        body["usage"] = usage(prompt.tokens, sent_tokens, cached_tokens);
    }
    res.render(Json(body));
}

fn usage(prompt_tokens: u64, answer_tokens: u32, cached_tokens: u64) -> Value {
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": answer_tokens,
        "total_tokens": prompt_tokens + u64::from(answer_tokens),
        "prompt_tokens_details": { "cached_tokens": cached_tokens },
    })
}
