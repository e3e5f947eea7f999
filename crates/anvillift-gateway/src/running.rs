//! A running gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvillift_routing::policy::Policy;
use anvillift_schema::event::Event;
use anvillift_schema::membership::HostState;
use salvo::server::ServerHandle;
use tokio::task::JoinHandle;
use tokio::time;

use crate::commands;
use crate::control;
use crate::gateway::Gateway;
use crate::membership;

/// Time for the last bytes of finished answers to be written.
const FLUSH_LIMIT: Duration = Duration::from_secs(5);

/// A gateway that listens; stopped by [`Self::drain`] or [`Self::stop`].
pub struct RunningGateway {
    /// Address for callers, upstreams and operators.
    pub caller_addr: SocketAddr,
    /// Address for the links of other hosts.
    pub link_addr: SocketAddr,
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) server: ServerHandle,
    pub(crate) serving: JoinHandle<()>,
    pub(crate) tasks: Vec<JoinHandle<()>>,
}

impl RunningGateway {
    /// The state of the gateway.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Places requests by another policy, for comparisons.
    pub fn set_policy(&self, policy: Policy) {
        self.gateway.router.lock().expect("lock").set_policy(policy);
    }

    /// Stops as planned: announces it, refuses new requests, and finishes those in flight.
    pub async fn drain(mut self) {
        let gateway = self.gateway.clone();
        log::info!(event = Event::HostDraining.number(); "draining");
        gateway.draining.store(true, Ordering::Release);
        gateway.members.lock().expect("lock").set_state(HostState::Draining);
        membership::tick(&gateway);
        membership::refresh(&gateway);
        let limit = Duration::from_millis(gateway.settings.timing.drain_timeout_ms);
        if time::timeout(limit, gateway.in_flight.wait_until_idle()).await.is_err() {
            log::warn!("{} requests are cut off", gateway.in_flight.count());
        }
        commands::stop(&gateway).await;
        control::stop(&gateway).await;
        self.server.stop_graceful(FLUSH_LIMIT);
        gateway.mesh().finish(FLUSH_LIMIT).await;
        let _ = time::timeout(FLUSH_LIMIT, &mut self.serving).await;
        log::info!(event = Event::HostStopped.number(); "stopped");
        self.stop();
    }

    /// Stops at once.
    pub fn stop(self) {
        self.server.stop_forceful();
        self.gateway.mesh().stop();
        self.serving.abort();
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}
