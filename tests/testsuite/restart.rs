//! Hosts that end and come back.

use crate::support::cluster::Cluster;
use crate::support::layout::PLAIN;
use crate::support::upstreams;
use crate::support::wait;

#[tokio::test(flavor = "multi_thread")]
async fn killed_host_comes_back_with_or_without_its_disk() {
    let mut cluster = Cluster::start().await;
    let _service = upstreams::plain(&cluster, "zacapa-a").await;
    upstreams::plain_served(&cluster, "oriente-1").await;
    for wiped in [false, true] {
        if wiped {
            cluster.wipe("oriente-1");
        } else {
            cluster.kill("oriente-1");
        }
        wait::until("the host is gone", async || {
            !cluster.directory("oriente-2", PLAIN).await.contains(&"oriente-1".to_owned())
        })
        .await;
        upstreams::plain_served(&cluster, "oriente-2").await;
        cluster.restart("oriente-1").await;
        upstreams::plain_served(&cluster, "oriente-1").await;
        wait::until("the host is back", async || {
            cluster.directory("altiplano-1", PLAIN).await.contains(&"oriente-1".to_owned())
        })
        .await;
    }
}
