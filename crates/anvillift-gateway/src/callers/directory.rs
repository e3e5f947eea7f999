//! The directory endpoint, which lists the hosts that a caller should use for a service.

use anvillift_schema::code::Code;
use anvillift_schema::membership::HostRecord;
use anvillift_schema::public::{DirectoryAnswer, DirectoryHost};
use salvo::http::HeaderMap;

use crate::answer::{self, Answer};
use crate::gateway::Gateway;
use crate::keys;
use crate::problem::Refusal;

/// Time for which a caller may use a directory answer, in milliseconds.
const VALID_MS: u64 = 1000;
const WEIGHT_SAME_DATA_CENTRE: u32 = 100;
const WEIGHT_SAME_REGION: u32 = 50;
const WEIGHT_OTHER_REGION: u32 = 10;

/// Lists the hosts for a service. Hosts of this host's region come first.
pub(crate) fn hosts(
    gateway: &Gateway,
    head: &HeaderMap,
    service: Option<String>,
) -> Result<Answer, Refusal> {
    check_any_key(gateway, head)?;
    let service = service.ok_or_else(|| {
        Refusal::with_detail(Code::MalformedRequest, "the query parameter `service` is missing")
    })?;
    let (service, profile) = gateway.service(&service)?;
    let snapshot = gateway.snapshot.load();
    let hosts = snapshot.usable_hosts(Some(&profile), gateway.region(), gateway.data_centre());
    Ok(answer::json(&DirectoryAnswer {
        service: service.name,
        valid_ms: VALID_MS,
        hosts: hosts.iter().map(|host| directory_host(gateway, &host.record)).collect(),
    }))
}

fn directory_host(gateway: &Gateway, record: &HostRecord) -> DirectoryHost {
    let weight = if record.data_centre == *gateway.data_centre() {
        WEIGHT_SAME_DATA_CENTRE
    } else if record.region == *gateway.region() {
        WEIGHT_SAME_REGION
    } else {
        WEIGHT_OTHER_REGION
    };
    DirectoryHost {
        host: record.host.clone(),
        region: record.region.clone(),
        data_centre: record.data_centre.clone(),
        url: record.caller_url.clone(),
        weight,
    }
}

fn check_any_key(gateway: &Gateway, head: &HeaderMap) -> Result<(), Refusal> {
    let settings = &gateway.settings.keys;
    keys::team(&gateway.team_keys.load(), head)
        .map(drop)
        .or_else(|_| keys::check(head, &settings.operator_key_hashes))
        .or_else(|_| keys::check(head, &settings.upstream_key_hashes))
}
