//! A look at every host's revision, which never falls while it is ready.

use std::collections::BTreeMap;

use anvillift_schema::membership::HostState;
use anvillift_schema::operators::HostStatus;
use reqwest::Method;
use tokio::sync::watch::Receiver;

use super::doors::{self, Doors};

const PAUSE_MS: u64 = 200;

/// Looks until the soak stops; gives the number of looks.
pub(super) async fn run(doors: Doors, mut stopped: Receiver<bool>) -> u64 {
    let mut highest: BTreeMap<String, u64> = BTreeMap::new();
    let mut looks = 0;
    while !doors::pause(PAUSE_MS, &mut stopped).await {
        for host in doors.urls.keys() {
            let Some(revision) = revision(&doors, host).await else { continue };
            let known = highest.entry(host.clone()).or_default();
            assert!(revision >= *known, "{host} went from revision {known} to {revision}");
            *known = revision;
            looks += 1;
        }
    }
    looks
}

/// The revision that a host says it has applied, if it is ready.
async fn revision(doors: &Doors, host: &str) -> Option<u64> {
    let request = doors.operate(Method::GET, host, "/v1/operator/hosts");
    let hosts: Vec<HostStatus> = request.send().await.ok()?.json().await.ok()?;
    let own = hosts.into_iter().find(|status| status.record.host.as_str() == host)?;
    (own.record.state == HostState::Ready).then_some(own.record.revision)
}
