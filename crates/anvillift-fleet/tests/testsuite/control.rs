//! Tests of fetching the control state and of compressing documents.

use anvillift_fleet::{ControlPull, document};
use anvillift_schema::name::Name;

/// Guards against fetching a large state several times: a configuration of 1,404
/// routes came from all six cores over a link of 10 Mbit/s and stalled the streams
/// on it (seen on tricura-caves-grown scale-1, journal 5a3ff322).
#[test]
fn a_state_is_requested_from_one_core() {
    let mut pull = ControlPull::default();
    let cores: Vec<Name> = ["a", "b", "c"].map(Name::from).to_vec();
    let requests = cores.iter().filter(|core| pull.on_news(1_000, core, 7, 6)).count();
    assert_eq!(requests, 1);
    assert_eq!(pull.ask_again(1_100, 6), None);
    assert_eq!(pull.ask_again(2_000, 7), None, "the state has arrived");
}

#[test]
fn another_core_is_tried_when_the_first_does_not_answer() {
    let mut pull = ControlPull::default();
    assert!(pull.on_news(1_000, &Name::from("a"), 7, 6));
    assert!(!pull.on_news(1_010, &Name::from("b"), 7, 6));
    assert_eq!(pull.ask_again(2_000, 6), Some(Name::from("b")));
    assert_eq!(pull.ask_again(3_000, 6), Some(Name::from("a")));
}

#[test]
fn a_newer_state_is_requested_at_once() {
    let mut pull = ControlPull::default();
    assert!(pull.on_news(1_000, &Name::from("a"), 7, 6));
    assert!(pull.on_news(1_010, &Name::from("a"), 8, 6));
    assert!(!pull.on_news(1_020, &Name::from("a"), 8, 8));
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
