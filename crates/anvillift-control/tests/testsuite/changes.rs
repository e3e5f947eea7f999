//! Tests of changes and orders: concurrent and resent commands, validation and snapshots.

use anvillift_control::ControlMachine;
use anvillift_schema::configuration::{Configuration, ControlAnswer, ControlCommand, Edit};
use anvillift_schema::name::Name;
use anvillift_schema::upstream::{UpstreamOrder, UpstreamOrderAction};
use proptest::prelude::*;
use rstest::rstest;

use crate::support::{Log, change, profile, service, team};

fn put(name: &str) -> Vec<Edit> {
    vec![Edit::PutProfile(profile(name))]
}

#[test]
fn only_the_first_seed_is_applied() {
    let mut log = Log::seeded();
    let mut other = Configuration::default();
    other.profiles.insert(Name::from("other"), profile("other"));
    let answer = log.apply(ControlCommand::Seed(other));
    assert_eq!(answer, ControlAnswer::Accepted { revision: 1 });
    assert!(log.machine.configuration().profiles.is_empty());
}

#[test]
fn of_two_changes_to_the_same_revision_one_is_accepted() {
    let mut log = Log::seeded();
    let first = log.submit(&change("a", 1, put("one")));
    let second = log.submit(&change("b", 1, put("two")));
    assert_eq!(first, ControlAnswer::Accepted { revision: 2 });
    assert_eq!(second, ControlAnswer::Conflict { revision: 2 });
    assert!(!log.machine.configuration().profiles.contains_key("two"));
}

#[test]
fn a_resent_change_gets_the_same_answer_and_has_no_effect() {
    let mut log = Log::seeded();
    let first = change("a", 1, put("one"));
    assert_eq!(log.submit(&first), ControlAnswer::Accepted { revision: 2 });
    log.submit(&change("b", 2, vec![Edit::RemoveProfile(Name::from("one"))]));
    assert_eq!(log.submit(&first), ControlAnswer::Accepted { revision: 2 });
    assert!(log.machine.configuration().profiles.is_empty());
    assert_eq!(log.machine.configuration().revision, 3);
}

#[test]
fn a_change_that_reuses_an_id_with_other_edits_is_refused() {
    let mut log = Log::seeded();
    log.submit(&change("a", 1, put("one")));
    let answer = log.submit(&change("a", 2, put("two")));
    assert_eq!(answer, ControlAnswer::Mismatch { revision: 2 });
}

#[test]
fn a_snapshot_keeps_the_records_of_changes() {
    let mut log = Log::seeded();
    let first = change("a", 1, put("one"));
    log.submit(&first);
    log.machine = ControlMachine::restore(&log.machine.snapshot()).expect("a valid snapshot");
    assert_eq!(log.submit(&first), ControlAnswer::Accepted { revision: 2 });
    assert_eq!(log.submit(&change("a", 2, put("two"))), ControlAnswer::Mismatch { revision: 2 });
}

#[test]
fn a_change_whose_record_was_dropped_is_not_applied_again() {
    let mut log = Log::seeded();
    let first = change("first", 1, put("one"));
    log.submit(&first);
    for revision in 2..=20_002 {
        let edits = vec![Edit::PutTeam(team("team", 'a'))];
        log.submit(&change(&format!("change-{revision}"), revision, edits));
    }
    assert_eq!(log.machine.change_revision(&first.change_id), None);
    assert_eq!(log.submit(&first), ControlAnswer::Conflict { revision: 20_003 });
}

#[rstest]
#[case::no_edits(vec![])]
#[case::a_bad_name(vec![Edit::PutProfile(profile("not a name"))])]
#[case::an_unknown_profile(vec![Edit::PutService(service("s", "unknown"))])]
#[case::removal_of_a_profile_in_use(vec![Edit::RemoveProfile(Name::from("used"))])]
#[case::removal_of_an_unknown_team(vec![Edit::RemoveTeam(Name::from("nobody"))])]
#[case::a_malformed_key(vec![Edit::PutTeam(team("x", 'Z'))])]
#[case::a_shared_key(vec![Edit::PutTeam(team("other", 'b'))])]
fn an_invalid_change_has_no_effect(#[case] edits: Vec<Edit>) {
    let mut log = Log::seeded();
    let first = vec![
        Edit::PutProfile(profile("used")),
        Edit::PutService(service("user", "used")),
        Edit::PutTeam(team("owner", 'b')),
    ];
    log.submit(&change("first", 1, first));
    let before = log.machine.configuration().clone();
    let answer = log.submit(&change("second", 2, edits));
    assert!(matches!(answer, ControlAnswer::Invalid { .. }), "{answer:?}");
    assert_eq!(*log.machine.configuration(), before);
}

#[test]
fn an_order_is_numbered_by_its_log_index_and_keeps_the_number_when_resent() {
    let mut log = Log::seeded();
    let order = |id: &str, upstream: &str| UpstreamOrder {
        order_id: Name::from(id),
        upstream: Name::from(upstream),
        data_centre: Name::from("dc"),
        action: UpstreamOrderAction::Leave,
        argument: None,
    };
    let first = log.apply(ControlCommand::Order(order("a", "one")));
    let second = log.apply(ControlCommand::Order(order("b", "one")));
    let resent = log.apply(ControlCommand::Order(order("a", "one")));
    let reused = log.apply(ControlCommand::Order(order("a", "two")));
    assert_eq!(first, ControlAnswer::Ordered { fencing: 2 });
    assert_eq!(second, ControlAnswer::Ordered { fencing: 3 });
    assert_eq!(resent, first);
    assert!(matches!(reused, ControlAnswer::Mismatch { .. }));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_do_not_change_state(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut log = Log::seeded();
        let before = log.machine.snapshot();
        let answer = log.machine.apply(2, &bytes);
        let invalid = matches!(answer, ControlAnswer::Invalid { .. });
        prop_assert!(invalid);
        prop_assert_eq!(log.machine.snapshot(), before);
        prop_assert!(ControlMachine::restore(&bytes).is_none());
    }

    #[test]
    fn each_revision_belongs_to_one_change(
        submissions in prop::collection::vec((0usize..6, 1u64..6), 1..40),
    ) {
        let mut log = Log::seeded();
        let mut accepted = std::collections::BTreeMap::new();
        for (id, expected_revision) in submissions {
            let change = change(&format!("change-{id}"), expected_revision, put("one"));
            if let ControlAnswer::Accepted { revision } = log.submit(&change) {
                let first = accepted.entry(revision).or_insert_with(|| change.clone());
                prop_assert_eq!(&*first, &change);
            }
        }
        prop_assert_eq!(log.machine.configuration().revision, accepted.len() as u64 + 1);
    }
}
