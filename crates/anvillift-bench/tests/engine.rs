//! Stand-in engine over HTTP, and its batch and prefix cache.

use std::time::{Duration, Instant};

use anvillift_bench::engine::batch::{Batch, SequenceRequest};
use anvillift_bench::engine::cache::PrefixCache;
use anvillift_bench::engine::{self, BatchSettings, EngineFaults, EngineSettings, RunningEngine};
use anvillift_schema::upstream::{FencedOrder, UpstreamOrder, UpstreamOrderAction};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};

const DEADLINE: Duration = Duration::from_secs(10);

fn fast_settings() -> EngineSettings {
    let batch = BatchSettings {
        step_base_us: 1_000,
        step_per_sequence_us: 0,
        prefill_rate_tokens_per_s: 1_000_000,
        ..BatchSettings::default()
    };
    EngineSettings { batch, ..EngineSettings::default() }
}

fn question(stream: bool, max_tokens: u32) -> Value {
    let text = "how long should pivot seven run? ".repeat(64);
    json!({
        "model": "stand-in",
        "stream": stream,
        "max_tokens": max_tokens,
        "messages": [{ "role": "user", "content": text }],
    })
}

fn url(engine: &RunningEngine, path: &str) -> String {
    format!("http://{}/{path}", engine.addr)
}

async fn wait_until(mut done: impl FnMut() -> bool) {
    let started = Instant::now();
    while !done() {
        assert!(started.elapsed() < DEADLINE, "condition not met within 10 s");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn data_events(body: &str) -> Vec<&str> {
    body.split("\n\n").filter_map(|event| event.strip_prefix("data: ")).collect()
}

#[tokio::test]
async fn streamed_and_complete_answers_have_the_same_content() {
    let engine = engine::start(fast_settings()).await.unwrap();
    let client = Client::new();
    let chat = url(&engine, "v1/chat/completions");
    let complete: Value =
        client.post(&chat).json(&question(false, 5)).send().await.unwrap().json().await.unwrap();
    let body = client.post(&chat).json(&question(true, 5)).send().await.unwrap();
    let body = body.text().await.unwrap();
    let events = data_events(&body);
    assert_eq!(events.last(), Some(&"[DONE]"));
    let content: String = events
        .iter()
        .filter_map(|event| serde_json::from_str::<Value>(event).ok())
        .filter_map(|event| event["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
        .collect();
    assert_eq!(complete["choices"][0]["message"]["content"], content.as_str());
    assert_eq!(content.split_whitespace().count(), 5);
    assert_eq!(complete["usage"]["prompt_tokens_details"]["cached_tokens"], 0);
    let usage: Value = serde_json::from_str(events[events.len() - 2]).unwrap();
    assert_eq!(usage["usage"]["prompt_tokens_details"]["cached_tokens"], 512);
    engine.stop().await;
}

#[tokio::test]
async fn an_interrupted_stream_is_resumed_at_its_offset() {
    let engine = engine::start(fast_settings()).await.unwrap();
    let client = Client::new();
    let chat = url(&engine, "v1/chat/completions");
    let request = || client.post(&chat).json(&question(true, 8));
    let complete = request().send().await.unwrap().text().await.unwrap();
    engine.set_faults(EngineFaults { break_after_tokens: Some(3), ..EngineFaults::default() });
    let mut interrupted = request().send().await.unwrap();
    let mut head = Vec::new();
    while let Ok(Some(bytes)) = interrupted.chunk().await {
        head.extend_from_slice(&bytes);
    }
    let head = String::from_utf8(head).unwrap();
    // A connection reset can discard bytes that were sent before it, so the offset is the
    // number of events received.
    let received = data_events(&head).len();
    assert!(received <= 3, "{received} events received from a stream interrupted after 3");
    engine.set_faults(EngineFaults::default());
    let rest =
        request().header("Anvillift-Resume-Offset", received.to_string()).send().await.unwrap();
    let rest = rest.text().await.unwrap();
    let joined: Vec<&str> = data_events(&head).into_iter().chain(data_events(&rest)).collect();
    let tokens = |events: &[&str]| events[..8].join("\n");
    assert_eq!(tokens(&joined), tokens(&data_events(&complete)));
    assert_eq!(joined.last(), Some(&"[DONE]"));
    engine.stop().await;
}

#[tokio::test]
async fn closing_the_connection_cancels_the_request() {
    let engine = engine::start(fast_settings()).await.unwrap();
    for stream in [true, false] {
        let before = engine.report().cancelled;
        let client = Client::new();
        let builder =
            client.post(url(&engine, "v1/chat/completions")).json(&question(stream, 60_000));
        let request = tokio::spawn(builder.send());
        wait_until(|| engine.report().running == 1).await;
        request.abort();
        drop(request);
        drop(client);
        wait_until(|| engine.report().cancelled == before + 1).await;
        assert_eq!(engine.report().running, 0);
    }
    engine.crash().await;
}

#[tokio::test]
async fn old_fencing_numbers_are_refused_unless_ignored() {
    for (checks_fencing, status) in [(true, StatusCode::CONFLICT), (false, StatusCode::OK)] {
        let engine =
            engine::start(EngineSettings { checks_fencing, ..fast_settings() }).await.unwrap();
        let order = |fencing, model: &str| FencedOrder {
            fencing,
            order: UpstreamOrder {
                order_id: "order".into(),
                data_centre: "zacapa-a".into(),
                upstream: "engine".into(),
                action: UpstreamOrderAction::LoadModel,
                argument: Some(model.to_owned()),
            },
        };
        let client = Client::new();
        let orders = url(&engine, "v1/orders");
        let newer = client.post(&orders).json(&order(9, "second")).send().await.unwrap();
        assert_eq!(newer.status(), StatusCode::OK);
        let older = client.post(&orders).json(&order(8, "first")).send().await.unwrap();
        assert_eq!(older.status(), status);
        let models = engine.report().models;
        assert_eq!(models.contains(&"first".into()), !checks_fencing);
        engine.stop().await;
    }
}

#[test]
fn higher_priority_is_admitted_first() {
    let settings = BatchSettings { max_running_requests: 1, ..BatchSettings::default() };
    let mut batch = Batch::new(settings, 8);
    let request = |priority| SequenceRequest {
        priority,
        prompt_tokens: 10,
        answer_tokens: 1,
        ..SequenceRequest::default()
    };
    let low = batch.submit(request(1)).unwrap();
    let high = batch.submit(request(2)).unwrap();
    let mut order = Vec::new();
    while batch.begin_step().is_some() {
        order.extend(batch.finish_step().iter().map(|token| token.id));
    }
    assert_eq!(order, [high, low]);
}

#[test]
fn a_larger_batch_lowers_the_token_rate_of_each_stream() {
    let duration_us = |requests: u64| {
        let mut batch = Batch::new(BatchSettings::default(), 8);
        for _ in 0..requests {
            batch.submit(SequenceRequest { answer_tokens: 9, ..SequenceRequest::default() });
        }
        batch.begin_step().unwrap()
    };
    assert!(duration_us(16) > duration_us(1));
}

#[test]
fn the_least_recently_used_block_is_evicted() {
    let mut cache = PrefixCache::new(3);
    cache.store(&[1, 2]);
    cache.store(&[3]);
    assert_eq!(cache.lookup(&[1, 2]), 2);
    cache.store(&[4]);
    assert_eq!(cache.lookup(&[3]), 0);
    assert_eq!(cache.lookup(&[1, 2]), 2);
    let evicted: Vec<u64> = cache.take_changes().into_iter().flat_map(|c| c.evicted).collect();
    assert_eq!(evicted, [3]);
}
