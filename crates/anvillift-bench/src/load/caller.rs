//! Callers: they send one request and watch its answer.

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
use super::tally::{Ending, Seen};
use super::text;
use crate::error::{BenchError, ClientSnafu};

const CONNECT_TIMEOUT_MS: u64 = 2_000;
const LONGEST_ANSWER_MS: u64 = 120_000;

/// Sends requests and watches answers.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    key: String,
    direct: bool,
}

impl Caller {
    /// A caller with a key.
    pub fn new(key: &str) -> Result<Self, BenchError> {
        let client = Client::builder()
            .retry(retry::never())
            .tcp_nodelay(true)
            .connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
            .timeout(Duration::from_millis(LONGEST_ANSWER_MS))
            .build()
            .context(ClientSnafu)?;
        Ok(Self { client, key: key.to_owned(), direct: false })
    }

    /// The same caller, asking upstreams themselves.
    pub fn direct(&self) -> Self {
        Self { direct: true, ..self.clone() }
    }

    /// Sends an arrival to an entry host and watches until `end`. Times count
    /// from `due`.
    pub async fn send(
        &self,
        host_url: &str,
        arrival: &Arrival,
        due: Instant,
        end: watch::Receiver<bool>,
    ) -> Seen {
        let request = self.request(host_url, arrival).bearer_auth(&self.key);
        let mut ended = end.clone();
        let response = tokio::select! {
            response = request.send() => response,
            _ = ended.wait_for(|ended| *ended) => return unfinished(due),
        };
        let Ok(response) = response else {
            return failed(due, None);
        };
        let away = is_away(&response, &arrival.region);
        if !response.status().is_success() {
            return refused(response, due, away).await;
        }
        match arrival.kind {
            ClassKind::Dossier | ClassKind::Question => {
                watch_stream(response, due, away, end).await
            }
            ClassKind::Command | ClassKind::Reading => watch_whole(response, due, away).await,
        }
    }

    fn request(&self, host_url: &str, arrival: &Arrival) -> RequestBuilder {
        let url = |path: String| match self.direct {
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

/// Whether the last host of the route is in another region.
fn is_away(response: &Response, region: &Name) -> bool {
    let route = response.headers().get("anvillift-route").and_then(|value| value.to_str().ok());
    let Some(route) = route else { return false };
    let mut hosts = route.split('>').filter(|hop| hop.contains('/'));
    hosts
        .next_back()
        .and_then(|hop| hop.split('/').next())
        .is_some_and(|last| last != region.as_str())
}

async fn refused(response: Response, due: Instant, away: bool) -> Seen {
    let problem = response.json::<Problem>().await.ok();
    let ending = if problem.is_some() { Ending::Refused } else { Ending::Failed };
    let code = problem.map(|problem| problem.code);
    Seen { ending, code, away, ..failed(due, None) }
}

async fn watch_whole(response: Response, due: Instant, away: bool) -> Seen {
    match response.bytes().await {
        Ok(_) => Seen { ending: Ending::Whole, away, ..failed(due, None) },
        Err(_) => failed(due, None),
    }
}

async fn watch_stream(
    mut response: Response,
    due: Instant,
    away: bool,
    mut end: watch::Receiver<bool>,
) -> Seen {
    let mut watcher = EventWatcher::default();
    let mut first_us = None;
    let mut last_us = 0;
    let mut gaps_us = Vec::new();
    loop {
        let chunk = tokio::select! {
            chunk = response.chunk() => chunk,
            _ = end.wait_for(|ended| *ended) => {
                return Seen { gaps_us, away, first_us: first_us.unwrap_or(elapsed_us(due)), ..unfinished(due) };
            }
        };
        let Ok(Some(chunk)) = chunk else { break };
        let now_us = elapsed_us(due);
        for _ in 0..watcher.tokens_in(&chunk) {
            match first_us {
                None => first_us = Some(now_us),
                Some(_) => gaps_us.push(now_us - last_us),
            }
            last_us = now_us;
        }
    }
    let ending = if watcher.done { Ending::Whole } else { Ending::Failed };
    Seen { ending, gaps_us, away, ..failed(due, first_us) }
}

fn unfinished(due: Instant) -> Seen {
    Seen { ending: Ending::Unfinished, ..failed(due, None) }
}

fn failed(due: Instant, first_us: Option<u64>) -> Seen {
    let end_us = elapsed_us(due);
    Seen {
        ending: Ending::Failed,
        code: None,
        first_us: first_us.unwrap_or(end_us),
        end_us,
        gaps_us: Vec::new(),
        away: false,
    }
}

fn elapsed_us(due: Instant) -> u64 {
    due.elapsed().as_micros() as u64
}

/// Counts tokens in a stream of server-sent events.
#[derive(Debug, Default)]
pub struct EventWatcher {
    line: Vec<u8>,
    /// Whether the normal end was seen.
    pub done: bool,
}

impl EventWatcher {
    /// Token events that end in a chunk.
    pub fn tokens_in(&mut self, chunk: &[u8]) -> usize {
        let mut tokens = 0;
        for byte in chunk {
            if *byte != b'\n' {
                self.line.push(*byte);
                continue;
            }
            if self.line == b"data: [DONE]" {
                self.done = true;
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
