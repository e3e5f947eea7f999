//! Periodic announcements of a stand-in upstream to entry hosts.
//!
//! [`run`] sends announcements to one entry host at a time and switches to the
//! next when one does not answer. Entry hosts named in a reply are added to the
//! list, so a single configured host is enough to start with.

use std::time::Duration;

use anvillift_schema::upstream::{Announcement, AnnouncementReply};
use reqwest::{Client, retry};
use snafu::ResultExt;
use tokio::sync::watch;
use tokio::time;

use crate::error::{BenchError, ClientSnafu};

const REQUEST_TIMEOUT_MS: u64 = 1_000;

/// Entry hosts, key and interval of announcements.
#[derive(Clone, Debug)]
pub struct AnnounceSettings {
    /// Base URLs of entry hosts; hosts named in replies are added later.
    pub hosts: Vec<String>,
    /// Upstream key, sent as bearer token.
    pub key: String,
    /// Longest time between announcements; a host may ask for a shorter one.
    pub interval_ms: u64,
}

impl Default for AnnounceSettings {
    fn default() -> Self {
        Self { hosts: Vec::new(), key: String::new(), interval_ms: 250 }
    }
}

/// Announces until `leaving` turns true, then sends a last announcement that
/// says the upstream is leaving.
///
/// `make_announcement` builds the announcement from a sequence number and whether the
/// upstream is leaving.
pub async fn run(
    settings: AnnounceSettings,
    mut leaving: watch::Receiver<bool>,
    mut make_announcement: impl FnMut(u64, bool) -> Announcement,
) -> Result<(), BenchError> {
    let client = Client::builder()
        .retry(retry::never())
        .timeout(Duration::from_millis(REQUEST_TIMEOUT_MS))
        .build()
        .context(ClientSnafu)?;
    let mut hosts = settings.hosts.clone();
    let mut sequence = 0;
    loop {
        sequence += 1;
        let is_leaving = *leaving.borrow();
        let announcement = make_announcement(sequence, is_leaving);
        let reply = send(&client, &mut hosts, &settings.key, &announcement).await;
        if is_leaving {
            return Ok(());
        }
        let pause_ms = reply.map_or(settings.interval_ms, |reply| {
            add_hosts(&mut hosts, &reply.hosts);
            settings.interval_ms.min(reply.next_within_ms / 2)
        });
        tokio::select! {
            () = time::sleep(Duration::from_millis(pause_ms.max(1))) => {}
            _ = leaving.changed() => {}
        }
    }
}

/// Tries each host once and keeps the one that answers at the front.
///
/// Returns `None` when no host sent a valid reply.
async fn send(
    client: &Client,
    hosts: &mut [String],
    key: &str,
    announcement: &Announcement,
) -> Option<AnnouncementReply> {
    for _ in 0..hosts.len() {
        let url = format!("{}/v1/upstreams/announce", hosts[0]);
        let response = client.post(url).bearer_auth(key).json(announcement).send().await;
        if let Ok(response) = response.and_then(reqwest::Response::error_for_status)
            && let Ok(reply) = response.json::<AnnouncementReply>().await
        {
            return Some(reply);
        }
        hosts.rotate_left(1);
    }
    None
}

fn add_hosts(hosts: &mut Vec<String>, reported: &[String]) {
    for host in reported {
        if !hosts.contains(host) {
            hosts.push(host.clone());
        }
    }
}
