//! Starts two meshes, `a` and `b`, with a link between them.

use std::collections::BTreeMap;
use std::process;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use anvillift_mesh::{IncomingStream, Mesh, MeshHandlers, MeshSettings};
use anvillift_schema::link::{AnswerHead, ForwardHead, PeerAnswer, PeerMessage};
use anvillift_schema::name::Name;
use anvillift_schema::settings::{Identity, PeerSettings};
use futures_util::future::BoxFuture;
use tokio::sync::mpsc;
use tokio::time::{self, Instant};

const LINK_PORT: u16 = 7102;
const LIMIT: Duration = Duration::from_secs(10);

/// Polls a condition until it holds; panics after [`LIMIT`].
pub(crate) async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let limit = Instant::now() + LIMIT;
    while !holds() {
        assert!(Instant::now() < limit, "timed out waiting until {what}");
        time::sleep(Duration::from_millis(5)).await;
    }
}

/// Waits for a future that must complete within [`LIMIT`].
pub(crate) async fn within_limit<T>(future: impl Future<Output = T>) -> T {
    time::timeout(LIMIT, future).await.expect("completed within the limit")
}

/// A loopback address that no other test uses.
pub(crate) fn unused_address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = process::id();
    format!("127.{}.{}.{number}:{LINK_PORT}", 64 + (process >> 8) % 128, process & 0xff)
}

/// Settings of the hosts `a` and `b`; `a` dials `b` at the given address.
pub(crate) fn settings(dialled: &str) -> (MeshSettings, MeshSettings) {
    let peer = |link: &str| PeerSettings {
        region: "oriente".into(),
        data_centre: "zacapa-a".into(),
        link: link.to_owned(),
    };
    let peers = BTreeMap::from([("a".into(), peer("")), ("b".into(), peer(dialled))]);
    let settings_of = |name: &str| MeshSettings {
        identity: Identity {
            name: name.into(),
            region: "oriente".into(),
            data_centre: "zacapa-a".into(),
        },
        peers: peers.clone(),
        link_key: "link-key".to_owned(),
        listen: unused_address(),
        ..MeshSettings::default()
    };
    (settings_of("a"), settings_of("b"))
}

type StreamHandler = Arc<dyn Fn(IncomingStream) -> BoxFuture<'static, ()> + Send + Sync>;

/// Handlers that pass messages to a channel, refuse calls and serve streams with a closure.
pub(crate) fn handlers<F>(
    serving: impl Fn(IncomingStream) -> F + Send + Sync + 'static,
) -> (MeshHandlers, mpsc::UnboundedReceiver<(Name, PeerMessage)>)
where
    F: Future<Output = ()> + Send + 'static,
{
    let (message_tx, message_rx) = mpsc::unbounded_channel();
    let open: StreamHandler = Arc::new(move |stream| Box::pin(serving(stream)));
    let handlers = MeshHandlers {
        message: Arc::new(move |from, message| {
            let _ = message_tx.send((from, message));
        }),
        call: Arc::new(|_, _| {
            Box::pin(async {
                PeerAnswer::Refused { code: 1604, leader: Some("c".into()), retry_after_ms: 7 }
            })
        }),
        open,
    };
    (handlers, message_rx)
}

/// Starts `a` and `b` and waits for their link.
pub(crate) async fn start_linked<F>(
    serving: impl Fn(IncomingStream) -> F + Send + Sync + 'static,
) -> (Mesh, Mesh, mpsc::UnboundedReceiver<(Name, PeerMessage)>)
where
    F: Future<Output = ()> + Send + 'static,
{
    let (a, mut b) = settings(&unused_address());
    b.listen = a.peers["b"].link.clone();
    let (b, messages) = {
        let (handlers, messages) = handlers(serving);
        (Mesh::start(b, handlers).await.expect("start"), messages)
    };
    let a = Mesh::start(a, handlers(drop_stream).0).await.expect("start");
    wait_until_linked(&a).await;
    (a, b, messages)
}

/// Waits until the link of a mesh is up.
pub(crate) async fn wait_until_linked(mesh: &Mesh) {
    wait_until("the link is up", || mesh.linked_hosts().len() == 1).await;
}

/// Drops a stream without an answer.
pub(crate) async fn drop_stream(_stream: IncomingStream) {}

pub(crate) fn head() -> ForwardHead {
    ForwardHead {
        request_id: "r".into(),
        attempt: "t".into(),
        service: "s".into(),
        team: "zacapa".into(),
        home: None,
        method: "POST".to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        body_bytes: None,
        hops: Vec::new(),
        deadline_ms: 1000,
        revision: 0,
    }
}

pub(crate) fn answer_head() -> AnswerHead {
    AnswerHead { status: 200, headers: Vec::new() }
}
