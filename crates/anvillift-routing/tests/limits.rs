//! Tests of admission, team limits, retry budgets and hedging.

use std::collections::BTreeMap;

use anvillift_routing::admission::{Admission, AdmissionSettings};
use anvillift_routing::hedge::HedgeTimer;
use anvillift_routing::request::RequestFacts;
use anvillift_routing::retry_budget::{RetryBudget, RetryBudgetSettings};
use anvillift_routing::team_limit::{LeaseResult, Owners, TeamDecision, TeamLimiter};
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

/// Sends one request per millisecond, to the hosts in turn, and counts those
/// admitted. The `silent` host takes no requests and grants no leases.
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
        let active_hosts: Vec<&Name> = hosts.iter().filter(|host| Some(*host) != silent).collect();
        let host = active_hosts[now_ms as usize % active_hosts.len()];
        let decision = limiters
            .get_mut(host)
            .expect("a limiter for each host")
            .admit(now_ms, team, 10, &owners);
        let decision = match decision {
            TeamDecision::LeaseNeeded { owner, requested } => {
                let result = if Some(&owner) == silent {
                    LeaseResult::OwnerUnreachable
                } else {
                    let owner = limiters.get_mut(&owner).expect("a limiter for each host");
                    LeaseResult::Leased(owner.lease(now_ms, team, requested))
                };
                let limiter = limiters.get_mut(host).expect("a limiter for each host");
                limiter.admit_leased(now_ms, team, 10, hosts.len(), result)
            }
            other => other,
        };
        admitted += u64::from(decision == TeamDecision::Admitted);
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
fn a_flooding_team_is_admitted_within_ten_percent_of_its_limit(#[case] count: usize) {
    let team = team("growers", 50);
    let duration_ms = 60 * SECOND_MS;
    let admitted = admitted_in(&mut limiters(&hosts(count)), &team, duration_ms, None);
    let limit = 50 * 60;
    assert!(admitted <= limit * 11 / 10, "{admitted} admitted, limit {limit}");
    assert!(admitted >= limit * 9 / 10, "{admitted} admitted, limit {limit}");
}

#[test]
fn hosts_admit_a_fixed_share_while_the_owner_is_unreachable() {
    let hosts = hosts(4);
    let team = team("growers", 40);
    let owner = Owners::new(hosts.clone()).owner(&team.name).cloned().expect("at least one host");
    let mut limiters = limiters(&hosts);
    let admitted = admitted_in(&mut limiters, &team, 60 * SECOND_MS, Some(&owner));
    let limit = 40 * 60;
    assert!(admitted <= limit * 11 / 10, "{admitted} admitted, limit {limit}");
    assert!(admitted >= limit * 6 / 10, "{admitted} admitted, limit {limit}");
}

#[test]
fn owners_spread_over_hosts_and_change_only_when_their_host_leaves() {
    let hosts = hosts(4);
    let all = Owners::new(hosts.clone());
    let fewer = Owners::new(hosts[..3].to_vec());
    let mut owned: BTreeMap<Name, u32> = BTreeMap::new();
    for n in 0..400 {
        let team = Name::from(format!("team-{n}"));
        let before = all.owner(&team).cloned().expect("at least one host");
        let after = fewer.owner(&team).cloned().expect("at least one host");
        assert!(before == hosts[3] || before == after);
        *owned.entry(before).or_default() += 1;
    }
    assert!(owned.values().all(|count| *count > 50), "{owned:?}");
}

#[test]
fn the_state_of_idle_teams_is_dropped() {
    let mut limiter = TeamLimiter::new(Name::from("host-0"));
    let owners = Owners::new(hosts(1));
    for n in 0..1_000 {
        limiter.admit(0, &team(&format!("team-{n}"), 5), 1, &owners);
    }
    limiter.admit(120 * SECOND_MS, &team("late", 5), 1, &owners);
    assert_eq!(limiter.team_count(), 1);
}

#[test]
fn retries_stay_within_a_tenth_of_first_attempts() {
    let settings = RetryBudgetSettings { earned_per_attempt_milli: 100, burst_retries: 10 };
    let mut budget = RetryBudget::new(settings);
    let retries: u32 = (0..10_000)
        .map(|_| {
            budget.earn();
            u32::from(budget.spend()) + u32::from(budget.spend())
        })
        .sum();
    assert!(retries <= 1_010, "{retries} retries of 10,000 first attempts");
}

#[test]
fn the_last_slots_are_reserved_for_high_priority() {
    let settings = AdmissionSettings { max_in_flight_requests: 10, ..AdmissionSettings::default() };
    let mut admission = Admission::new(settings);
    let request = |priority| RequestFacts { priority, deadline_ms: 1_000, ..Default::default() };
    let bulk: Vec<_> = (0..10).map(|_| admission.admit(&request(0))).collect();
    assert_eq!(bulk.iter().filter(|permit| permit.is_ok()).count(), 7);
    let urgent: Vec<_> = (0..10).map(|_| admission.admit(&request(3))).collect();
    assert_eq!(urgent.iter().filter(|permit| permit.is_ok()).count(), 3);
    let refusal = admission.admit(&request(3)).expect_err("all slots are taken");
    assert_eq!(refusal.code, Code::Overloaded);
    for permit in bulk.into_iter().chain(urgent).flatten() {
        admission.release(permit);
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
