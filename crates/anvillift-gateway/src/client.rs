//! HTTP clients for requests to upstreams.
//!
//! An upstream may send a copy of an answer late, after its connection has been reused. Only the
//! id of the attempt tells the copy from the next answer. Connections are therefore reused only to
//! upstreams that return the id, and an answer without it is a failure there.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::Duration;

use anvillift_schema::name::Name;
use reqwest::redirect;
use reqwest::{Client, ClientBuilder};
use salvo::http::HeaderMap;
use snafu::ResultExt;

use crate::error::{ClientSnafu, StartError};
use crate::headers;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_IDLE_CONNECTIONS_PER_UPSTREAM: usize = 1024;

/// Clients that neither retry nor follow redirects, because admission decides about retries.
pub(crate) struct Clients {
    /// For requests that may be repeated; connections are reused.
    pooled: Client,
    /// For commands, and for upstreams that do not return the id of the attempt. Each request opens
    /// a connection, because a command on a reused connection that the upstream is closing would
    /// have an unknown outcome.
    pub(crate) unpooled: Client,
    /// Upstreams whose last answer had the id of its attempt.
    returning_ids: Mutex<BTreeSet<Name>>,
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
            returning_ids: Mutex::default(),
        })
    }

    /// Whether a read may be sent to an upstream over a reused connection.
    pub(crate) fn may_reuse(&self, upstream: &Name) -> bool {
        self.returning_ids.lock().expect("lock").contains(upstream)
    }

    pub(crate) fn client(&self, is_reused: bool) -> &Client {
        if is_reused { &self.pooled } else { &self.unpooled }
    }

    /// Whether an answer belongs to an attempt, as far as its headers show. Records whether the
    /// upstream returns the ids of attempts.
    pub(crate) fn is_answer_to(
        &self,
        upstream: &Name,
        attempt: &Name,
        is_reused: bool,
        answer: &HeaderMap,
    ) -> bool {
        let returned = headers::text(answer, headers::ATTEMPT);
        let mut returning_ids = self.returning_ids.lock().expect("lock");
        match returned {
            Some(id) if id == attempt.as_str() => {
                returning_ids.insert(upstream.clone());
                true
            }
            Some(_) => false,
            None => {
                returning_ids.remove(upstream);
                !is_reused
            }
        }
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
