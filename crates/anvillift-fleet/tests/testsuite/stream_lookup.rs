//! The version of a stream that another host began, from the answers of cores.

use anvillift_fleet::stream_origin::KnownVersion;
use anvillift_fleet::{LookupState, StreamLookup};
use anvillift_schema::fleet::FleetStreamEvidence;
use anvillift_schema::fleet::FleetStreamEvidence::{
    OnlyVersionForRetention, OnlyVersionSinceStart, Record,
};
use anvillift_schema::name::Name;
use rstest::rstest;

type Known = Option<(&'static str, FleetStreamEvidence)>;

const SURE_OF_V1: Known = Some(("v1", OnlyVersionForRetention));
const SAW_V1: Known = Some(("v1", OnlyVersionSinceStart));
const SAW_V2: Known = Some(("v2", OnlyVersionSinceStart));
const SURE_OF_V2: Known = Some(("v2", OnlyVersionForRetention));
const RECORD_OF_V1: Known = Some(("v1", Record));

fn known(known: Known) -> Option<KnownVersion> {
    known.map(|(version, evidence)| KnownVersion { version: Name::from(version), evidence })
}

fn state(own: Known, asks_all_regions: bool, cores: usize, answers: &[Known]) -> LookupState {
    let name = |number: usize| Name::from(format!("core-{number}"));
    let mut lookup = StreamLookup::new(known(own), asks_all_regions, (0..cores).map(name));
    for (number, answer) in answers.iter().enumerate() {
        lookup.add(&name(number), known(*answer));
    }
    lookup.state()
}

/// Guards against a stream that goes on at another version than the one that began it: a host
/// or a core has missed a version, has started too late to have seen one, or keeps versions in
/// mind for too short a time.
#[rstest]
#[case::host_missed_a_version(SURE_OF_V1, &[None, None, None])]
#[case::host_and_a_core_missed_a_version(SURE_OF_V1, &[SURE_OF_V1, None, None])]
#[case::host_keeps_versions_for_too_short(SURE_OF_V2, &[None, None, None])]
#[case::cores_know_another_version(SURE_OF_V1, &[SAW_V2, SAW_V2, SAW_V2])]
#[case::host_knows_another_version(SAW_V2, &[SURE_OF_V1, SURE_OF_V1, SURE_OF_V1])]
#[case::host_knows_several_versions(None, &[SURE_OF_V1, SURE_OF_V1, SURE_OF_V1])]
#[case::nobody_ran_for_long(SAW_V1, &[SAW_V1, SAW_V1, SAW_V1])]
#[case::a_core_knows_no_worker_yet(SURE_OF_V1, &[SURE_OF_V1, SURE_OF_V1, None])]
fn stream_is_refused_where_another_version_may_have_begun_it(
    #[case] own: Known,
    #[case] answers: &[Known],
) {
    assert_eq!(state(own, true, answers.len(), answers), LookupState::Decided(None));
}

/// Guards against streams that are refused though only one version can have begun them.
#[rstest]
#[case::steady(SURE_OF_V1, &[SURE_OF_V1, SURE_OF_V1, SURE_OF_V1])]
#[case::host_has_restarted(SAW_V1, &[SURE_OF_V1, SURE_OF_V1, SURE_OF_V1])]
#[case::all_cores_have_restarted(SURE_OF_V1, &[SAW_V1, SAW_V1, SAW_V1])]
#[case::host_and_a_core_have_restarted(SAW_V1, &[SAW_V1, SURE_OF_V1, SURE_OF_V1])]
fn stream_goes_on_where_all_know_one_version(#[case] own: Known, #[case] answers: &[Known]) {
    let decided = LookupState::Decided(Some(Name::from("v1")));
    assert_eq!(state(own, true, answers.len(), answers), decided);
}

/// A record decides at once, whatever the others know.
#[rstest]
#[case(None, &[RECORD_OF_V1])]
#[case(SURE_OF_V2, &[SURE_OF_V2, RECORD_OF_V1])]
fn record_decides(#[case] own: Known, #[case] answers: &[Known]) {
    let decided = LookupState::Decided(Some(Name::from("v1")));
    assert_eq!(state(own, false, 3, answers), decided);
}

/// The core that knows better may be the one that has not answered, or that can't be asked.
#[test]
fn an_answer_that_is_missing_may_be_another_one() {
    assert_eq!(state(SURE_OF_V1, true, 2, &[SURE_OF_V1]), LookupState::Pending);
    assert_eq!(state(SURE_OF_V1, false, 1, &[SURE_OF_V1]), LookupState::Decided(None));
    assert_eq!(state(SURE_OF_V1, true, 0, &[]), LookupState::Decided(None));
}

/// Two callers may take up the same stream at once: the answers to both lookups reach each. One
/// core that answers twice must not stand for another one.
#[test]
fn a_second_answer_of_a_core_does_not_count() {
    let cores = ["core-1", "core-2"].map(Name::from);
    let mut lookup = StreamLookup::new(known(SURE_OF_V1), true, cores.clone());
    lookup.add(&cores[0], known(SURE_OF_V1));
    lookup.add(&cores[0], known(SURE_OF_V1));
    assert_eq!(lookup.state(), LookupState::Pending);
    lookup.add(&cores[1], None);
    assert_eq!(lookup.state(), LookupState::Decided(None));
}
