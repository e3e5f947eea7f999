//! Fingerprints: which requests count as the same.

use std::collections::BTreeSet;
use std::net::IpAddr;

use anvillift_fleet::{CallerId, Fingerprint, RequestContent};

const REQUEST: RequestContent<'static> =
    RequestContent { method: "GET", host: "farm.example", target: "/reads/1?a=b", body: b"" };

fn caller(last: u8) -> CallerId {
    CallerId::of(None, Some(IpAddr::from([10, 0, 0, last])))
}

/// Requests that differ in one field only, or by where one field ends and the next
/// begins, count as the same, and a sound one is refused for a harmful one.
#[test]
fn each_field_of_a_request_counts() {
    let variants = [
        REQUEST,
        RequestContent { method: "HEAD", ..REQUEST },
        RequestContent { host: "farm.exampl", target: "e/reads/1?a=b", ..REQUEST },
        RequestContent { target: "/reads/1?a=c", ..REQUEST },
        RequestContent { target: "/reads/1", ..REQUEST },
        RequestContent { body: b"water", ..REQUEST },
        RequestContent { body: b"water ", ..REQUEST },
    ];
    let contents: BTreeSet<u64> =
        variants.iter().map(|request| Fingerprint::of(request, caller(1)).content).collect();
    assert_eq!(contents.len(), variants.len());
}

/// Bodies that differ only far behind their beginning count as the same.
#[test]
fn whole_body_counts() {
    let mut body = vec![7; 4 * 1024 * 1024];
    let first = Fingerprint::of(&RequestContent { body: &body, ..REQUEST }, caller(1));
    let middle = body.len() / 2;
    body[middle] = 8;
    let second = Fingerprint::of(&RequestContent { body: &body, ..REQUEST }, caller(1));
    assert_ne!(first.content, second.content);
}

/// The same request of another caller counts as that of the first, or one from another
/// port or with a host in another case as another.
#[test]
fn callers_are_told_apart_by_credentials_or_address() {
    let first = Fingerprint::of(&REQUEST, caller(1));
    let other = Fingerprint::of(&REQUEST, caller(2));
    assert_eq!(first.content, other.content);
    assert_ne!(first.of_caller, other.of_caller);
    let upper = RequestContent { host: "Farm.Example", ..REQUEST };
    assert_eq!(Fingerprint::of(&upper, caller(1)), first);
    let mapped = "::ffff:10.0.0.1".parse().expect("an address");
    assert_eq!(CallerId::of(None, Some(mapped)), caller(1));
    let address = Some(IpAddr::from([10, 0, 0, 1]));
    assert_eq!(CallerId::of(Some(b"Token a"), address), CallerId::of(Some(b"Token a"), None));
    assert_ne!(CallerId::of(Some(b"Token a"), address), CallerId::of(Some(b"Token b"), address));
}

/// The identity of a caller changes on the way from one host to another.
#[test]
fn caller_identity_is_passed_on() {
    for id in [caller(1), CallerId::default(), CallerId::of(Some(b""), None)] {
        assert_eq!(CallerId::parse(&id.to_string()), Some(id));
    }
    assert_eq!(CallerId::parse("not hexadecimal"), None);
}
