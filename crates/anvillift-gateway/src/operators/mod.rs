//! Endpoints for operators, except those of control.

use anvillift_membership::view::{HostView, UpstreamView};
use anvillift_schema::membership::HostRecord;
use anvillift_schema::public::UpstreamStatus;
use salvo::http::HeaderMap;
use serde::Serialize;

use crate::answer::{self, Answer};
use crate::gateway::Gateway;
use crate::keys;
use crate::problem::Refusal;

/// A host in the list for operators.
#[derive(Debug, Serialize)]
struct HostStatus<'a> {
    record: &'a HostRecord,
    heard_age_ms: u64,
    alive: bool,
}

/// Refuses a request whose key is not one of the operator keys.
pub(crate) fn check_key(gateway: &Gateway, head: &HeaderMap) -> Result<(), Refusal> {
    keys::check(head, &gateway.settings.keys.operator_key_hashes)
}

/// Lists all hosts in the current view, with their last record.
pub(crate) fn hosts(gateway: &Gateway) -> Answer {
    let snapshot = gateway.snapshot.load();
    let status = |host: &'_ HostView| -> (u64, bool) { (host.last_seen_age_ms, host.alive) };
    let hosts: Vec<HostStatus<'_>> = snapshot
        .view
        .hosts
        .values()
        .map(|host| {
            let (heard_age_ms, alive) = status(host);
            HostStatus { record: &host.record, heard_age_ms, alive }
        })
        .collect();
    answer::json(&hosts)
}

/// Lists the upstreams of this host's data centre.
pub(crate) fn upstreams(gateway: &Gateway) -> Answer {
    let snapshot = gateway.snapshot.load();
    let status = |view: &UpstreamView| {
        let announcement = &view.announcement;
        UpstreamStatus {
            upstream: announcement.upstream.clone(),
            service: announcement.service.clone(),
            data_centre: gateway.data_centre().clone(),
            url: announcement.url.clone(),
            heard_age_ms: view.last_seen_age_ms,
            leaving: announcement.leaving,
            running_requests: announcement.load.running_requests,
            queued_tokens: announcement.load.queued_tokens,
        }
    };
    let upstreams: Vec<UpstreamStatus> = snapshot.view.upstreams.values().map(status).collect();
    answer::json(&upstreams)
}

/// Returns the counts of requests on this host that met or missed their objectives.
pub(crate) fn burn(gateway: &Gateway) -> Answer {
    let configuration = gateway.configuration.load();
    answer::json(&gateway.burn.counters(gateway.host(), gateway.now_ms(), &configuration))
}

/// Returns the configuration in force on this host.
pub(crate) fn configuration(gateway: &Gateway) -> Answer {
    answer::json(&**gateway.configuration.load())
}
