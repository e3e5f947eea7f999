//! Operator endpoints for changes, orders and the replicas of the control log.

use std::sync::Arc;

use anvillift_schema::code::Code;
use anvillift_schema::configuration::{
    Change, ControlAnswer, ControlCommand, ControlStatus, ReplicaReplacement,
};
use anvillift_schema::name::Name;
use anvillift_schema::public::{ChangeAnswer, ChangeStatus, Outcome};
use anvillift_schema::upstream::UpstreamOrder;
use serde::de::DeserializeOwned;

use crate::answer::{self, Answer};
use crate::control::{status, submit};
use crate::gateway::Gateway;
use crate::problem::Refusal;

/// Time after which an order that was not sent may be submitted again, in milliseconds.
const RETRY_AFTER_MS: u64 = 2_000;
/// Maximum size of a change, in bytes.
pub(crate) const MAX_CHANGE_BYTES: u64 = 512 * 1024;

/// Submits a change and answers with the revision at which it was accepted.
pub(crate) async fn submit_change(gateway: &Arc<Gateway>, body: &[u8]) -> Result<Answer, Refusal> {
    let change: Change = parse(body)?;
    let change_id = change.change_id.clone();
    match submit::submit(gateway, &ControlCommand::Change(change)).await? {
        ControlAnswer::Accepted { revision } => {
            Ok(answer::json(&ChangeAnswer { change_id, revision }))
        }
        other => Err(refusal(other)),
    }
}

/// Reports the regions in which a change is in force.
pub(crate) async fn change_status(gateway: &Arc<Gateway>, id: &str) -> Result<Answer, Refusal> {
    let change_id = Name::from(id);
    match submit::submit(gateway, &ControlCommand::FindChange(change_id.clone())).await? {
        ControlAnswer::Accepted { revision } => Ok(answer::json(&ChangeStatus {
            accepted: true,
            change_id,
            regions: status::regions(gateway, revision),
            revision,
        })),
        other => Err(refusal(other)),
    }
}

/// Writes an order to the control log and sends it to its upstream.
pub(crate) async fn submit_order(gateway: &Arc<Gateway>, body: &[u8]) -> Result<Answer, Refusal> {
    let order: UpstreamOrder = parse(body)?;
    match submit::submit(gateway, &ControlCommand::Order(order)).await? {
        ControlAnswer::Delivered { status, .. } if status == Code::OrderRefused.status() => {
            Err(Code::OrderRefused.into())
        }
        ControlAnswer::Delivered { status: 0, .. } => Err(Code::UpstreamTimeout.into()),
        ControlAnswer::Undelivered { code, .. } => {
            let code = Code::from_number(code).unwrap_or(Code::Internal);
            Err(Refusal { outcome: Outcome::NotRun, ..Refusal::retry_after(code, RETRY_AFTER_MS) })
        }
        delivered @ ControlAnswer::Delivered { .. } => Ok(answer::json(&delivered)),
        other => Err(refusal(other)),
    }
}

/// Replaces a replica of the control log with another one.
pub(crate) async fn replace(gateway: &Arc<Gateway>, body: &[u8]) -> Result<Answer, Refusal> {
    let replacement: ReplicaReplacement = parse(body)?;
    match submit::submit(gateway, &ControlCommand::Replace(replacement)).await? {
        ControlAnswer::Replicas(voters) => Ok(answer::json(&voters)),
        other => Err(refusal(other)),
    }
}

/// Reports the state of this host's replica of the control log. Hosts without a replica refuse with
/// [`Code::NotFound`].
pub(crate) fn control_status(gateway: &Gateway) -> Result<Answer, Refusal> {
    let handle = gateway.control.handle().ok_or(Code::NotFound)?;
    let status = handle.status();
    Ok(answer::json(&ControlStatus {
        role: status.role.to_string(),
        leader: status.leader,
        term: status.term,
        commit_index: status.commit_index,
        voters: status.voters,
        refetching: status.refetching,
        failed: status.failed,
    }))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body)
        .map_err(|error| Refusal::with_detail(Code::MalformedRequest, error.to_string()))
}

fn refusal(answer: ControlAnswer) -> Refusal {
    let with_revision =
        |code, revision| Refusal { revision: Some(revision), ..Refusal::from(code) };
    match answer {
        ControlAnswer::Conflict { revision } => with_revision(Code::RevisionConflict, revision),
        ControlAnswer::Mismatch { revision } => with_revision(Code::ChangeMismatch, revision),
        ControlAnswer::Missing { revision } => with_revision(Code::ChangeUnknown, revision),
        ControlAnswer::Invalid { detail } => Refusal::with_detail(Code::ChangeInvalid, detail),
        _ => Code::Internal.into(),
    }
}
