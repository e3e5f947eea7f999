//! Tests of the directory, which lists the hosts that serve a service.

use std::time::Duration;

use crate::support::cluster::Cluster;
use crate::support::layout::{BOUND, PLAIN};
use crate::support::wait;

/// Longest time until a silent host is removed from the directory.
const SILENT_LIMIT: Duration = Duration::from_secs(3);
/// Additional time for the test to query the directory.
const QUERY_MARGIN: Duration = Duration::from_secs(1);

#[tokio::test(flavor = "multi_thread")]
async fn directory_lists_own_region_first_and_only_hosts_in_allowed_places() {
    let cluster = Cluster::start().await;
    let hosts = cluster.directory("costa-sur-1", PLAIN).await;
    assert_eq!(hosts.len(), 6);
    assert!(hosts[..2].iter().all(|host| host.starts_with("costa-sur")), "{hosts:?}");
    let bound_hosts = cluster.directory("costa-sur-1", BOUND).await;
    assert!(bound_hosts.iter().all(|host| host.starts_with("oriente")), "{bound_hosts:?}");
    assert_eq!(bound_hosts.len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_host_is_removed_in_time_and_listed_again_later() {
    let mut cluster = Cluster::start().await;
    cluster.freeze("oriente-2");
    for observer in ["oriente-1", "altiplano-1"] {
        let limit = SILENT_LIMIT + QUERY_MARGIN;
        wait::within(limit, "the silent host is not listed", async || {
            !cluster.directory(observer, PLAIN).await.contains(&"oriente-2".to_owned())
        })
        .await;
    }
    cluster.thaw("oriente-2");
    wait::until("the host is listed again", async || {
        cluster.directory("altiplano-1", PLAIN).await.contains(&"oriente-2".to_owned())
    })
    .await;
}
