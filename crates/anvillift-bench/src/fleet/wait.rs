//! Waiting for hosts to be ready and to know their upstreams.

use std::time::Duration;

use anvillift_schema::public::UpstreamStatus;
use reqwest::Client;
use serde_json::json;
use snafu::ResultExt;
use tempfile::TempDir;
use tokio::time::{self, Instant};

use super::keys::{CALLER_KEY, OPERATOR_KEY};
use crate::error::{BenchError, LateSnafu, WriteSnafu};

const LIMIT_MS: u64 = 15_000;
const PAUSE_MS: u64 = 20;

/// A folder that goes away with the fleet.
pub(crate) fn folder() -> Result<TempDir, BenchError> {
    tempfile::tempdir().context(WriteSnafu { path: "a temporary folder" })
}

/// Waits until every host answers that it is ready.
pub(crate) async fn until_ready(urls: &[String]) -> Result<(), BenchError> {
    let client = Client::new();
    for url in urls {
        until(&format!("{url} was ready"), || async {
            let answer = client.get(format!("{url}/healthz")).send().await;
            answer.is_ok_and(|answer| answer.status().is_success())
        })
        .await?;
    }
    Ok(())
}

/// Waits until every host knows `count` upstreams.
pub(crate) async fn until_upstreams(urls: &[String], count: usize) -> Result<(), BenchError> {
    let client = Client::new();
    for url in urls {
        until(&format!("{url} knew {count} upstreams"), || async {
            known(&client, url).await.is_some_and(|known| known >= count)
        })
        .await?;
    }
    Ok(())
}

/// Waits until a host answers a question to a model service.
pub(crate) async fn until_answered(url: &str, service: &str) -> Result<(), BenchError> {
    let client = Client::new();
    let chat = format!("{url}/s/{service}/v1/chat/completions");
    let question = json!({ "messages": [], "max_tokens": 1 });
    until(&format!("{url} had an answer from {service}"), || async {
        let request = client.post(&chat).bearer_auth(CALLER_KEY).json(&question);
        request.send().await.is_ok_and(|answer| answer.status().is_success())
    })
    .await
}

async fn known(client: &Client, url: &str) -> Option<usize> {
    let url = format!("{url}/v1/operator/upstreams");
    let answer = client.get(url).bearer_auth(OPERATOR_KEY).send().await.ok()?;
    let upstreams = answer.json::<Vec<UpstreamStatus>>().await.ok()?;
    Some(upstreams.iter().filter(|upstream| !upstream.leaving).count())
}

async fn until(what: &str, done: impl AsyncFn() -> bool) -> Result<(), BenchError> {
    let limit = Instant::now() + Duration::from_millis(LIMIT_MS);
    while !done().await {
        if Instant::now() >= limit {
            return LateSnafu { what: format!("it was not seen that {what}"), limit_ms: LIMIT_MS }
                .fail();
        }
        time::sleep(Duration::from_millis(PAUSE_MS)).await;
    }
    Ok(())
}
