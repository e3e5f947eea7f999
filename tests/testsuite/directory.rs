//! Which hosts callers are sent to.

use std::time::Duration;

use crate::support::cluster::Cluster;
use crate::support::layout::{BOUND, PLAIN};
use crate::support::wait;

/// A silent host is gone from the directory within this time.
const SILENT_LIMIT: Duration = Duration::from_secs(3);
/// Time for the test's own look at the directory.
const LOOK_MARGIN: Duration = Duration::from_secs(1);

#[tokio::test(flavor = "multi_thread")]
async fn own_region_comes_first_and_places_bind() {
    let cluster = Cluster::start().await;
    let hosts = cluster.directory("costa-sur-1", PLAIN).await;
    assert_eq!(hosts.len(), 6);
    assert!(hosts[..2].iter().all(|host| host.starts_with("costa-sur")), "{hosts:?}");
    let bound = cluster.directory("costa-sur-1", BOUND).await;
    assert!(bound.iter().all(|host| host.starts_with("oriente")), "{bound:?}");
    assert_eq!(bound.len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_host_is_gone_within_its_time_and_comes_back() {
    let mut cluster = Cluster::start().await;
    cluster.freeze("oriente-2");
    for asked in ["oriente-1", "altiplano-1"] {
        let limit = SILENT_LIMIT + LOOK_MARGIN;
        wait::within(limit, "the silent host is gone", async || {
            !cluster.directory(asked, PLAIN).await.contains(&"oriente-2".to_owned())
        })
        .await;
    }
    cluster.thaw("oriente-2");
    wait::until("the host is back", async || {
        cluster.directory("altiplano-1", PLAIN).await.contains(&"oriente-2".to_owned())
    })
    .await;
}
