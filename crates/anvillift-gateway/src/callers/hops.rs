//! The hops header, which lists the hosts and regions that a request has visited.

use anvillift_schema::code::Code;
use anvillift_schema::name::Name;
use salvo::http::HeaderMap;

use crate::gateway::Gateway;
use crate::headers;
use crate::problem::Refusal;

/// Maximum number of hops in a request; a longer list counts as a loop.
const MAX_HOPS: usize = 64;

/// Reads the visited hosts and regions from the head of a request.
pub(crate) fn parse(head: &HeaderMap) -> Vec<Name> {
    let values = head.get_all(headers::HOPS).iter().filter_map(|value| value.to_str().ok());
    let names = values.flat_map(|value| value.split(',')).map(str::trim);
    names.filter(|name| !name.is_empty()).take(MAX_HOPS + 1).map(Name::from).collect()
}

/// Refuses a request that has already visited this host or its region.
pub(crate) fn check(gateway: &Gateway, hops: &[Name]) -> Result<(), Refusal> {
    let is_visited = hops.contains(gateway.host()) || hops.contains(gateway.region());
    if is_visited || hops.len() > MAX_HOPS { Err(Code::LoopDetected.into()) } else { Ok(()) }
}
