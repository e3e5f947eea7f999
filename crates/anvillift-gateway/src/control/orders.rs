//! Orders to upstreams, fenced by their place in the log.
//!
//! The leader writes an order, waits out what an earlier leader may have under
//! way, proves that it still leads, and hands the order to an entry host of
//! the upstream's data centre. Every order to an upstream passes there. For an
//! upstream that does not compare the numbers itself, the entry host first has
//! a majority of the hosts of its data centre promise to pass on no older
//! order, and gives up when it was frozen since it took the order.

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

use crate::gateway::Gateway;
use crate::inbox;

/// Path of an upstream that takes orders.
const PATH: &str = "/v1/orders";
/// Longest time that an upstream takes to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a host of the data centre to promise.
const PROMISE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time from taking an order to sending it; a host that was frozen in
/// between gives it up.
const PROMISE_LIMIT: Duration = Duration::from_millis(750);
/// Longest time between the leader's proof and the answer: the longest order
/// that an earlier leader may have under way.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends an order that is in the log, as leader.
pub(super) async fn send(
    gateway: &Arc<Gateway>,
    handle: &GroupHandle,
    fencing: u64,
) -> Result<ControlAnswer, ProposeError> {
    let order = gateway.control.machine().order_at(fencing);
    let Some(order) = order else { return Err(ProposeError::Unknown) };
    wait_out_earlier_leader(gateway, handle).await?;
    let Some(host) = entry_host(gateway, &order.data_centre) else {
        return Ok(undelivered(fencing, Code::NoUpstream));
    };
    // A leader that was frozen since it wrote the order gives up here.
    handle.read_barrier().await?;
    let upstream = order.upstream.clone();
    let fenced = FencedOrder { fencing, order };
    let answer = if host == *gateway.host() {
        deliver(gateway, fenced).await
    } else {
        let call = PeerCall::DispatchOrder(fenced);
        match gateway.mesh().call(&host, call, CALL_TIMEOUT).await {
            Ok(answer) => answer,
            Err(CallError::NoLink { .. }) => inbox::refused(Code::LinkBroke),
            Err(_) => return Ok(ControlAnswer::Delivered { fencing, status: 0 }),
        }
    };
    log::info!(
        event = Event::OrderSent.number(), upstream = upstream.as_str(), fencing = fencing;
        "order {fencing} went to {upstream} through {host}"
    );
    Ok(match answer {
        PeerAnswer::Outcome(bytes) => {
            decode_answer(&bytes).unwrap_or(ControlAnswer::Delivered { fencing, status: 0 })
        }
        PeerAnswer::Refused { code, .. } => ControlAnswer::Undelivered { fencing, code },
        PeerAnswer::Leased { .. } => undelivered(fencing, Code::Internal),
    })
}

fn undelivered(fencing: u64, code: Code) -> ControlAnswer {
    ControlAnswer::Undelivered { fencing, code: code.number() }
}

/// Waits until the lease of an earlier leader and its longest order are over.
async fn wait_out_earlier_leader(
    gateway: &Arc<Gateway>,
    handle: &GroupHandle,
) -> Result<(), ProposeError> {
    let election_timeout = Duration::from_millis(gateway.settings.timing.election_timeout_ms);
    let wait = election_timeout + CALL_TIMEOUT;
    match handle.status().led_for() {
        Some(led_for) => {
            time::sleep(wait.saturating_sub(led_for)).await;
            Ok(())
        }
        None => Err(ProposeError::NoLeader),
    }
}

/// The first host alive of a data centre.
fn entry_host(gateway: &Gateway, data_centre: &Name) -> Option<Name> {
    let snapshot = gateway.snapshot.load();
    let mut hosts = snapshot.view.hosts.values();
    hosts
        .find(|host| host.alive && host.record.data_centre == *data_centre)
        .map(|host| host.record.host.clone())
}

/// Passes an order on to an upstream of the own data centre.
pub(super) async fn deliver(gateway: &Arc<Gateway>, fenced: FencedOrder) -> PeerAnswer {
    let taken = Instant::now();
    let FencedOrder { fencing, order } = &fenced;
    let snapshot = gateway.snapshot.load_full();
    let Some(known) = snapshot.view.upstreams.get(&order.upstream) else {
        return inbox::refused(Code::NoUpstream);
    };
    let url = format!("{}{PATH}", known.announcement.url.trim_end_matches('/'));
    if !pass_fence(gateway, &order.upstream, *fencing) {
        return stopped(&order.upstream, *fencing);
    }
    if !known.announcement.checks_fencing {
        match promises(gateway, &order.upstream, *fencing).await {
            Promises::Majority if taken.elapsed() <= PROMISE_LIMIT => (),
            Promises::Refused => return stopped(&order.upstream, *fencing),
            _ => return inbox::refused(Code::LinkBroke),
        }
    }
    let request = gateway.clients.unpooled.post(url).timeout(ORDER_TIMEOUT).json(&fenced);
    let status = match request.send().await {
        Ok(answer) => answer.status().as_u16(),
        Err(_) => 0,
    };
    PeerAnswer::Outcome(encode(&ControlAnswer::Delivered { fencing: *fencing, status }).into())
}

fn stopped(upstream: &Name, fencing: u64) -> PeerAnswer {
    log::warn!(
        event = Event::OrderFenced.number(), upstream = upstream.as_str(), fencing = fencing;
        "stopped order {fencing} to {upstream}: a newer one has passed"
    );
    inbox::refused(Code::OrderRefused)
}

/// What the other hosts of the data centre said to an order.
enum Promises {
    Majority,
    TooFew,
    Refused,
}

/// Has the hosts of the data centre promise to pass on no older order.
async fn promises(gateway: &Arc<Gateway>, upstream: &Name, fencing: u64) -> Promises {
    let peers = gateway.settings.peers.iter();
    let near = peers.filter(|(_, peer)| peer.data_centre == *gateway.data_centre());
    let hosts: Vec<Name> = near.map(|(name, _)| name.clone()).collect();
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

/// Promises to pass on no older order to an upstream.
pub(super) fn note(gateway: &Gateway, upstream: &Name, fencing: u64) -> PeerAnswer {
    if pass_fence(gateway, upstream, fencing) {
        PeerAnswer::Outcome(Vec::new().into())
    } else {
        inbox::refused(Code::OrderRefused)
    }
}

/// Notes the highest number; the same one may pass again, as in a resend.
fn pass_fence(gateway: &Gateway, upstream: &Name, fencing: u64) -> bool {
    let mut fences = gateway.control.fences();
    let highest = fences.entry(upstream.clone()).or_insert(fencing);
    let passes = fencing >= *highest;
    *highest = fencing.max(*highest);
    passes
}
