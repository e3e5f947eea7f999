//! Waits until hosts are ready, list their upstreams and answer requests.
//!
//! Each function polls the hosts over HTTP and fails with
//! [`BenchError::Timeout`] after `WAIT_TIMEOUT_MS`.

use std::time::Duration;

use anvillift_schema::public::UpstreamStatus;
use reqwest::Client;
use serde_json::json;
use snafu::ResultExt;
use tempfile::TempDir;
use tokio::time::{self, Instant};

use super::keys::{CALLER_KEY, OPERATOR_KEY};
use crate::error::{BenchError, TimeoutSnafu, WriteSnafu};

const WAIT_TIMEOUT_MS: u64 = 15_000;
const POLL_INTERVAL_MS: u64 = 20;

/// Creates a temporary folder, which is removed when the value is dropped.
pub(crate) fn temporary_folder() -> Result<TempDir, BenchError> {
    tempfile::tempdir().context(WriteSnafu { path: "a temporary folder" })
}

/// Waits until every host answers `/healthz` with success.
pub(crate) async fn until_ready(urls: &[String]) -> Result<(), BenchError> {
    let client = Client::new();
    for url in urls {
        wait_until(&format!("{url} is ready"), || async {
            let answer = client.get(format!("{url}/healthz")).send().await;
            answer.is_ok_and(|answer| answer.status().is_success())
        })
        .await?;
    }
    Ok(())
}

/// Waits until every host lists at least `count` upstreams that are not leaving.
pub(crate) async fn until_upstreams(urls: &[String], count: usize) -> Result<(), BenchError> {
    let client = Client::new();
    for url in urls {
        wait_until(&format!("{url} lists {count} upstreams"), || async {
            upstream_count(&client, url).await.is_some_and(|listed| listed >= count)
        })
        .await?;
    }
    Ok(())
}

/// Waits until a host answers a request to a model service successfully.
pub(crate) async fn until_answered(url: &str, service: &str) -> Result<(), BenchError> {
    let client = Client::new();
    let chat = format!("{url}/s/{service}/v1/chat/completions");
    let question = json!({ "messages": [], "max_tokens": 1 });
    wait_until(&format!("{url} answers a request to {service}"), || async {
        let request = client.post(&chat).bearer_auth(CALLER_KEY).json(&question);
        request.send().await.is_ok_and(|answer| answer.status().is_success())
    })
    .await
}

async fn upstream_count(client: &Client, url: &str) -> Option<usize> {
    let url = format!("{url}/v1/operator/upstreams");
    let answer = client.get(url).bearer_auth(OPERATOR_KEY).send().await.ok()?;
    let upstreams = answer.json::<Vec<UpstreamStatus>>().await.ok()?;
    Some(upstreams.iter().filter(|upstream| !upstream.leaving).count())
}

async fn wait_until(condition: &str, done: impl AsyncFn() -> bool) -> Result<(), BenchError> {
    let limit = Instant::now() + Duration::from_millis(WAIT_TIMEOUT_MS);
    while !done().await {
        if Instant::now() >= limit {
            return TimeoutSnafu {
                condition: format!("condition \"{condition}\" not met"),
                limit_ms: WAIT_TIMEOUT_MS,
            }
            .fail();
        }
        time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    Ok(())
}
