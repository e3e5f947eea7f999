//! How a stand-in makes itself known to entry hosts.
//!
//! [`run`] sends announcements to one entry host at a time and moves on to
//! the next when one does not answer. Entry hosts named in a reply are
//! remembered, so that one known host is enough to start with.

use std::time::Duration;

use anvillift_schema::upstream::{Announcement, AnnouncementReply};
use reqwest::{Client, retry};
use snafu::ResultExt;
use tokio::sync::watch;
use tokio::time;

use crate::error::{BenchError, ClientSnafu};

const REQUEST_TIMEOUT_MS: u64 = 1_000;

/// Where and how often to announce.
#[derive(Clone, Debug)]
pub struct AnnounceSettings {
    /// Base URLs of entry hosts.
    pub hosts: Vec<String>,
    /// Upstream key.
    pub key: String,
    /// Longest time between announcements.
    pub interval_ms: u64,
}

impl Default for AnnounceSettings {
    fn default() -> Self {
        Self { hosts: Vec::new(), key: String::new(), interval_ms: 250 }
    }
}

/// Announces until `leaving` turns true, then once more to say so.
///
/// `next` makes an announcement for a sequence number.
pub async fn run(
    settings: AnnounceSettings,
    mut leaving: watch::Receiver<bool>,
    mut next: impl FnMut(u64, bool) -> Announcement,
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
        let left = *leaving.borrow();
        let announcement = next(sequence, left);
        let reply = send(&client, &mut hosts, &settings.key, &announcement).await;
        if left {
            return Ok(());
        }
        let pause_ms = reply.map_or(settings.interval_ms, |reply| {
            learn(&mut hosts, &reply.hosts);
            settings.interval_ms.min(reply.next_within_ms / 2)
        });
        tokio::select! {
            () = time::sleep(Duration::from_millis(pause_ms.max(1))) => {}
            _ = leaving.changed() => {}
        }
    }
}

/// Tries each host once; the one that answers stays first.
async fn send(
    client: &Client,
    hosts: &mut [String],
    key: &str,
    announcement: &Announcement,
) -> Option<AnnouncementReply> {
    for _ in 0..hosts.len() {
        let url = format!("{}/v1/upstreams/announce", hosts[0]);
        let answer = client.post(url).bearer_auth(key).json(announcement).send().await;
        if let Ok(answer) = answer.and_then(reqwest::Response::error_for_status)
            && let Ok(reply) = answer.json::<AnnouncementReply>().await
        {
            return Some(reply);
        }
        hosts.rotate_left(1);
    }
    None
}

fn learn(hosts: &mut Vec<String>, told: &[String]) {
    for host in told {
        if !hosts.contains(host) {
            hosts.push(host.clone());
        }
    }
}
