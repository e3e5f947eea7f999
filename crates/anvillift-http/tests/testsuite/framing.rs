//! Framing of bodies, refusal of ambiguous framing, and removal of hop-by-hop fields.

use anvillift_http::{Framing, Headers, HttpError, RequestHead, ResponseHead};
use rstest::rstest;

fn headers(fields: &[(&'static str, &'static str)]) -> Headers {
    let mut headers = Headers::default();
    for (name, value) in fields {
        headers.push(*name, *value);
    }
    headers
}

fn request_framing(
    minor_version: u8,
    fields: &[(&'static str, &'static str)],
) -> Result<Framing, HttpError> {
    let headers = headers(fields);
    Framing::of_request(&RequestHead { minor_version, headers, ..RequestHead::default() })
}

#[test]
fn request_body_is_framed_by_length_or_chunks() {
    assert!(matches!(request_framing(1, &[]), Ok(Framing::None)));
    assert!(matches!(request_framing(1, &[("Content-Length", "12")]), Ok(Framing::Length(12))));
    assert!(matches!(
        request_framing(1, &[("Transfer-Encoding", "chunked")]),
        Ok(Framing::Chunked)
    ));
}

#[rstest]
#[case(1, &[("Content-Length", "5"), ("Transfer-Encoding", "chunked")])]
#[case(1, &[("Transfer-Encoding", "chunked"), ("content-length", "5")])]
#[case(1, &[("Content-Length", "5"), ("Content-Length", "6")])]
#[case(1, &[("Content-Length", "5, 6")])]
#[case(1, &[("Content-Length", "+5")])]
#[case(1, &[("Content-Length", "0x5")])]
#[case(1, &[("Content-Length", "")])]
#[case(1, &[("Transfer-Encoding", "gzip, chunked")])]
#[case(1, &[("Transfer-Encoding", "chunked"), ("Transfer-Encoding", "chunked")])]
#[case(0, &[("Transfer-Encoding", "chunked")])]
fn ambiguous_framing_is_refused(
    #[case] minor_version: u8,
    #[case] fields: &[(&'static str, &'static str)],
) {
    let framing = request_framing(minor_version, fields);
    assert!(matches!(framing, Err(HttpError::AmbiguousFraming { .. })), "{framing:?}");
}

#[test]
fn response_without_a_length_ends_with_the_connection() {
    let head = ResponseHead { status: 200, minor_version: 1, ..ResponseHead::default() };
    assert!(matches!(Framing::of_response(&head, "GET"), Ok(Framing::UntilClose)));
    assert!(matches!(Framing::of_response(&head, "HEAD"), Ok(Framing::None)));
    let empty = ResponseHead { status: 204, ..head };
    assert!(matches!(Framing::of_response(&empty, "GET"), Ok(Framing::None)));
}

#[test]
fn hop_by_hop_fields_are_removed() {
    let mut fields = headers(&[
        ("Connection", "close, X-Hop"),
        ("X-Hop", "1"),
        ("Keep-Alive", "timeout=5"),
        ("Transfer-Encoding", "chunked"),
        ("X-Kept", "1"),
    ]);
    fields.remove_hop_by_hop();
    let kept: Vec<_> = fields.iter().map(|(name, _)| name.clone()).collect();
    assert_eq!(kept, ["X-Kept"]);
}
