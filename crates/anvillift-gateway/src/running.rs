//! A running gateway, with its planned stop and its immediate stop.

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

/// Interval at which a planned stop checks whether all requests have ended.
const QUIET_INTERVAL: Duration = Duration::from_millis(20);
/// Checks in a row without a request after which the server is stopped. One is not enough, since
/// a request may be in the buffers of the kernel at that moment.
const QUIET_CHECKS: u32 = 5;
/// Time to write the last bytes of finished answers when the gateway stops.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// A gateway that accepts requests. [`Self::drain`] shuts it down gracefully, [`Self::stop`] at
/// once.
pub struct RunningGateway {
    /// Bound address of the HTTP listener for callers, upstreams and operators.
    pub caller_addr: SocketAddr,
    /// Bound address of the listener for links of other hosts.
    pub link_addr: SocketAddr,
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) server: ServerHandle,
    pub(crate) serving: JoinHandle<()>,
    pub(crate) tasks: Vec<JoinHandle<()>>,
}

impl RunningGateway {
    /// State that the parts of the gateway share.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Replaces the routing policy, so that benchmarks can compare policies.
    pub fn set_policy(&self, policy: Policy) {
        self.gateway.router.lock().expect("lock").set_policy(policy);
    }

    /// Shuts down gracefully: announces the drain to other hosts, refuses new requests and finishes
    /// those in flight. Requests that exceed the drain timeout of the settings get a final answer.
    pub async fn drain(mut self) {
        let gateway = self.gateway.clone();
        log::info!(event = Event::HostDraining.number(); "draining: refusing new requests");
        gateway.draining.store(true, Ordering::Release);
        gateway.membership.lock().expect("lock").set_state(HostState::Draining);
        membership::tick(&gateway);
        membership::refresh(&gateway);
        let timeout = Duration::from_millis(gateway.settings.timing.drain_timeout_ms);
        if time::timeout(timeout, gateway.in_flight.wait_until_idle()).await.is_err() {
            log::warn!(
                event = Event::RequestsUnfinished.number();
                "drain timeout of {timeout:?} reached: ending {} requests in flight",
                gateway.in_flight.count()
            );
            gateway.requests_end.send_replace(true);
        }
        commands::stop(&gateway).await;
        control::stop(&gateway).await;
        self.refuse_last_requests().await;
        self.server.stop_graceful(FLUSH_TIMEOUT);
        gateway.mesh().finish(FLUSH_TIMEOUT).await;
        let _ = time::timeout(FLUSH_TIMEOUT, &mut self.serving).await;
        log::info!(event = Event::HostStopped.number(); "gateway stopped");
        self.stop();
    }

    /// Closes the listening socket, and waits until the last requests are refused: those on
    /// connections in its queue, and those that have begun. The HTTP server would close their
    /// connections without an answer.
    async fn refuse_last_requests(&self) {
        let gateway = &self.gateway;
        let header_timeout = Duration::from_millis(gateway.settings.limits.header_timeout_ms);
        let refusing = async {
            gateway.connections.close_listener().await;
            let mut quiet_checks = 0;
            while quiet_checks < QUIET_CHECKS {
                time::sleep(QUIET_INTERVAL).await;
                let is_quiet = gateway.connections.begun() == 0 && gateway.in_flight.count() == 0;
                quiet_checks = if is_quiet { quiet_checks + 1 } else { 0 };
            }
        };
        if time::timeout(header_timeout + FLUSH_TIMEOUT, refusing).await.is_err() {
            log::warn!(
                "closing {} connections whose request has begun",
                gateway.connections.begun()
            );
        }
    }

    /// Stops at once and cuts off the requests in flight.
    pub fn stop(self) {
        self.server.stop_forceful();
        self.gateway.mesh().stop();
        self.serving.abort();
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}
