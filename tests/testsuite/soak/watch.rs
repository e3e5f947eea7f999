//! Checks that the revision of a host never decreases while the host is ready.

use std::collections::BTreeMap;

use anvillift_schema::membership::HostState;
use anvillift_schema::operators::HostStatus;
use reqwest::Method;
use tokio::sync::watch::Receiver;

use super::host_client::{self, HostClient};

const PAUSE_MS: u64 = 200;

/// Reads the revisions of all hosts until the soak test stops, and returns the number of reads.
/// Panics if a revision decreases.
pub(super) async fn run(client: HostClient, mut stopped: Receiver<bool>) -> u64 {
    let mut highest_revisions: BTreeMap<String, u64> = BTreeMap::new();
    let mut reads = 0;
    while !host_client::pause_or_stop(PAUSE_MS, &mut stopped).await {
        for host in client.urls.keys() {
            let Some(revision) = revision(&client, host).await else { continue };
            let highest_revision = highest_revisions.entry(host.clone()).or_default();
            assert!(
                revision >= *highest_revision,
                "{host} went from revision {highest_revision} to {revision}"
            );
            *highest_revision = revision;
            reads += 1;
        }
    }
    reads
}

/// Returns the revision that a host reports as applied; `None` if it does not answer or is not
/// ready.
async fn revision(client: &HostClient, host: &str) -> Option<u64> {
    let request = client.operator_request(Method::GET, host, "/v1/operator/hosts");
    let hosts: Vec<HostStatus> = request.send().await.ok()?.json().await.ok()?;
    let own = hosts.into_iter().find(|status| status.record.host.as_str() == host)?;
    (own.record.state == HostState::Ready).then_some(own.record.revision)
}
