//! Headers of anvillift, and the rules for which headers are forwarded.

use anvillift_schema::link::Header;
use salvo::http::HeaderMap;
use salvo::http::header::{self, HeaderName, HeaderValue};

pub(crate) const SERVICE: &str = "anvillift-service";
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
pub(crate) const HOME: &str = "anvillift-home";
pub(crate) const DEADLINE_MS: &str = "anvillift-deadline-ms";
pub(crate) const HOPS: &str = "anvillift-hops";
pub(crate) const ROUTE: &str = "anvillift-route";
pub(crate) const REQUEST_ID: &str = "anvillift-request-id";
pub(crate) const OUTCOME: &str = "anvillift-outcome";
/// Result code of an answer that the gateway made itself, such as a refusal.
pub(crate) const CODE: &str = "anvillift-code";
pub(crate) const ATTEMPT: &str = "anvillift-attempt";
/// Hash of the scope and key of a command, for upstreams that detect repeated commands.
pub(crate) const KEY_HASH: &str = "anvillift-key-hash";
pub(crate) const PRIORITY: &str = "anvillift-priority";
pub(crate) const RESUME_ATTEMPT: &str = "anvillift-resume-attempt";
pub(crate) const RESUME_OFFSET: &str = "anvillift-resume-offset";

const ANVILLIFT_PREFIX: &str = "anvillift-";

/// Headers that apply to a single connection and are never forwarded.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::HOST,
    header::EXPECT,
];

/// Request headers that are not forwarded to an upstream.
const NOT_FORWARDED: [HeaderName; 3] =
    [header::AUTHORIZATION, header::CONTENT_LENGTH, header::ACCEPT_ENCODING];

/// Selects the headers of a caller's request that are forwarded to the upstream.
pub(crate) fn for_upstream(headers: &HeaderMap) -> HeaderMap {
    filter(headers, |name| !NOT_FORWARDED.contains(name) && !is_anvillift_header(name))
}

/// Selects the headers of an upstream's answer that are forwarded to the caller.
pub(crate) fn for_caller(headers: &HeaderMap) -> HeaderMap {
    filter(headers, |name| !is_anvillift_header(name))
}

fn is_anvillift_header(name: &HeaderName) -> bool {
    name.as_str().starts_with(ANVILLIFT_PREFIX)
}

fn filter(headers: &HeaderMap, keep: impl Fn(&HeaderName) -> bool) -> HeaderMap {
    let named_in_connection: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_forwarded = |name: &HeaderName| {
        !HOP_BY_HOP.contains(name)
            && name.as_str() != "keep-alive"
            && !named_in_connection.iter().any(|other| other == name.as_str())
            && keep(name)
    };
    let forwarded = headers.iter().filter(|(name, _)| is_forwarded(name));
    forwarded.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Value of a header as text; `None` if it is missing or not visible ASCII.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Converts text to a header value; `None` if it has characters that a header cannot carry.
pub(crate) fn value(text: &str) -> Option<HeaderValue> {
    HeaderValue::from_str(text).ok()
}

/// Converts headers for a link; values that are not text are left out.
pub(crate) fn to_link(headers: &HeaderMap) -> Vec<Header> {
    let text = |value: &HeaderValue| value.to_str().ok().map(str::to_owned);
    headers
        .iter()
        .filter_map(|(name, value)| {
            Some(Header { name: name.as_str().to_owned(), value: text(value)? })
        })
        .collect()
}

/// Converts headers received over a link; malformed ones are left out.
pub(crate) fn from_link(headers: &[Header]) -> HeaderMap {
    let parse = |header: &Header| {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        Some((name, value(&header.value)?))
    };
    headers.iter().filter_map(parse).collect()
}
