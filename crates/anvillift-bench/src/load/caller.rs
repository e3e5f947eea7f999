//! Client that sends one planned request and records its answer.
//!
//! [`Caller::send`] builds the request from an [`Arrival`] and returns an
//! [`AnswerRecord`] with the latencies that a caller sees.

use std::time::Duration;

use anvillift_schema::name::Name;
use anvillift_schema::public::Problem;
use reqwest::{Client, Method, RequestBuilder, Response, retry};
use serde_json::json;
use snafu::ResultExt;
use tokio::sync::watch;
use tokio::time::Instant;
use uuid::Uuid;

use super::arrival::Arrival;
use super::experiment::ClassKind;
use super::tally::{AnswerRecord, AnswerStatus};
use super::text;
use crate::error::{BenchError, ClientSnafu};

const CONNECT_TIMEOUT_MS: u64 = 2_000;
const ANSWER_TIMEOUT_MS: u64 = 120_000;

/// HTTP client with the key of a team.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    key: String,
    is_direct: bool,
}

impl Caller {
    /// Creates a caller that sends `key` as bearer token.
    ///
    /// Fails when the HTTP client cannot be built.
    pub fn new(key: &str) -> Result<Self, BenchError> {
        let client = Client::builder()
            .retry(retry::never())
            .tcp_nodelay(true)
            .connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
            .timeout(Duration::from_millis(ANSWER_TIMEOUT_MS))
            .build()
            .context(ClientSnafu)?;
        Ok(Self { client, key: key.to_owned(), is_direct: false })
    }

    /// Returns a copy that sends requests directly to upstreams.
    pub fn direct(&self) -> Self {
        Self { is_direct: true, ..self.clone() }
    }

    /// Sends a planned request and records its answer until it is complete or `end`
    /// turns true.
    ///
    /// The body of an answer to a command or reading is read regardless of `end`. Times
    /// count from `due`, the planned send time.
    pub async fn send(
        &self,
        host_url: &str,
        arrival: &Arrival,
        due: Instant,
        end: watch::Receiver<bool>,
    ) -> AnswerRecord {
        let request = self.request(host_url, arrival).bearer_auth(&self.key);
        let mut end_signal = end.clone();
        let response = tokio::select! {
            response = request.send() => response,
            _ = end_signal.wait_for(|ended| *ended) => return unfinished_record(due),
        };
        let Ok(response) = response else {
            return failed_record(due, None);
        };
        let is_away = ends_in_other_region(&response, &arrival.region);
        if !response.status().is_success() {
            return refused_record(response, due, is_away).await;
        }
        match arrival.kind {
            ClassKind::Dossier | ClassKind::Question => {
                read_stream(response, due, is_away, end).await
            }
            ClassKind::Command | ClassKind::Reading => read_body(response, due, is_away).await,
        }
    }

    fn request(&self, host_url: &str, arrival: &Arrival) -> RequestBuilder {
        let url = |path: String| match self.is_direct {
            true => format!("{host_url}/{path}"),
            false => format!("{host_url}/s/{}/{path}", arrival.service),
        };
        let pivot = arrival.history;
        let request = match arrival.kind {
            ClassKind::Dossier | ClassKind::Question => {
                let body = json!({
                    "model": "stand-in",
                    "stream": true,
                    "max_tokens": arrival.answer_tokens,
                    "messages": [{ "role": "user", "content": text::prompt(arrival) }],
                });
                self.client.post(url("v1/chat/completions".to_owned())).json(&body)
            }
            ClassKind::Command => self
                .client
                .request(Method::POST, url(format!("pivots/{pivot}/stop")))
                .header("Idempotency-Key", Uuid::now_v7().to_string())
                .header("Anvillift-Home", arrival.region.as_str())
                .json(&json!({ "number": arrival.number })),
            ClassKind::Reading => self.client.get(url(format!("pivots/{pivot}"))),
        };
        request.header("Anvillift-Deadline-Ms", arrival.deadline_ms)
    }
}

/// Returns whether the last host of the route is in a region other than `region`.
fn ends_in_other_region(response: &Response, region: &Name) -> bool {
    let route = response.headers().get("anvillift-route").and_then(|value| value.to_str().ok());
    let Some(route) = route else { return false };
    let mut hosts = route.split('>').filter(|hop| hop.contains('/'));
    hosts
        .next_back()
        .and_then(|hop| hop.split('/').next())
        .is_some_and(|last| last != region.as_str())
}

async fn refused_record(response: Response, due: Instant, is_away: bool) -> AnswerRecord {
    let problem = response.json::<Problem>().await.ok();
    let status = if problem.is_some() { AnswerStatus::Refused } else { AnswerStatus::Failed };
    let code = problem.map(|problem| problem.code);
    AnswerRecord { status, code, is_away, ..failed_record(due, None) }
}

async fn read_body(response: Response, due: Instant, is_away: bool) -> AnswerRecord {
    match response.bytes().await {
        Ok(_) => {
            AnswerRecord { status: AnswerStatus::Complete, is_away, ..failed_record(due, None) }
        }
        Err(_) => failed_record(due, None),
    }
}

async fn read_stream(
    mut response: Response,
    due: Instant,
    is_away: bool,
    mut end: watch::Receiver<bool>,
) -> AnswerRecord {
    let mut counter = TokenCounter::default();
    let mut first_token_us = None;
    let mut last_token_us = 0;
    let mut token_gaps_us = Vec::new();
    loop {
        let chunk = tokio::select! {
            chunk = response.chunk() => chunk,
            _ = end.wait_for(|ended| *ended) => {
                return AnswerRecord {
                    token_gaps_us,
                    is_away,
                    first_token_us: first_token_us.unwrap_or(elapsed_us(due)),
                    ..unfinished_record(due)
                };
            }
        };
        let Ok(Some(chunk)) = chunk else { break };
        let now_us = elapsed_us(due);
        for _ in 0..counter.count_tokens(&chunk) {
            match first_token_us {
                None => first_token_us = Some(now_us),
                Some(_) => token_gaps_us.push(now_us - last_token_us),
            }
            last_token_us = now_us;
        }
    }
    let status = if counter.is_done { AnswerStatus::Complete } else { AnswerStatus::Failed };
    AnswerRecord { status, token_gaps_us, is_away, ..failed_record(due, first_token_us) }
}

fn unfinished_record(due: Instant) -> AnswerRecord {
    AnswerRecord { status: AnswerStatus::Unfinished, ..failed_record(due, None) }
}

fn failed_record(due: Instant, first_token_us: Option<u64>) -> AnswerRecord {
    let end_us = elapsed_us(due);
    AnswerRecord {
        status: AnswerStatus::Failed,
        code: None,
        first_token_us: first_token_us.unwrap_or(end_us),
        end_us,
        token_gaps_us: Vec::new(),
        is_away: false,
    }
}

fn elapsed_us(due: Instant) -> u64 {
    due.elapsed().as_micros() as u64
}

/// Counts the tokens in a stream of server-sent events.
#[derive(Debug, Default)]
pub struct TokenCounter {
    line: Vec<u8>,
    /// Whether the closing `[DONE]` event has been received.
    pub is_done: bool,
}

impl TokenCounter {
    /// Returns the number of token events that are completed by `chunk`.
    pub fn count_tokens(&mut self, chunk: &[u8]) -> usize {
        let mut tokens = 0;
        for byte in chunk {
            if *byte != b'\n' {
                self.line.push(*byte);
                continue;
            }
            if self.line == b"data: [DONE]" {
                self.is_done = true;
            } else if self.line.starts_with(b"data: ") && contains(&self.line, b"\"delta\"") {
                tokens += 1;
            }
            self.line.clear();
        }
        tokens
    }
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    text.windows(part.len()).any(|window| window == part)
}
