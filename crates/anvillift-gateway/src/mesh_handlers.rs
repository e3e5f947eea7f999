//! Dispatches the messages, calls and streams that other hosts send over links.

use std::sync::{Arc, Weak};

use anvillift_mesh::{IncomingStream, MeshHandlers};
use anvillift_routing::team_bucket::Allowance;
use anvillift_schema::code::Code;
use anvillift_schema::link::{PeerAnswer, PeerCall, PeerMessage};
use anvillift_schema::name::Name;

use crate::admission;
use crate::commands;
use crate::control;
use crate::forward::incoming;
use crate::gateway::Gateway;
use crate::membership;

/// Time after which a refused host may call again, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// Builds the handlers of a gateway for the mesh. They do not keep the gateway alive.
pub(crate) fn mesh_handlers(gateway: &Weak<Gateway>) -> MeshHandlers {
    let for_messages = gateway.clone();
    let for_calls = gateway.clone();
    let for_streams = gateway.clone();
    MeshHandlers {
        message: Arc::new(move |from, message| {
            if let Some(gateway) = started(&for_messages) {
                handle_message(&gateway, from, message);
            }
        }),
        call: Arc::new(move |from, call| {
            let gateway = started(&for_calls);
            Box::pin(async move {
                match gateway {
                    Some(gateway) => handle_call(&gateway, from, call).await,
                    None => refused(Code::Draining),
                }
            })
        }),
        open: Arc::new(move |stream: IncomingStream| {
            let gateway = started(&for_streams);
            Box::pin(async move {
                if let Some(gateway) = gateway {
                    incoming::serve(&gateway, stream).await;
                }
            })
        }),
    }
}

/// The gateway, or `None` once it is gone or while it has no mesh to answer through. Links deliver
/// messages before the start of the mesh returns; other hosts repeat what is dropped then. A
/// handler that panicked would end its link.
fn started(gateway: &Weak<Gateway>) -> Option<Arc<Gateway>> {
    gateway.upgrade().filter(|gateway| gateway.mesh.get().is_some())
}

fn handle_message(gateway: &Arc<Gateway>, from: Name, message: PeerMessage) {
    match message {
        PeerMessage::Membership(message) => {
            let now_ms = gateway.now_ms();
            let outgoing = gateway.membership.lock().expect("lock").receive(now_ms, &from, message);
            membership::send(gateway, outgoing);
        }
        PeerMessage::Consensus(envelope) => {
            if !control::receive_consensus(gateway, &from, &envelope) {
                commands::receive_consensus(gateway, &from, envelope);
            }
        }
        PeerMessage::ConfigurationRequest { after_revision } => {
            control::handle_request(gateway, &from, after_revision);
        }
        PeerMessage::ConfigurationUpdate(update) => control::receive_update(gateway, &from, update),
        PeerMessage::Call { .. } | PeerMessage::CallAnswer { .. } => {}
    }
}

async fn handle_call(gateway: &Arc<Gateway>, from: Name, call: PeerCall) -> PeerAnswer {
    match call {
        PeerCall::Propose { group, command } => {
            match control::propose(gateway, &group, &command).await {
                Some(answer) => answer,
                None => commands::propose(gateway, &group, &command).await,
            }
        }
        PeerCall::LeaseTokens { team, requests_milli, tokens } => {
            admission::lease_tokens(gateway, &from, &team, Allowance { requests_milli, tokens })
        }
        PeerCall::DispatchOrder(order) => control::dispatch_order(gateway, order).await,
        PeerCall::NoteOrder { upstream, fencing } => {
            control::note_order(gateway, &upstream, fencing)
        }
    }
}

/// Refuses a call with a code.
pub(crate) fn refused(code: Code) -> PeerAnswer {
    PeerAnswer::Refused { code: code.number(), leader: None, retry_after_ms: RETRY_AFTER_MS }
}
