//! Announcements of many upstreams at the same time.

use crate::cluster::{Cluster, PLAIN, UPSTREAM_KEY};

const UPSTREAMS: u32 = 200;
const SENDERS: u32 = 8;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_upstreams_announce_themselves_at_once() {
    let cluster = Cluster::start(1).await;
    let url = cluster.url("oriente-1") + "/v1/upstreams/announce";
    let mut senders = Vec::new();
    for sender in 0..SENDERS {
        let (client, url) = (cluster.client.clone(), url.clone());
        senders.push(tokio::spawn(async move {
            for number in (sender..UPSTREAMS).step_by(SENDERS as usize) {
                let announcement = anvillift_schema::upstream::Announcement {
                    upstream: format!("p{number}").as_str().into(),
                    service: PLAIN.into(),
                    url: "http://127.0.0.1:9".to_owned(),
                    incarnation: 1,
                    sequence: 1,
                    ..Default::default()
                };
                let request = client.post(&url).bearer_auth(UPSTREAM_KEY).json(&announcement);
                assert_eq!(request.send().await.expect("answer").status(), 200);
            }
        }));
    }
    for sender in senders {
        sender.await.expect("each announcement is accepted");
    }
    let health = cluster.get("oriente-1", "/healthz").send().await.expect("answer");
    assert_eq!(health.status(), 200);
    let answer = cluster.get("oriente-1", &format!("/s/{PLAIN}/x")).send().await.expect("answer");
    assert_eq!(answer.status(), 502);
}
