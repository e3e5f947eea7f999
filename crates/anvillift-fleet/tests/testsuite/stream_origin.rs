//! Which software version began a stream, as far as a host can tell.

use anvillift_fleet::stream_origin::OriginFacts;
use anvillift_fleet::{
    HostTable, HostTableSettings, StreamKey, StreamVersions, VersionConstraint, WorkerTable,
    stream_origin,
};
use anvillift_schema::fleet::{
    FleetHost, FleetHostRole, FleetHostState, FleetStreamEvidence, FleetWorker, FleetWorkerState,
};
use anvillift_schema::name::Name;
use rstest::rstest;

const RETENTION_MS: u64 = 10_000;
const NOW_MS: u64 = 100_000;

fn worker(id: &str, version: Option<&str>) -> FleetWorker {
    FleetWorker {
        id: Name::from(id),
        born_ms: 1,
        sequence: 1,
        service: Name::from("chat"),
        address: format!("10.1.0.1:{id}"),
        data_centre: Name::from("east-a"),
        slots: 4,
        state: FleetWorkerState::Ready,
        cold_ms: 0,
        remaining_ms: 0,
        version: version.map(Name::from),
    }
}

fn core(name: &str, region: &str) -> FleetHost {
    FleetHost {
        name: Name::from(name),
        role: FleetHostRole::Core,
        state: FleetHostState::Ready,
        data_centre: Name::from(format!("{region}-a")),
        region: Name::from(region),
        boot: 1,
        revision: 0,
        caller_address: String::new(),
        operator_address: String::new(),
        forward_address: String::new(),
        storage_id: Name::default(),
        remembers_streams: true,
        shares_quarantine: true,
        cpu_millicores: None,
        shares_quotas: true,
        shares_trials: true,
        takes_leaves: true,
    }
}

/// Hosts of two regions, both of which are heard now.
fn hosts() -> HostTable {
    let mut hosts = HostTable::new(HostTableSettings::default());
    hosts.merge(NOW_MS, core("core-east", "east"), true);
    hosts.merge(NOW_MS, core("core-west", "west"), true);
    hosts
}

fn certain_version(workers: &WorkerTable, hosts: &HostTable, now_ms: u64) -> Option<Name> {
    let facts =
        OriginFacts { workers, hosts, now_ms, started_ms: 0, retention_ms: Some(RETENTION_MS) };
    certain_version_by(&facts)
}

/// The version that must have begun every recent stream, if the host can be sure by itself.
fn certain_version_by(facts: &OriginFacts<'_>) -> Option<Name> {
    let known = facts.only_version("chat")?;
    let is_certain = known.evidence == FleetStreamEvidence::OnlyVersionForRetention;
    is_certain.then_some(known.version)
}

/// Guards against a version that is taken for certain though a worker of another one
/// has served within the time in which streams are taken up.
#[rstest]
#[case::one_version(&[Some("v1"), Some("v1")], Some("v1"))]
#[case::two_versions(&[Some("v1"), Some("v2")], None)]
#[case::unknown_version(&[Some("v1"), None], None)]
#[case::only_unknown(&[None], None)]
#[case::no_worker(&[], None)]
fn version_is_certain_only_if_there_is_one(
    #[case] versions: &[Option<&str>],
    #[case] expected: Option<&str>,
) {
    let mut workers = WorkerTable::default();
    for (number, version) in versions.iter().enumerate() {
        workers.merge(NOW_MS, worker(&number.to_string(), *version));
    }
    assert_eq!(certain_version(&workers, &hosts(), NOW_MS), expected.map(Name::from));
}

/// A worker of an old version leaves, starts again under its id with a new version, or
/// loses its address. Its streams may be taken up for a while after that.
#[rstest]
#[case::left(FleetWorker { state: FleetWorkerState::Left, sequence: 2, ..worker("1", Some("v1")) })]
#[case::restarted(FleetWorker { born_ms: 2, ..worker("1", Some("v2")) })]
#[case::address_taken_over(
    FleetWorker { born_ms: 2, address: worker("1", None).address, ..worker("3", Some("v2")) }
)]
fn version_that_is_gone_counts_until_its_streams_have_ended(#[case] change: FleetWorker) {
    let mut workers = WorkerTable::default();
    workers.merge(NOW_MS - 50_000, worker("1", Some("v1")));
    workers.merge(NOW_MS - 50_000, worker("2", Some("v2")));
    workers.merge(NOW_MS, change);
    let at = |later_ms| {
        let mut hosts = hosts();
        hosts.record_message(NOW_MS + later_ms, "core-east");
        hosts.record_message(NOW_MS + later_ms, "core-west");
        certain_version(&workers, &hosts, NOW_MS + later_ms)
    };
    assert_eq!(at(RETENTION_MS), None);
    assert_eq!(at(RETENTION_MS + 1), Some(Name::from("v2")));
}

/// A worker that has fallen silent may still serve callers that other hosts send it.
#[test]
fn version_of_a_silent_worker_counts() {
    let mut workers = WorkerTable::default();
    workers.merge(NOW_MS - 50_000, worker("1", Some("v1")));
    workers.expire(NOW_MS, 1_000);
    workers.merge(NOW_MS, worker("2", Some("v2")));
    assert_eq!(certain_version(&workers, &hosts(), NOW_MS), None);
}

/// A host that has just started, that doesn't hear a region (however long ago its core
/// was removed from the table) or that has no configuration may have missed a version.
#[test]
fn version_is_not_certain_where_news_may_be_missing() {
    let mut workers = WorkerTable::default();
    workers.merge(NOW_MS, worker("1", Some("v1")));
    let hosts = hosts();
    let facts = OriginFacts {
        workers: &workers,
        hosts: &hosts,
        now_ms: NOW_MS,
        started_ms: 0,
        retention_ms: Some(RETENTION_MS),
    };
    assert!(certain_version_by(&facts).is_some());
    let started_ms = NOW_MS - RETENTION_MS + 1;
    assert_eq!(certain_version_by(&OriginFacts { started_ms, ..facts }), None);
    assert_eq!(certain_version_by(&OriginFacts { retention_ms: None, ..facts }), None);

    let mut cut_off = hosts.clone();
    let later_ms = NOW_MS + 70_000;
    cut_off.record_message(later_ms, "core-east");
    assert_eq!(certain_version(&workers, &cut_off, later_ms), None);
    cut_off.remove_silent(later_ms);
    assert!(cut_off.get("core-west").is_none());
    assert_eq!(certain_version(&workers, &cut_off, later_ms), None);
    let no_hosts = HostTable::new(HostTableSettings::default());
    assert_eq!(certain_version(&workers, &no_hosts, NOW_MS), None);
}

/// The loss of a region, or of one core, must leave a core that was told of a stream;
/// older cores would close the link.
#[rstest]
#[case::own_and_another_region(&[("a", "east"), ("b", "east"), ("c", "west")], 2, true)]
#[case::only_own_region(&[("a", "east"), ("b", "east")], 1, true)]
#[case::only_other_regions(&[("b", "west"), ("c", "south")], 1, false)]
fn streams_are_told_to_a_core_of_the_own_region_and_one_of_another(
    #[case] cores: &[(&str, &str)],
    #[case] count: usize,
    #[case] has_own: bool,
) {
    let known: Vec<FleetHost> = cores.iter().map(|(name, region)| core(name, region)).collect();
    let regions = |keepers: &[Name]| -> Vec<Name> {
        let find = |name: &Name| known.iter().find(|host| host.name == *name);
        keepers.iter().filter_map(find).map(|host| host.region.clone()).collect()
    };
    for own_name in ["entry-1", "entry-2", "entry-3"] {
        let keepers = stream_origin::keepers(&known, &Name::from(own_name), &Name::from("east"));
        assert_eq!(keepers.len(), count);
        assert_eq!(regions(&keepers).contains(&Name::from("east")), has_own);
    }
    let old = known.iter().map(|host| FleetHost { remembers_streams: false, ..host.clone() });
    let old: Vec<FleetHost> = old.collect();
    assert!(stream_origin::keepers(&old, &Name::from("e"), &Name::from("east")).is_empty());
}

/// Guards against streams that are forgotten while they may be taken up, and against
/// records that are never removed.
#[test]
fn stream_is_remembered_for_the_retention_after_its_last_record() {
    let (mut streams, version) = (StreamVersions::default(), Name::from("v1"));
    let (resumed, ended) = (StreamKey::of_request("resumed"), StreamKey::of_request("ended"));
    streams.record(0, resumed, &version);
    streams.record(0, ended, &version);
    streams.record(8_000, resumed, &version);
    streams.remove_older(10_001, RETENTION_MS);
    assert_eq!(streams.version(resumed), Some(&version));
    assert_eq!(streams.version(ended), None);
    streams.remove_older(18_001, RETENTION_MS);
    assert_eq!(streams.version(resumed), None);
}

/// Guards against a stream that nobody but its host knows of, while that stands still, and against
/// one that is told again and again.
#[test]
fn each_stream_is_announced_once() {
    let mut streams = StreamVersions::default();
    let (first, second) = (StreamKey::of_request("a"), StreamKey::of_request("b"));
    streams.record_relayed(0, first, &Name::from("v1"));
    streams.record_relayed(0, second, &Name::from("v2"));
    let due = streams.take_unannounced();
    assert_eq!(due.get(&Name::from("v1")), Some(&vec![first]));
    assert_eq!(due.get(&Name::from("v2")), Some(&vec![second]));
    assert!(streams.take_unannounced().is_empty());
}

/// Guards against a stream that goes on at another version than the cores were told.
#[test]
fn stream_that_goes_on_is_announced_again() {
    let mut streams = StreamVersions::default();
    let stream = StreamKey::of_request("a");
    streams.record_relayed(0, stream, &Name::from("v1"));
    streams.take_unannounced();
    streams.record_relayed(1, stream, &Name::from("v2"));
    assert_eq!(streams.take_unannounced().get(&Name::from("v2")), Some(&vec![stream]));
}

/// Guards against a core that sends on what other hosts have told it, as if it had relayed it.
#[test]
fn streams_of_other_hosts_are_not_announced() {
    let mut streams = StreamVersions::default();
    streams.record(0, StreamKey::of_request("a"), &Name::from("v1"));
    assert!(streams.take_unannounced().is_empty());
    assert!(streams.relayed().is_empty());
}

/// Guards against records that are lost with the cores: a core that has started anew is told
/// again about the streams that may still be taken up, and about no others.
#[test]
fn streams_are_announced_again_after_a_core_has_started_anew() {
    let mut streams = StreamVersions::default();
    let (old, recent) = (StreamKey::of_request("old"), StreamKey::of_request("recent"));
    for (recorded_ms, stream) in [(0, old), (8_000, recent)] {
        streams.record_relayed(recorded_ms, stream, &Name::from("v1"));
    }
    assert_eq!(streams.take_unannounced().len(), 1);
    streams.remove_older(RETENTION_MS + 1, RETENTION_MS);
    assert_eq!(streams.relayed().get(&Name::from("v1")), Some(&vec![recent]));
}

/// A stream goes on at no worker of another or of an unknown version.
#[rstest]
#[case(Some("v1"), true)]
#[case(Some("v2"), false)]
#[case(None, false)]
fn constraint_allows_only_the_version_of_the_stream(
    #[case] version: Option<&str>,
    #[case] allowed: bool,
) {
    let version = version.map(Name::from);
    assert_eq!(VersionConstraint::Only(Name::from("v1")).allows(version.as_ref()), allowed);
    assert!(VersionConstraint::Any.allows(version.as_ref()));
}
