//! All links of one host: accepts and dials them, and sends over them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use anvillift_schema::code::Code;
use anvillift_schema::event::Event;
use anvillift_schema::link::{
    ForwardHead, LinkClass, LinkFrame, PeerAnswer, PeerCall, PeerMessage,
};
use anvillift_schema::name::Name;
use bytes::Bytes;
use futures_util::future;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::dial::{self, BackOff};
use crate::error::{CallError, LinkError, ListenSnafu, OpenError, StartError};
use crate::handlers::MeshHandlers;
use crate::handshake::Role;
use crate::link::Link;
use crate::settings::MeshSettings;
use crate::stream::ForwardedAnswer;
use crate::tls::LinkTls;
use crate::transport::Socket;

/// Largest number of accepted connections that may be in their handshake at a time.
const MAX_HANDSHAKES: usize = 64;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The links of one host. Clones share the same links.
#[derive(Clone)]
pub struct Mesh {
    shared: Arc<MeshState>,
}

struct MeshState {
    settings: Arc<MeshSettings>,
    tls: LinkTls,
    handlers: MeshHandlers,
    links: Mutex<BTreeMap<Name, Arc<Link>>>,
    stopped: CancellationToken,
    address: SocketAddr,
}

impl Mesh {
    /// Listens for links, and dials those hosts to be linked whose names are greater than the
    /// name of this host.
    pub async fn start(settings: MeshSettings, handlers: MeshHandlers) -> Result<Self, StartError> {
        let tls = LinkTls::new(settings.tls.as_ref())?;
        let listener = TcpListener::bind(&settings.listen)
            .await
            .context(ListenSnafu { address: settings.listen.clone() })?;
        let address =
            listener.local_addr().context(ListenSnafu { address: settings.listen.clone() })?;
        let shared = Arc::new(MeshState {
            settings: Arc::new(settings),
            tls,
            handlers,
            links: Mutex::default(),
            stopped: CancellationToken::new(),
            address,
        });
        tokio::spawn(shared.clone().listen(listener));
        let MeshSettings { identity, peers, linked, .. } = &*shared.settings;
        let is_wanted = |name: &Name| linked.as_ref().is_none_or(|linked| linked.contains(name));
        for (name, peer) in peers.iter().filter(|(name, _)| **name > identity.name) {
            if is_wanted(name) {
                tokio::spawn(shared.clone().maintain_link(name.clone(), peer.link.clone()));
            }
        }
        Ok(Self { shared })
    }

    /// Address on which links are accepted, with the port that was assigned.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Names of the hosts to which a link is up.
    pub fn linked_hosts(&self) -> Vec<Name> {
        self.shared.links.lock().expect("lock").keys().cloned().collect()
    }

    /// Moving average of the round-trip time to a host, in milliseconds; `None` without a
    /// link and before the first pong.
    pub fn round_trip_ms(&self, host: &Name) -> Option<u64> {
        self.link(host)?.round_trip_ms()
    }

    /// Queues a message. Returns false if there is no link or its queue is full.
    pub fn send(&self, to: &Name, message: PeerMessage) -> bool {
        self.link(to).is_some_and(|link| link.queue.push_message(LinkFrame::Peer(message)))
    }

    /// Calls a host and waits up to `timeout` for its answer.
    pub async fn call(
        &self,
        to: &Name,
        call: PeerCall,
        timeout: Duration,
    ) -> Result<PeerAnswer, CallError> {
        let no_link = || CallError::NoLink { host: to.clone() };
        let link = self.link(to).ok_or_else(no_link)?;
        let (call_id, answer) = link.call(call).ok_or_else(no_link)?;
        match time::timeout(timeout, answer).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => Err(CallError::LinkLost { host: to.clone() }),
            Err(_) => {
                link.cancel_call(call_id);
                let timeout_ms = timeout.as_millis() as u64;
                Err(CallError::Timeout { host: to.clone(), timeout_ms })
            }
        }
    }

    /// Opens a stream with a request and waits for the head of its answer.
    /// Dropping the future or the answer resets the stream.
    pub async fn open(
        &self,
        to: &Name,
        class: LinkClass,
        head: ForwardHead,
        body: Bytes,
    ) -> Result<ForwardedAnswer, OpenError> {
        match self.link(to) {
            Some(link) => link.open(class, head, body).await,
            None => {
                Err(OpenError { host: to.clone(), code: Code::LinkLost, certainly_not_sent: true })
            }
        }
    }

    /// Stops listening, writes all queued frames and closes every link, at the latest after
    /// `limit`.
    pub async fn finish(&self, limit: Duration) {
        self.shared.stopped.cancel();
        let links: Vec<Arc<Link>> =
            self.shared.links.lock().expect("lock").values().cloned().collect();
        let finished = links.iter().map(|link| {
            link.queue.finish();
            link.closed.cancelled()
        });
        let _ = time::timeout(limit, future::join_all(finished)).await;
        self.stop();
    }

    /// Stops listening and closes every link at once, dropping queued frames.
    pub fn stop(&self) {
        self.shared.stopped.cancel();
        let links = std::mem::take(&mut *self.shared.links.lock().expect("lock"));
        for link in links.values() {
            link.close();
        }
    }

    fn link(&self, to: &Name) -> Option<Arc<Link>> {
        self.shared.links.lock().expect("lock").get(to).cloned()
    }
}

impl MeshState {
    async fn listen(self: Arc<Self>, listener: TcpListener) {
        let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.stopped.cancelled() => return,
            };
            let permit = handshakes.clone().acquire_owned().await;
            match accepted {
                Ok((tcp, _)) => {
                    let shared = self.clone();
                    tokio::spawn(async move {
                        let authenticated = dial::accept(&shared.settings, &shared.tls, tcp).await;
                        drop(permit);
                        shared.run_accepted(authenticated).await;
                    });
                }
                Err(error) if dial::is_transient(&error) => {}
                Err(_) => time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    async fn run_accepted(self: &Arc<Self>, authenticated: Result<(Name, Socket), LinkError>) {
        match authenticated {
            Ok((peer, socket)) if peer < self.settings.identity.name => {
                self.run(peer, Role::Listener, socket).await;
            }
            Ok((peer, _)) => {
                log::warn!(
                    event = Event::LinkRefused.number();
                    "refused a link from {peer}: this host has to dial it"
                );
            }
            Err(error) => {
                log::warn!(
                    event = Event::LinkRefused.number();
                    "refused an incoming link: {error}"
                );
            }
        }
    }

    async fn maintain_link(self: Arc<Self>, peer: Name, address: String) {
        let mut back_off = BackOff::new(self.settings.clone());
        while !self.stopped.is_cancelled() {
            match dial::dial(&self.settings, &self.tls, &address).await {
                Ok((name, socket)) if name == peer => {
                    back_off.reset();
                    self.run(name, Role::Dialler, socket).await;
                }
                Ok((name, _)) => {
                    log::warn!(
                        event = Event::LinkRefused.number();
                        "cannot link to {peer}: the host at {address} is {name}"
                    );
                }
                Err(error @ (LinkError::Refused { .. } | LinkError::Tls { .. })) => {
                    log::warn!(
                        event = Event::LinkRefused.number();
                        "cannot link to {peer} at {address}: {error}"
                    );
                }
                Err(error) => log::debug!("cannot link to {peer} at {address}: {error}"),
            }
            tokio::select! {
                () = back_off.wait() => {}
                () = self.stopped.cancelled() => return,
            }
        }
    }

    async fn run(self: &Arc<Self>, peer: Name, role: Role, socket: Socket) {
        let link = Arc::new(Link::new(peer.clone(), role, self.settings.clone()));
        {
            let mut links = self.links.lock().expect("lock");
            if self.stopped.is_cancelled() {
                return;
            }
            if let Some(previous) = links.insert(peer.clone(), link.clone()) {
                previous.close();
            }
        }
        log::info!(event = Event::LinkUp.number(), peer = peer.as_str(); "link to {peer} is up");
        let error = link.run(socket, &self.handlers).await;
        let mut links = self.links.lock().expect("lock");
        if links.get(&peer).is_some_and(|current| Arc::ptr_eq(current, &link)) {
            links.remove(&peer);
        }
        drop(links);
        log::warn!(
            event = Event::LinkDown.number(), peer = peer.as_str();
            "link to {peer} is down: {error}"
        );
    }
}
