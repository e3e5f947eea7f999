//! Hosts and regions that a request has visited.

use anvillift_schema::code::Code;
use anvillift_schema::name::Name;
use salvo::http::HeaderMap;

use crate::gateway::Gateway;
use crate::headers;
use crate::problem::Refusal;

/// Hops kept of a header; a longer list is a loop.
const MAX_HOPS: usize = 64;

/// The visited hosts and regions of a head.
pub(crate) fn parse(head: &HeaderMap) -> Vec<Name> {
    let values = head.get_all(headers::HOPS).iter().filter_map(|value| value.to_str().ok());
    let names = values.flat_map(|value| value.split(',')).map(str::trim);
    names.filter(|name| !name.is_empty()).take(MAX_HOPS + 1).map(Name::from).collect()
}

/// Refuses a request that has been on this host or in its region before.
pub(crate) fn check(gateway: &Gateway, hops: &[Name]) -> Result<(), Refusal> {
    let seen = hops.contains(gateway.host()) || hops.contains(gateway.region());
    if seen || hops.len() > MAX_HOPS { Err(Code::LoopDetected.into()) } else { Ok(()) }
}
