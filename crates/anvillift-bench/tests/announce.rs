//! What stand-ins tell entry hosts.

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
        let heard = req.parse_json::<Announcement>().await.unwrap();
        self.0.lock().unwrap().push(heard);
        res.render(Json(AnnouncementReply {
            accepted: true,
            hosts: Vec::new(),
            next_within_ms: 40,
        }));
    }
}

impl EntryHost {
    async fn until(&self, done: impl Fn(&[Announcement]) -> bool) {
        let started = Instant::now();
        while !done(&self.0.lock().unwrap()) {
            assert!(started.elapsed() < DEADLINE, "not announced in time");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

#[tokio::test]
async fn an_engine_announces_itself_its_cache_and_its_leave() {
    let host = EntryHost::default();
    let router = Router::with_path("v1/upstreams/announce").post(host.clone());
    let serving = listener::serve("127.0.0.1:0", router).unwrap();
    let silent = "http://127.0.0.1:9".to_owned();
    let announce = AnnounceSettings {
        hosts: vec![silent, format!("http://{}", serving.addr)],
        key: KEY.to_owned(),
        ..AnnounceSettings::default()
    };
    let settings = EngineSettings { announce, cache_event_loss_milli: 0, ..Default::default() };
    let engine = engine::start(settings).await.unwrap();
    host.until(|heard| !heard.is_empty()).await;
    let body = json!({ "messages": [{ "content": "x".repeat(2048) }], "max_tokens": 2 });
    let chat = format!("http://{}/v1/chat/completions", engine.addr);
    Client::new().post(chat).json(&body).send().await.unwrap();
    let stored = |heard: &[Announcement]| {
        heard.iter().flat_map(|a| &a.cache_events).map(|event| event.stored.len()).sum::<usize>()
    };
    host.until(|heard| stored(heard) == 2).await;
    engine.stop().await;
    host.until(|heard| heard.last().is_some_and(|last| last.leaving)).await;
    let heard = host.0.lock().unwrap().clone();
    assert!(heard.windows(2).all(|pair| pair[0].sequence < pair[1].sequence));
    serving.abort().await;
}
