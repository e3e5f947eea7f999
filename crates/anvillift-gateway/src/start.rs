//! Starts a gateway: builds its state, the links, the background tasks and the listener.

use std::mem;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvillift_membership::links::{self, GroupVoters};
use anvillift_membership::membership::{Membership, MembershipSettings};
use anvillift_mesh::{Mesh, MeshSettings};
use anvillift_routing::router::{Router, RouterSettings};
use anvillift_schema::event::Event;
use anvillift_schema::membership::HostState;
use anvillift_schema::settings::{GroupSettings, HostSettings};
use anvillift_telemetry::BurnRecorder;
use arc_swap::ArcSwap;
use salvo::Server;
use salvo::conn::Acceptor;
use salvo::fuse::FuseConfig;
use salvo::server::ServerHandle;
use snafu::ResultExt;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::admission::AdmissionState;
use crate::bind;
use crate::caller_acceptor::CallerAcceptor;
use crate::caller_connections::CallerConnections;
use crate::caller_tls;
use crate::client::Clients;
use crate::clock::Clock;
use crate::commands::{self, Commands};
use crate::control::{self, Control};
use crate::error::{ListenSnafu, MeshSnafu, StartError, StorageSnafu};
use crate::gateway::Gateway;
use crate::in_flight::InFlight;
use crate::keys;
use crate::listener;
use crate::membership;
use crate::mesh_handlers;
use crate::running::RunningGateway;
use crate::snapshot::Snapshot;

/// Size of the read buffer of a connection, in heads of the maximum size.
const HEADS_PER_BUFFER: u64 = 2;
/// Minimum buffer size that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: u64 = 8 * 1024;

impl Gateway {
    /// Starts a gateway that listens on the addresses of its settings. Requests are refused until
    /// the host is ready.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, or a key file or the data folder cannot be used.
    pub async fn start(settings: HostSettings) -> Result<RunningGateway, StartError> {
        let address = settings.listen.callers.clone();
        let listener = bind::bind(&address).context(ListenSnafu { address: address.clone() })?;
        let caller_addr = listener.local_addr().context(ListenSnafu { address })?;
        let caller_url = match settings.listen.caller_url.as_str() {
            "" => format!("{}://{caller_addr}", scheme(&settings)),
            url => url.to_owned(),
        };
        let gateway = Arc::new(build(settings, caller_url)?);
        let mesh_settings = mesh_settings(&gateway);
        let mesh =
            Mesh::start(mesh_settings, mesh_handlers::mesh_handlers(&Arc::downgrade(&gateway)))
                .await
                .context(MeshSnafu)?;
        let link_addr = mesh.address();
        let _ = gateway.mesh.set(mesh);
        control::start(&gateway).await;
        commands::start(&gateway).await;
        membership::refresh(&gateway);
        let membership = tokio::spawn(membership::run(gateway.clone()));
        let acceptor = CallerAcceptor::new(listener, gateway.connections.clone())
            .context(ListenSnafu { address: caller_addr.to_string() })?;
        let tls = gateway.settings.tls.clone().filter(|tls| tls.callers);
        let (handle, serving) = match tls {
            None => serve(&gateway, acceptor),
            Some(tls) => {
                let address = caller_addr.to_string();
                serve(&gateway, caller_tls::accept(acceptor, &tls, &address).await?)
            }
        };
        log::info!(event = Event::HostStarted.number(); "listening on {caller_addr}");
        let tasks = vec![membership];
        Ok(RunningGateway { caller_addr, link_addr, gateway, server: handle, serving, tasks })
    }
}

fn scheme(settings: &HostSettings) -> &'static str {
    let with_tls = settings.tls.as_ref().is_some_and(|tls| tls.callers);
    if with_tls { "https" } else { "http" }
}

fn build(mut settings: HostSettings, caller_url: String) -> Result<Gateway, StartError> {
    let incarnation = unix_ms();
    let control = Control::open(&settings).context(StorageSnafu)?;
    let membership = MembershipSettings {
        identity: settings.host.clone(),
        peers: settings.peers.clone(),
        caller_url,
        incarnation,
        storage_id: control.storage_id().map(ToString::to_string),
        heartbeat_ms: settings.timing.heartbeat_ms,
        silent_after_ms: settings.timing.silent_after_ms,
        upstream_expiry_ms: settings.timing.upstream_expiry_ms,
    };
    let configuration = Arc::new(mem::take(&mut settings.configuration));
    let may_seed = settings.storage.is_some() && !settings.control.voters.is_empty();
    Ok(Gateway {
        clock: Clock::new(),
        team_keys: ArcSwap::from_pointee(keys::team_keys(&configuration)),
        seed: may_seed.then(|| Arc::clone(&configuration)),
        configuration: ArcSwap::new(configuration),
        membership: Mutex::new(Membership::new(membership, incarnation)),
        snapshot: ArcSwap::from_pointee(Snapshot::default()),
        router: Mutex::new(Router::new(RouterSettings {
            seed: incarnation,
            ..RouterSettings::default()
        })),
        mesh: OnceLock::new(),
        clients: Clients::new()?,
        in_flight: InFlight::new(),
        requests_end: watch::Sender::new(false),
        connections: CallerConnections::new(),
        admission: AdmissionState::new(&settings.host.name, &settings.limits),
        burn: BurnRecorder::default(),
        control,
        commands: Commands::default(),
        draining: AtomicBool::new(false),
        ready: AtomicBool::new(false),
        settings,
    })
}

fn mesh_settings(gateway: &Gateway) -> MeshSettings {
    let settings = &gateway.settings;
    MeshSettings {
        identity: settings.host.clone(),
        incarnation: unix_ms(),
        peers: settings.peers.clone(),
        linked: Some(links::links(&settings.host.name, &settings.peers, &group_voters(settings))),
        link_key: settings.keys.link_key.clone(),
        tls: settings.tls.clone().filter(|tls| tls.links),
        listen: settings.listen.links.clone(),
        stream_credit_bytes: settings.limits.stream_credit_bytes,
        ..MeshSettings::default()
    }
}

fn group_voters(settings: &HostSettings) -> GroupVoters {
    let voters = |group: &GroupSettings| group.voters.iter().cloned().collect();
    GroupVoters {
        control: voters(&settings.control),
        ledgers: settings.ledgers.values().map(voters).collect(),
    }
}

/// Marks the host ready for requests and announces it to other hosts.
pub(crate) fn set_ready(gateway: &Arc<Gateway>) {
    gateway.ready.store(true, std::sync::atomic::Ordering::Release);
    gateway.membership.lock().expect("lock").set_state(HostState::Ready);
    log::info!(event = Event::HostReady.number(); "ready for requests");
}

fn serve<A: Acceptor + Send + 'static>(
    gateway: &Arc<Gateway>,
    acceptor: A,
) -> (ServerHandle, JoinHandle<()>) {
    let limits = &gateway.settings.limits;
    let fuse = FuseConfig::default()
        .with_http1_header_timeout(Duration::from_millis(limits.header_timeout_ms));
    let mut server = Server::new(acceptor).fuse_config(fuse);
    // A head above the limit that fits into the buffer is refused with a result code. A larger one
    // is refused by the HTTP library, without a code.
    let buffer_bytes = (HEADS_PER_BUFFER * limits.max_header_bytes).max(MIN_BUFFER_BYTES);
    server.http1_mut().max_buf_size(buffer_bytes as usize);
    let handle = server.handle();
    let service = listener::service(gateway);
    let serving = tokio::spawn(async move {
        if let Err(error) = server.try_serve(service).await {
            log::error!("the listener for callers failed: {error}");
        }
    });
    (handle, serving)
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
