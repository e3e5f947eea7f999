//! HTTP client for the simulated callers and operators of the soak test.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use reqwest::{Client, Method, RequestBuilder};
use tokio::sync::watch::Receiver;
use tokio::time;

use crate::support::cluster::Cluster;
use crate::support::layout::{CALLER_KEY, OPERATOR_KEY};

/// Longest wait for a connection or the next byte, after which a request to a frozen host fails.
const READ_TIMEOUT: Duration = Duration::from_secs(4);

/// An HTTP client with the base URLs of all hosts by name.
#[derive(Clone)]
pub(super) struct HostClient {
    pub(super) urls: BTreeMap<String, String>,
    client: Client,
}

impl HostClient {
    pub(super) fn new(cluster: &Cluster) -> Self {
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

    /// Returns the name of a randomly chosen host.
    pub(super) fn random_host(&self, rng: &mut SmallRng) -> String {
        let index = rng.random_range(0..self.urls.len());
        self.urls.keys().nth(index).expect("a host").clone()
    }

    pub(super) fn caller_request(&self, method: Method, host: &str, path: &str) -> RequestBuilder {
        self.request(method, host, path).bearer_auth(CALLER_KEY)
    }

    pub(super) fn operator_request(
        &self,
        method: Method,
        host: &str,
        path: &str,
    ) -> RequestBuilder {
        self.request(method, host, path).bearer_auth(OPERATOR_KEY)
    }

    fn request(&self, method: Method, host: &str, path: &str) -> RequestBuilder {
        self.client.request(method, format!("{}{path}", self.urls[host]))
    }
}

/// Waits for `pause_ms` or until the soak test stops, and returns whether it has stopped.
pub(super) async fn pause_or_stop(pause_ms: u64, stopped: &mut Receiver<bool>) -> bool {
    if *stopped.borrow() {
        return true;
    }
    let stop_change = time::timeout(Duration::from_millis(pause_ms), stopped.changed()).await;
    stop_change.is_ok()
}
