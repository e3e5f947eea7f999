//! Orders to upstreams, with the position in the control log as fencing number.
//!
//! The leader writes an order to the log, waits until no order of an earlier leader can be in
//! flight, confirms that it still leads, and sends the order to an entry host of the upstream's
//! data centre. Every order to an upstream passes through an entry host. For an upstream that does
//! not compare fencing numbers itself, the entry host first has a majority of the hosts of its data
//! centre promise to send no older order. A host that was frozen after it received the
//! order abandons it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use anvillift_control::{decode_answer, encode};
use anvillift_mesh::CallError;
use anvillift_replication::{GroupHandle, ProposeError};
use anvillift_schema::code::Code;
use anvillift_schema::configuration::ControlAnswer;
use anvillift_schema::event::Event;
use anvillift_schema::link::{PeerAnswer, PeerCall};
use anvillift_schema::name::Name;
use anvillift_schema::upstream::FencedOrder;
use tokio::time;

use crate::answer;
use crate::gateway::Gateway;
use crate::mesh_handlers;

/// Path at which an upstream accepts orders.
const ORDERS_PATH: &str = "/v1/orders";
/// Status of an order that its upstream has not answered.
const NO_STATUS: u16 = 0;
/// Time for an upstream to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a host of the data centre to answer with its promise.
const PROMISE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time from receiving an order to sending it. A host that was frozen in between exceeds it
/// and abandons the order, because the promises may be outdated.
const MAX_DISPATCH_DELAY: Duration = Duration::from_millis(750);
/// Maximum time between the leader's read barrier and the answer of the entry host. An order of an
/// earlier leader can be in flight for this time.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends an order from the control log to an entry host. Only the leader calls this.
pub(super) async fn send(
    gateway: &Arc<Gateway>,
    handle: &GroupHandle,
    fencing: u64,
) -> Result<ControlAnswer, ProposeError> {
    let order = gateway.control.machine().order_by_fencing(fencing);
    let Some(order) = order else { return Err(ProposeError::Unknown) };
    wait_for_earlier_leader_expiry(gateway, handle).await?;
    let Some(host) = entry_host(gateway, &order.data_centre) else {
        return Ok(undelivered(fencing, Code::NoUpstream));
    };
    // Fails on a host that was frozen since it wrote the order and has lost leadership.
    handle.read_barrier().await?;
    let upstream = order.upstream.clone();
    let fenced = FencedOrder { fencing, order };
    let answer = if host == *gateway.host() {
        deliver(gateway, fenced).await
    } else {
        let call = PeerCall::DispatchOrder(fenced);
        match gateway.mesh().call(&host, call, CALL_TIMEOUT).await {
            Ok(answer) => answer,
            Err(CallError::NoLink { .. }) => mesh_handlers::refused(Code::LinkLost),
            Err(_) => return Ok(ControlAnswer::Delivered { fencing, status: NO_STATUS }),
        }
    };
    log::info!(
        event = Event::OrderSent.number(), upstream = upstream.as_str(), fencing = fencing;
        "order {fencing} to upstream {upstream} sent through host {host}"
    );
    Ok(match answer {
        PeerAnswer::Outcome(bytes) => {
            decode_answer(&bytes).unwrap_or(ControlAnswer::Delivered { fencing, status: NO_STATUS })
        }
        PeerAnswer::Refused { code, .. } => ControlAnswer::Undelivered { fencing, code },
        PeerAnswer::Leased { .. } => undelivered(fencing, Code::Internal),
    })
}

fn undelivered(fencing: u64, code: Code) -> ControlAnswer {
    ControlAnswer::Undelivered { fencing, code: code.number() }
}

/// Waits until the lease of an earlier leader has ended and no order of it can be in flight.
async fn wait_for_earlier_leader_expiry(
    gateway: &Arc<Gateway>,
    handle: &GroupHandle,
) -> Result<(), ProposeError> {
    let election_timeout = Duration::from_millis(gateway.settings.timing.election_timeout_ms);
    let wait = election_timeout + CALL_TIMEOUT;
    match handle.status().time_as_leader() {
        Some(time_as_leader) => {
            time::sleep(wait.saturating_sub(time_as_leader)).await;
            Ok(())
        }
        None => Err(ProposeError::NoLeader),
    }
}

/// Chooses the first live host of a data centre, by name.
fn entry_host(gateway: &Gateway, data_centre: &Name) -> Option<Name> {
    let snapshot = gateway.snapshot.load();
    let mut hosts = snapshot.view.hosts.values();
    hosts
        .find(|host| host.alive && host.record.data_centre == *data_centre)
        .map(|host| host.record.host.clone())
}

/// Sends an order to an upstream of this host's data centre, unless a newer one was sent or
/// promised.
pub(super) async fn deliver(gateway: &Arc<Gateway>, fenced: FencedOrder) -> PeerAnswer {
    let received = Instant::now();
    let FencedOrder { fencing, order } = &fenced;
    let snapshot = gateway.snapshot.load_full();
    let Some(view) = snapshot.view.upstreams.get(&order.upstream) else {
        return mesh_handlers::refused(Code::NoUpstream);
    };
    let url = format!("{}{ORDERS_PATH}", view.announcement.url.trim_end_matches('/'));
    if !raise_fence(gateway, &order.upstream, *fencing) {
        return refuse_older(&order.upstream, *fencing);
    }
    if !view.announcement.checks_fencing {
        match collect_promises(gateway, &order.upstream, *fencing).await {
            Promises::Majority if received.elapsed() <= MAX_DISPATCH_DELAY => (),
            Promises::Refused => return refuse_older(&order.upstream, *fencing),
            _ => return mesh_handlers::refused(Code::LinkLost),
        }
    }
    let request = gateway.clients.unpooled.post(url).timeout(ORDER_TIMEOUT).json(&fenced);
    let status = match request.send().await {
        Ok(response) => {
            let status = answer::final_status(response.status().as_u16());
            status.map_or(NO_STATUS, |status| status.as_u16())
        }
        Err(_) => NO_STATUS,
    };
    PeerAnswer::Outcome(encode(&ControlAnswer::Delivered { fencing: *fencing, status }).into())
}

fn refuse_older(upstream: &Name, fencing: u64) -> PeerAnswer {
    log::warn!(
        event = Event::OrderFenced.number(), upstream = upstream.as_str(), fencing = fencing;
        "refused order {fencing} to upstream {upstream}: a newer order was sent or promised"
    );
    mesh_handlers::refused(Code::OrderRefused)
}

/// Result of requesting promises from the hosts of the data centre.
enum Promises {
    Majority,
    TooFew,
    Refused,
}

/// Requests from each host of the data centre the promise to send no older order.
async fn collect_promises(gateway: &Arc<Gateway>, upstream: &Name, fencing: u64) -> Promises {
    let peers = gateway.settings.peers.iter();
    let same_data_centre = peers.filter(|(_, peer)| peer.data_centre == *gateway.data_centre());
    let hosts: Vec<Name> = same_data_centre.map(|(name, _)| name.clone()).collect();
    let others = hosts.iter().filter(|host| *host != gateway.host());
    let calls = others.map(|host| {
        let call = PeerCall::NoteOrder { upstream: upstream.clone(), fencing };
        gateway.mesh().call(host, call, PROMISE_TIMEOUT)
    });
    let mut promised = 1;
    for answer in futures_util::future::join_all(calls).await {
        match answer {
            Ok(PeerAnswer::Outcome(_)) => promised += 1,
            Ok(PeerAnswer::Refused { code, .. }) if code == Code::OrderRefused.number() => {
                return Promises::Refused;
            }
            _ => (),
        }
    }
    if promised > hosts.len() / 2 { Promises::Majority } else { Promises::TooFew }
}

/// Promises to send no older order to an upstream, or refuses if this host has sent or promised a
/// newer one.
pub(super) fn promise(gateway: &Gateway, upstream: &Name, fencing: u64) -> PeerAnswer {
    if raise_fence(gateway, upstream, fencing) {
        PeerAnswer::Outcome(Vec::new().into())
    } else {
        mesh_handlers::refused(Code::OrderRefused)
    }
}

/// Raises the highest fencing number of an upstream; `false` if the given one is lower. An equal
/// number is accepted, because an order may be sent again.
fn raise_fence(gateway: &Gateway, upstream: &Name, fencing: u64) -> bool {
    let mut fences = gateway.control.fences();
    let highest = fences.entry(upstream.clone()).or_insert(fencing);
    let is_accepted = fencing >= *highest;
    *highest = fencing.max(*highest);
    is_accepted
}
