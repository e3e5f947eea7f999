//! HTTP clients for requests to upstreams.

use std::time::Duration;

use reqwest::redirect;
use reqwest::{Client, ClientBuilder};
use snafu::ResultExt;

use crate::error::{ClientSnafu, StartError};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_IDLE_CONNECTIONS_PER_UPSTREAM: usize = 1024;

/// Clients that neither retry nor follow redirects, because admission decides about retries.
pub(crate) struct Clients {
    /// For requests that may be repeated; connections are reused.
    pub(crate) pooled: Client,
    /// For commands. Each one opens a connection, because a command on a reused connection that the
    /// upstream is closing would have an unknown outcome.
    pub(crate) unpooled: Client,
}

impl Clients {
    pub(crate) fn new() -> Result<Self, StartError> {
        let pooled = builder()
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS_PER_UPSTREAM)
            .pool_idle_timeout(POOL_IDLE_TIMEOUT);
        let unpooled = builder().pool_max_idle_per_host(0);
        Ok(Self {
            pooled: pooled.build().context(ClientSnafu)?,
            unpooled: unpooled.build().context(ClientSnafu)?,
        })
    }
}

fn builder() -> ClientBuilder {
    Client::builder()
        .http1_only()
        .no_proxy()
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_TIMEOUT)
        .redirect(redirect::Policy::none())
        .retry(reqwest::retry::never())
}
