//! Announcements of a stand-in engine to entry hosts.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anvillift_bench::announce::AnnounceSettings;
use anvillift_bench::engine::{self, EngineSettings};
use anvillift_bench::listener;
use anvillift_schema::upstream::{Announcement, AnnouncementReply};
use reqwest::Client;
use salvo::prelude::Json;
use salvo::{Depot, Request, Response, Router, handler};
use serde_json::json;

const DEADLINE: Duration = Duration::from_secs(10);
const KEY: &str = "upstream-key";

#[derive(Clone, Default)]
struct EntryHost(Arc<Mutex<Vec<Announcement>>>);

#[handler]
impl EntryHost {
    async fn handle(&self, req: &mut Request, _depot: &mut Depot, res: &mut Response) {
        assert_eq!(req.headers()["authorization"], format!("Bearer {KEY}"));
        let received = req.parse_json::<Announcement>().await.unwrap();
        self.0.lock().unwrap().push(received);
        res.render(Json(AnnouncementReply {
            accepted: true,
            hosts: Vec::new(),
            next_within_ms: 40,
        }));
    }
}

impl EntryHost {
    async fn wait_until(&self, done: impl Fn(&[Announcement]) -> bool) {
        let started = Instant::now();
        while !done(&self.0.lock().unwrap()) {
            assert!(started.elapsed() < DEADLINE, "expected announcement not received within 10 s");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

#[tokio::test]
async fn engine_announces_itself_its_cached_blocks_and_its_departure() {
    let host = EntryHost::default();
    let router = Router::with_path("v1/upstreams/announce").post(host.clone());
    let server = listener::serve("127.0.0.1:0", router).unwrap();
    let unreachable = "http://127.0.0.1:9".to_owned();
    let announce = AnnounceSettings {
        hosts: vec![unreachable, format!("http://{}", server.addr)],
        key: KEY.to_owned(),
        ..AnnounceSettings::default()
    };
    let settings = EngineSettings { announce, cache_event_loss_milli: 0, ..Default::default() };
    let engine = engine::start(settings).await.unwrap();
    host.wait_until(|received| !received.is_empty()).await;
    let body = json!({ "messages": [{ "content": "x".repeat(2048) }], "max_tokens": 2 });
    let chat = format!("http://{}/v1/chat/completions", engine.addr);
    Client::new().post(chat).json(&body).send().await.unwrap();
    let stored = |received: &[Announcement]| {
        received.iter().flat_map(|a| &a.cache_events).map(|event| event.stored.len()).sum::<usize>()
    };
    host.wait_until(|received| stored(received) == 2).await;
    engine.stop().await;
    host.wait_until(|received| received.last().is_some_and(|last| last.leaving)).await;
    let received = host.0.lock().unwrap().clone();
    assert!(received.windows(2).all(|pair| pair[0].sequence < pair[1].sequence));
    server.abort().await;
}
