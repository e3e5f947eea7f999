//! Admission, team limits, retry budgets and hedges.

use std::collections::BTreeMap;

use anvillift_routing::admission::{Admission, AdmissionSettings};
use anvillift_routing::hedge::HedgeTimer;
use anvillift_routing::request::RequestFacts;
use anvillift_routing::retry_budget::{RetryBudget, RetryBudgetSettings};
use anvillift_routing::team_limit::{LeaseResult, Owners, TeamLimiter, TeamVerdict};
use anvillift_schema::code::Code;
use anvillift_schema::configuration::{Profile, Team};
use anvillift_schema::name::Name;
use rstest::rstest;

const SECOND_MS: u64 = 1_000;

fn team(name: &str, requests_per_s: u64) -> Team {
    let requests_per_s_milli = requests_per_s * 1_000;
    Team { name: Name::from(name), requests_per_s_milli, ..Team::default() }
}

fn hosts(count: usize) -> Vec<Name> {
    (0..count).map(|n| Name::from(format!("host-{n}"))).collect()
}

/// Asks for `per_ms` requests each millisecond at every host in turn.
fn admitted_in(
    limiters: &mut BTreeMap<Name, TeamLimiter>,
    team: &Team,
    duration_ms: u64,
    silent: Option<&Name>,
) -> u64 {
    let hosts: Vec<Name> = limiters.keys().cloned().collect();
    let owners = Owners::new(hosts.clone());
    let mut admitted = 0;
    for now_ms in 0..duration_ms {
        let asked: Vec<&Name> = hosts.iter().filter(|host| Some(*host) != silent).collect();
        let host = asked[now_ms as usize % asked.len()];
        let verdict = limiters.get_mut(host).expect("known").admit(now_ms, team, 10, &owners);
        let verdict = match verdict {
            TeamVerdict::LeaseNeeded { owner, wanted } => {
                let result = if Some(&owner) == silent {
                    LeaseResult::OwnerSilent
                } else {
                    let owner = limiters.get_mut(&owner).expect("known");
                    LeaseResult::Leased(owner.lease(now_ms, team, wanted))
                };
                let limiter = limiters.get_mut(host).expect("known");
                limiter.admit_leased(now_ms, team, 10, hosts.len(), result)
            }
            other => other,
        };
        admitted += u64::from(verdict == TeamVerdict::Admitted);
    }
    admitted
}

fn limiters(hosts: &[Name]) -> BTreeMap<Name, TeamLimiter> {
    hosts.iter().map(|host| (host.clone(), TeamLimiter::new(host.clone()))).collect()
}

#[rstest]
#[case(1)]
#[case(3)]
#[case(8)]
fn a_flooding_team_gets_its_limit_within_a_tenth(#[case] count: usize) {
    let team = team("growers", 50);
    let duration_ms = 60 * SECOND_MS;
    let admitted = admitted_in(&mut limiters(&hosts(count)), &team, duration_ms, None);
    let limit = 50 * 60;
    assert!(admitted <= limit * 11 / 10, "{admitted} of {limit}");
    assert!(admitted >= limit * 9 / 10, "{admitted} of {limit}");
}

#[test]
fn a_silent_owner_leaves_each_host_its_share() {
    let hosts = hosts(4);
    let team = team("growers", 40);
    let owner = Owners::new(hosts.clone()).owner(&team.name).cloned().expect("hosts");
    let mut limiters = limiters(&hosts);
    let admitted = admitted_in(&mut limiters, &team, 60 * SECOND_MS, Some(&owner));
    let limit = 40 * 60;
    assert!(admitted <= limit * 11 / 10, "{admitted} of {limit}");
    assert!(admitted >= limit * 6 / 10, "{admitted} of {limit}");
}

#[test]
fn owners_spread_over_hosts_and_move_only_with_their_host() {
    let hosts = hosts(4);
    let all = Owners::new(hosts.clone());
    let fewer = Owners::new(hosts[..3].to_vec());
    let mut owned: BTreeMap<Name, u32> = BTreeMap::new();
    for n in 0..400 {
        let team = Name::from(format!("team-{n}"));
        let before = all.owner(&team).cloned().expect("hosts");
        let after = fewer.owner(&team).cloned().expect("hosts");
        assert!(before == hosts[3] || before == after);
        *owned.entry(before).or_default() += 1;
    }
    assert!(owned.values().all(|count| *count > 50), "{owned:?}");
}

#[test]
fn idle_teams_are_forgotten() {
    let mut limiter = TeamLimiter::new(Name::from("host-0"));
    let owners = Owners::new(hosts(1));
    for n in 0..1_000 {
        limiter.admit(0, &team(&format!("team-{n}"), 5), 1, &owners);
    }
    limiter.admit(120 * SECOND_MS, &team("late", 5), 1, &owners);
    assert_eq!(limiter.known_teams(), 1);
}

#[test]
fn retries_stay_a_tenth_of_first_attempts() {
    let settings = RetryBudgetSettings { earned_per_attempt_milli: 100, burst_retries: 10 };
    let mut budget = RetryBudget::new(settings);
    let retries: u32 = (0..10_000)
        .map(|_| {
            budget.earn();
            u32::from(budget.spend()) + u32::from(budget.spend())
        })
        .sum();
    assert!(retries <= 1_010, "{retries} retries");
}

#[test]
fn the_last_slots_are_kept_for_high_priority() {
    let settings = AdmissionSettings { max_in_flight_requests: 10, ..AdmissionSettings::default() };
    let mut admission = Admission::new(settings);
    let request = |priority| RequestFacts { priority, deadline_ms: 1_000, ..Default::default() };
    let bulk: Vec<_> = (0..10).map(|_| admission.admit(&request(0))).collect();
    assert_eq!(bulk.iter().filter(|ticket| ticket.is_ok()).count(), 7);
    let quick: Vec<_> = (0..10).map(|_| admission.admit(&request(3))).collect();
    assert_eq!(quick.iter().filter(|ticket| ticket.is_ok()).count(), 3);
    let refusal = admission.admit(&request(3)).expect_err("full");
    assert_eq!(refusal.code, Code::Overloaded);
    for ticket in bulk.into_iter().chain(quick).flatten() {
        admission.release(ticket);
    }
    assert_eq!(admission.in_flight_requests(), 0);
}

#[test]
fn only_idempotent_reads_of_a_hedging_profile_are_hedged() {
    let mut timer = HedgeTimer::default();
    (0..100).for_each(|latency_ms| timer.record(latency_ms));
    let hedging = Profile { hedge: true, ..Profile::default() };
    let read = RequestFacts { idempotent: true, ..RequestFacts::default() };
    assert_eq!(timer.delay_ms(&read, &hedging), Some(95));
    assert_eq!(timer.delay_ms(&read, &Profile::default()), None);
    let command = RequestFacts { idempotent: false, ..RequestFacts::default() };
    assert_eq!(timer.delay_ms(&command, &hedging), None);
}
