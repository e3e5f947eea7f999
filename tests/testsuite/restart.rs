//! Tests that a killed host serves again after a restart, with and without its data.

use crate::support::cluster::Cluster;
use crate::support::layout::PLAIN;
use crate::support::upstreams;
use crate::support::wait;

#[tokio::test(flavor = "multi_thread")]
async fn restarted_host_serves_again_with_and_without_its_data() {
    let mut cluster = Cluster::start().await;
    let _service = upstreams::start_plain(&cluster, "zacapa-a").await;
    upstreams::wait_until_plain_served(&cluster, "oriente-1").await;
    for is_wiped in [false, true] {
        if is_wiped {
            cluster.wipe("oriente-1");
        } else {
            cluster.kill("oriente-1");
        }
        wait::until("the host is not listed", async || {
            !cluster.directory("oriente-2", PLAIN).await.contains(&"oriente-1".to_owned())
        })
        .await;
        upstreams::wait_until_plain_served(&cluster, "oriente-2").await;
        cluster.restart("oriente-1").await;
        upstreams::wait_until_plain_served(&cluster, "oriente-1").await;
        wait::until("the host is listed again", async || {
            cluster.directory("altiplano-1", PLAIN).await.contains(&"oriente-1".to_owned())
        })
        .await;
    }
}
