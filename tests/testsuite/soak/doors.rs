//! The hosts as callers and operators of a soak reach them.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use reqwest::{Client, Method, RequestBuilder};
use tokio::sync::watch::Receiver;
use tokio::time;

use crate::support::cluster::Cluster;
use crate::support::layout::{CALLER_KEY, OPERATOR_KEY};

/// Longest wait for the next byte; a frozen host is given up then.
const READ_TIMEOUT: Duration = Duration::from_secs(4);

/// Base URLs of all hosts, and a client.
#[derive(Clone)]
pub(super) struct Doors {
    pub(super) urls: BTreeMap<String, String>,
    client: Client,
}

impl Doors {
    pub(super) fn of(cluster: &Cluster) -> Self {
        let urls = cluster.hosts.keys().map(|host| (host.clone(), cluster.url(host))).collect();
        let client = Client::builder()
            .no_proxy()
            .retry(reqwest::retry::never())
            .connect_timeout(READ_TIMEOUT)
            .read_timeout(READ_TIMEOUT)
            .build()
            .expect("a client");
        Self { urls, client }
    }

    /// Any host.
    pub(super) fn any(&self, draws: &mut SmallRng) -> String {
        let index = draws.random_range(0..self.urls.len());
        self.urls.keys().nth(index).expect("a host").clone()
    }

    pub(super) fn call(&self, method: Method, host: &str, path: &str) -> RequestBuilder {
        self.request(method, host, path).bearer_auth(CALLER_KEY)
    }

    pub(super) fn operate(&self, method: Method, host: &str, path: &str) -> RequestBuilder {
        self.request(method, host, path).bearer_auth(OPERATOR_KEY)
    }

    fn request(&self, method: Method, host: &str, path: &str) -> RequestBuilder {
        self.client.request(method, format!("{}{path}", self.urls[host]))
    }
}

/// Waits a while, or until the soak stops; true if it stopped.
pub(super) async fn pause(pause_ms: u64, stopped: &mut Receiver<bool>) -> bool {
    if *stopped.borrow() {
        return true;
    }
    let waited = time::timeout(Duration::from_millis(pause_ms), stopped.changed()).await;
    waited.is_ok()
}
