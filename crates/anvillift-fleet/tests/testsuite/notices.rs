//! Workers that say in their answers that they are leaving or want a pause.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_fleet::choose::Candidate;
use anvillift_fleet::eligibility::{EligibilityFacts, Ineligible};
use anvillift_fleet::{
    InFlight, VersionConstraint, WorkerNotice, WorkerNotices, WorkerStart, WorkerTable, choose,
    eligibility, retry_after,
};
use anvillift_schema::fleet::{FleetWorker, FleetWorkerState};
use anvillift_schema::name::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const NOW_MS: u64 = 10_000;

fn report(id: &str, born_ms: u64) -> FleetWorker {
    FleetWorker {
        id: Name::from(id),
        born_ms,
        sequence: 1,
        service: Name::from("chat"),
        address: format!("10.1.0.1:{id}"),
        data_centre: Name::from("east-a"),
        slots: 4,
        state: FleetWorkerState::Ready,
        cold_ms: 0,
        remaining_ms: 0,
        version: None,
    }
}

fn start(id: &str, born_ms: u64) -> WorkerStart {
    WorkerStart { id: Name::from(id), born_ms }
}

/// Guards against a pause that is misread: too short a one lets requests reach a worker
/// that wants none, and one from nonsense keeps it from work for ever.
#[rstest]
#[case::seconds(&["2"], Some(2_000))]
#[case::zero(&["0"], Some(0))]
#[case::fraction(&["0.25"], Some(250))]
#[case::long_fraction(&["1.0009"], Some(1_000))]
#[case::spaces(&[" 3 "], Some(3_000))]
#[case::longest_of_two(&["1", "4"], Some(4_000))]
#[case::readable_one_of_two(&["soon", "4"], Some(4_000))]
#[case::absurdly_large(&["99999999999999999999999"], Some(u64::MAX))]
#[case::negative(&["-1"], None)]
#[case::sign(&["+1"], None)]
#[case::date(&["Fri, 04 Dec 2026 08:00:00 GMT"], None)]
#[case::list(&["1, 2"], None)]
#[case::exponent(&["1e3"], None)]
#[case::no_seconds(&[".5"], None)]
#[case::no_fraction(&["1."], None)]
#[case::empty(&[""], None)]
#[case::none(&[], None)]
fn pause_is_read_from_retry_after(#[case] values: &[&str], #[case] expected: Option<u64>) {
    assert_eq!(retry_after::pause_ms(values.iter().map(|value| value.as_bytes())), expected);
}

/// Guards against a shorter pause that ends a longer one, which another request was
/// answered with.
#[test]
fn overlapping_pauses_end_with_the_last_of_them() {
    let (mut notices, worker) = (WorkerNotices::default(), start("a", 1));
    notices.record_pause(NOW_MS, &worker, 5_000);
    notices.record_pause(NOW_MS + 1_000, &worker, 500);
    assert!(notices.get(&worker).is_paused(NOW_MS + 4_999));
    notices.record_pause(NOW_MS + 2_000, &worker, 8_000);
    assert!(notices.get(&worker).is_paused(NOW_MS + 9_999));
    assert!(!notices.get(&worker).is_paused(NOW_MS + 10_000));
    notices.record_pause(NOW_MS, &worker, u64::MAX);
    assert!(notices.get(&worker).is_paused(u64::MAX - 1));
}

/// Guards against notices that pass on to another start of the worker, or stay in memory
/// when the worker is gone.
#[test]
fn notices_belong_to_one_start_of_a_worker() {
    let mut notices = WorkerNotices::default();
    let mut workers = WorkerTable::default();
    for id in ["restarted", "left", "stays", "paused"] {
        workers.merge(NOW_MS, report(id, 1));
    }
    for id in ["restarted", "left", "stays", "unknown"] {
        assert!(notices.record_leaving(NOW_MS, &start(id, 1)));
        assert!(!notices.record_leaving(NOW_MS + 1, &start(id, 1)));
    }
    notices.record_pause(NOW_MS, &start("paused", 1), 1_000);
    workers.merge(NOW_MS, report("restarted", 2));
    let left = FleetWorker { state: FleetWorkerState::Left, sequence: 2, ..report("left", 1) };
    workers.merge(NOW_MS, left);
    assert_eq!(notices.get(&start("restarted", 2)), WorkerNotice::default());
    notices.remove_stale(NOW_MS + 999, &workers);
    let kept: Vec<&str> = notices.iter().map(|(worker, _)| worker.id.as_str()).collect();
    assert_eq!(kept, ["paused", "stays"]);
    notices.remove_stale(NOW_MS + 1_000, &workers);
    assert_eq!(notices.iter().count(), 1);
    assert_eq!(notices.get(&start("stays", 1)).leaving_since_ms, Some(NOW_MS));
}

/// Guards against a way to a worker that one of the reasons leaves open.
#[rstest]
#[case::ready(FleetWorkerState::Ready, WorkerNotice::default(), &[], &[], Ok(()))]
#[case::draining(
    FleetWorkerState::Draining, WorkerNotice::default(), &[], &[], Err(Ineligible::NotReady)
)]
#[case::evacuated(
    FleetWorkerState::Ready, WorkerNotice::default(), &["east-a"], &[], Err(Ineligible::Evacuated)
)]
#[case::tried(
    FleetWorkerState::Ready, WorkerNotice::default(), &[], &["a"], Err(Ineligible::Tried)
)]
#[case::leaving(
    FleetWorkerState::Ready,
    WorkerNotice { leaving_since_ms: Some(1), ..WorkerNotice::default() },
    &[], &[], Err(Ineligible::Leaving)
)]
#[case::paused(
    FleetWorkerState::Ready,
    WorkerNotice { paused_until_ms: NOW_MS + 1, ..WorkerNotice::default() },
    &[], &[], Err(Ineligible::Paused { until_ms: NOW_MS + 1 })
)]
#[case::pause_over(
    FleetWorkerState::Ready,
    WorkerNotice { paused_until_ms: NOW_MS, ..WorkerNotice::default() },
    &[], &[], Ok(())
)]
fn worker_gets_a_request_only_if_nothing_speaks_against_it(
    #[case] state: FleetWorkerState,
    #[case] notice: WorkerNotice,
    #[case] evacuated: &[&str],
    #[case] tried: &[&str],
    #[case] expected: Result<(), Ineligible>,
) {
    let mut workers = WorkerTable::default();
    workers.merge(NOW_MS, FleetWorker { state, ..report("a", 1) });
    let evacuated: Vec<Name> = evacuated.iter().map(|name| Name::from(*name)).collect();
    let tried: BTreeSet<Name> = tried.iter().map(|name| Name::from(*name)).collect();
    let facts = EligibilityFacts {
        now_ms: NOW_MS,
        worker: workers.get("a").expect("a worker"),
        notice,
        limit_wait_ms: 0,
        has_room: true,
        evacuated: &evacuated,
        tried: &tried,
        version_constraint: &VersionConstraint::Any,
        needs_known_version: true,
    };
    assert_eq!(eligibility::check(&facts), expected);
    let only = VersionConstraint::Only(Name::from("v1"));
    let facts = EligibilityFacts { version_constraint: &only, ..facts };
    if expected.is_ok() {
        assert_eq!(eligibility::check(&facts), Err(Ineligible::OtherVersion));
    }
}

/// Guards against a herd when pauses end: 40 workers ask 24 hosts for a pause of 2 s, each
/// with its first answer; callers come back spread over a second. No worker may get more
/// than twice the mean of all workers in any 2 s.
#[test]
fn no_worker_gets_a_herd_when_all_pauses_end() {
    const WORKERS: usize = 40;
    const HOSTS: usize = 24;
    const PAUSE_MS: u64 = 2_000;
    const RETURN_SPREAD_MS: u64 = 1_000;
    const REQUESTS_PER_MS: f64 = 2.0;
    const SERVICE_MS: u64 = 200;
    const END_MS: u64 = 9_000;
    for seed in 0..5 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let names: Vec<Name> =
            (0..WORKERS).map(|number| Name::from(format!("w{number}"))).collect();
        let mut notices = vec![WorkerNotices::default(); HOSTS];
        for host in &mut notices {
            for name in &names {
                let asked_ms = rng.random_range(0..200);
                host.record_pause(asked_ms, &start(name, 1), PAUSE_MS);
            }
        }
        let mut in_flight = vec![vec![Vec::<u64>::new(); WORKERS]; HOSTS];
        let mut due: BTreeMap<u64, usize> = BTreeMap::new();
        let mut arrivals: Vec<(u64, usize)> = Vec::new();
        for now_ms in 200..END_MS {
            let returning = due.remove(&now_ms).unwrap_or(0);
            for _ in 0..REQUESTS_PER_MS as usize + returning {
                let host = rng.random_range(0..HOSTS);
                for ends in &mut in_flight[host] {
                    ends.retain(|end_ms| *end_ms > now_ms);
                }
                let mut candidates: Vec<Candidate> = (0..WORKERS)
                    .filter(|worker| {
                        !notices[host].get(&start(&names[*worker], 1)).is_paused(now_ms)
                    })
                    .map(|worker| Candidate {
                        worker: names[worker].clone(),
                        slots: 16,
                        is_preferred: true,
                        in_flight: InFlight {
                            requests: in_flight[host][worker].len() as u64,
                            ..InFlight::default()
                        },
                        ..Candidate::default()
                    })
                    .collect();
                choose::order(&mut candidates, None, rng.random());
                let Some(chosen) = candidates.first() else {
                    let pause_ms = PAUSE_MS.saturating_sub(now_ms - 200);
                    let back_ms = now_ms + pause_ms + rng.random_range(0..=RETURN_SPREAD_MS);
                    *due.entry(back_ms.max(now_ms + 1)).or_default() += 1;
                    continue;
                };
                let worker = names.iter().position(|name| *name == chosen.worker);
                let worker = worker.expect("a worker of the list");
                in_flight[host][worker].push(now_ms + SERVICE_MS);
                arrivals.push((now_ms, worker));
            }
        }
        for window_start_ms in (0..END_MS - 2_000).step_by(100) {
            let window = window_start_ms..window_start_ms + 2_000;
            let in_window = arrivals.iter().filter(|(at_ms, _)| window.contains(at_ms));
            let mut counts = [0_usize; WORKERS];
            in_window.for_each(|(_, worker)| counts[*worker] += 1);
            let mean = counts.iter().sum::<usize>() as f64 / WORKERS as f64;
            let most = counts.iter().max().copied().unwrap_or(0) as f64;
            assert!(
                mean < 10.0 || most <= 2.0 * mean,
                "seed {seed}, from {window_start_ms} ms: {most} of a mean of {mean:.1}"
            );
        }
    }
}
