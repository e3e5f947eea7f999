//! Tests of fetching the control state and of compressing documents.

use anvillift_fleet::{ControlFetch, document};
use anvillift_schema::name::Name;

/// Guards against fetching a large state several times: a configuration of 1,404
/// routes came from all six cores over a link of 10 Mbit/s and stalled the streams
/// on it (seen on tricura-caves-grown scale-1, journal 5a3ff322).
#[test]
fn a_state_is_requested_from_one_core() {
    let mut control_fetch = ControlFetch::default();
    let cores: Vec<Name> = ["a", "b", "c"].map(Name::from).to_vec();
    let requests =
        cores.iter().filter(|core| control_fetch.on_announcement(1_000, core, 7, 6)).count();
    assert_eq!(requests, 1);
    assert_eq!(control_fetch.retry(1_100, 6), None);
    assert_eq!(control_fetch.retry(2_000, 7), None, "the state has arrived");
}

#[test]
fn another_core_is_tried_when_the_first_does_not_answer() {
    let mut control_fetch = ControlFetch::default();
    assert!(control_fetch.on_announcement(1_000, &Name::from("a"), 7, 6));
    assert!(!control_fetch.on_announcement(1_010, &Name::from("b"), 7, 6));
    assert_eq!(control_fetch.retry(2_000, 6), Some(Name::from("b")));
    assert_eq!(control_fetch.retry(3_000, 6), Some(Name::from("a")));
}

#[test]
fn a_newer_state_is_requested_at_once() {
    let mut control_fetch = ControlFetch::default();
    assert!(control_fetch.on_announcement(1_000, &Name::from("a"), 7, 6));
    assert!(control_fetch.on_announcement(1_010, &Name::from("a"), 8, 6));
    assert!(!control_fetch.on_announcement(1_020, &Name::from("a"), 8, 8));
}

#[test]
fn a_document_is_unpacked_byte_for_byte() {
    let routes = "{\"name\":\"route\",\"host\":\"farm.example\"},".repeat(1_400);
    let packed = document::pack(routes.as_bytes()).expect("a packed document");
    assert!(
        packed.len() * 10 < routes.len(),
        "packed to {} of {} bytes",
        packed.len(),
        routes.len()
    );
    assert_eq!(document::unpack(&packed).expect("the document"), routes.as_bytes());
    assert!(document::unpack(b"\xff\xff\xff").is_err());
}
