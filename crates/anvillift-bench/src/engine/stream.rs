//! Answers of the stand-in engine, streamed as server-sent events or whole.

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

/// What the answer looks like.
pub(super) struct StreamSettings {
    /// Id of the answer.
    pub(super) id: String,
    /// Model named in it.
    pub(super) model: String,
    /// Tokens of the whole answer.
    pub(super) answer_tokens: u32,
    /// Data events that the receiver already has.
    pub(super) first_event: u32,
    /// Whether `usage` is told.
    pub(super) reports_usage: bool,
    /// Tokens after which the answer is cut.
    pub(super) break_after_tokens: Option<u32>,
}

struct EventState {
    settings: StreamSettings,
    prompt: Prompt,
    answer: Answer,
    sent_tokens: u32,
    ended: bool,
}

/// Streams the answer; each token is one data event.
pub(super) fn write_events(
    res: &mut Response,
    settings: StreamSettings,
    prompt: Prompt,
    answer: Answer,
) {
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    let state = EventState { settings, prompt, answer, sent_tokens: 0, ended: false };
    res.stream(stream::unfold(state, next_event));
}

async fn next_event(mut state: EventState) -> Option<(Result<Bytes, io::Error>, EventState)> {
    if state.ended {
        return None;
    }
    if state.settings.first_event > state.settings.answer_tokens {
        state.ended = true;
        return Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), state));
    }
    let token = state.answer.next().await?;
    // Cutting when the next token is due leaves time to flush those before it.
    if state.settings.break_after_tokens == Some(state.sent_tokens) {
        state.ended = true;
        return Some((Err(io::ErrorKind::ConnectionAborted.into()), state));
    }
    state.sent_tokens += 1;
    let mut event = token_event(&state, token.index, token.last);
    if token.last {
        state.ended = true;
        event.push_str(&closing_events(&state, token.index + 1, token.cached_tokens));
    }
    Some((Ok(Bytes::from(event)), state))
}

fn token_event(state: &EventState, index: u32, last: bool) -> String {
    let reason = if last { "\"stop\"" } else { "null" };
    // A resumed stream that has every token already gets only its end.
    if index >= state.settings.answer_tokens {
        return String::new();
    }
    format!(
        "data: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\",\"model\":\"{}\",\
         \"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{} \"}},\"finish_reason\":{reason}}}]}}\n\n",
        state.settings.id,
        state.settings.model,
        state.prompt.word(index),
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

/// Sends the whole answer at once.
pub(super) async fn write_whole(
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
        content.push_str(prompt.word(token.index));
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
