//! Checks the metrics page of a daemon.

use crate::daemon::{self, Daemons, PLAIN};

#[tokio::test(flavor = "multi_thread")]
async fn metrics_page_counts_requests_hosts_and_links() {
    let daemons = Daemons::start(2).await;
    let path = format!("/s/{PLAIN}/x");
    let refused = daemons.get(0, &path).send().await.expect("answer");
    assert_eq!(refused.status(), 503);
    let unknown = daemons.get(0, "/s/any-text/x").send().await.expect("answer");
    assert_eq!(unknown.status(), 404);
    daemon::wait_until("the metrics page shows the link", async || {
        let page = daemons.get(0, "/metrics").send().await.expect("answer");
        let text = page.text().await.expect("text");
        let expected = [
            "anvillift_requests_total{service=\"control-pivotes\",status=\"503\"} 1",
            "anvillift_requests_total{service=\"unknown\",status=\"404\"} 1",
            "anvillift_hosts_alive 2",
            "anvillift_links_up 1",
            "anvillift_requests_in_flight 0",
        ];
        expected.iter().all(|line| text.contains(line))
    })
    .await;
}
