//! All links of one host.

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
use crate::handshake::Role;
use crate::inbox::MeshInbox;
use crate::link::Link;
use crate::settings::MeshSettings;
use crate::stream::ForwardedAnswer;
use crate::tls::LinkTls;
use crate::transport::Socket;

/// Connections that may be in their handshake at a time.
const MAX_HANDSHAKES: usize = 64;
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The links of one host; clones share them.
#[derive(Clone)]
pub struct Mesh {
    shared: Arc<Shared>,
}

struct Shared {
    settings: Arc<MeshSettings>,
    tls: LinkTls,
    inbox: MeshInbox,
    links: Mutex<BTreeMap<Name, Arc<Link>>>,
    stopped: CancellationToken,
    address: SocketAddr,
}

impl Mesh {
    /// Listens, and dials the hosts to be linked whose names are greater than the own.
    pub async fn start(settings: MeshSettings, inbox: MeshInbox) -> Result<Self, StartError> {
        let tls = LinkTls::new(settings.tls.as_ref())?;
        let listener = TcpListener::bind(&settings.listen)
            .await
            .context(ListenSnafu { address: settings.listen.clone() })?;
        let address =
            listener.local_addr().context(ListenSnafu { address: settings.listen.clone() })?;
        let shared = Arc::new(Shared {
            settings: Arc::new(settings),
            tls,
            inbox,
            links: Mutex::default(),
            stopped: CancellationToken::new(),
            address,
        });
        tokio::spawn(shared.clone().listen(listener));
        let MeshSettings { identity, peers, linked, .. } = &*shared.settings;
        let wanted = |name: &Name| linked.as_ref().is_none_or(|linked| linked.contains(name));
        for (name, peer) in peers.iter().filter(|(name, _)| **name > identity.name) {
            if wanted(name) {
                tokio::spawn(shared.clone().keep_dialling(name.clone(), peer.link.clone()));
            }
        }
        Ok(Self { shared })
    }

    /// Address that is listened on.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Hosts with a link up.
    pub fn linked(&self) -> Vec<Name> {
        self.shared.links.lock().expect("lock").keys().cloned().collect()
    }

    /// Time that a ping to a host and its answer take, in milliseconds; none
    /// before the first answer.
    pub fn round_trip_ms(&self, host: &Name) -> Option<u64> {
        self.link(host)?.round_trip_ms()
    }

    /// Sends a message; false when there is no link or its queue is full.
    pub fn send(&self, to: &Name, message: PeerMessage) -> bool {
        self.link(to).is_some_and(|link| link.queue.push_message(LinkFrame::Peer(message)))
    }

    /// Calls a host and waits for its answer.
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
            Ok(Err(_)) => Err(CallError::LinkBroke { host: to.clone() }),
            Err(_) => {
                link.forget_call(call_id);
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
                Err(OpenError { host: to.clone(), code: Code::LinkBroke, certainly_not_sent: true })
            }
        }
    }

    /// Stops listening, writes what waits and closes every link.
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

    /// Closes every link and stops listening.
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

impl Shared {
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
                        let proven = dial::accept(&shared.settings, &shared.tls, tcp).await;
                        drop(permit);
                        shared.take_dialler(proven).await;
                    });
                }
                Err(error) if dial::is_passing(&error) => {}
                Err(_) => time::sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    async fn take_dialler(self: &Arc<Self>, proven: Result<(Name, Socket), LinkError>) {
        match proven {
            Ok((peer, socket)) if peer < self.settings.identity.name => {
                self.run(peer, Role::Listener, socket).await;
            }
            Ok((peer, _)) => {
                log::warn!(
                    event = Event::LinkRefused.number();
                    "refused the link of {peer}: this host dials it"
                );
            }
            Err(error) => {
                log::warn!(event = Event::LinkRefused.number(); "refused a link: {error}");
            }
        }
    }

    async fn keep_dialling(self: Arc<Self>, peer: Name, address: String) {
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
                        "{address} is {name}, not {peer}"
                    );
                }
                Err(error @ (LinkError::Refused { .. } | LinkError::Tls { .. })) => {
                    log::warn!(event = Event::LinkRefused.number(); "link to {peer}: {error}");
                }
                Err(error) => log::debug!("link to {peer}: {error}"),
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
            if let Some(former) = links.insert(peer.clone(), link.clone()) {
                former.close();
            }
        }
        log::info!(event = Event::LinkUp.number(), peer = peer.as_str(); "link to {peer} is up");
        let error = link.run(socket, &self.inbox).await;
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
