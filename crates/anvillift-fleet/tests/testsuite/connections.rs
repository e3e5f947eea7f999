//! Tests of the connections that a host may open to a worker.
//!
//! Guards against resets at the workers when all hosts of a region start at once: 65
//! hosts that each know a few others must not open the connections of a third of the
//! region each.

use anvillift_fleet::{LimitSharers, connection_limit};
use anvillift_schema::name::Name;
use rstest::rstest;

const HOSTS: usize = 65;
const WORKER_LIMIT: u64 = 1_200;

fn limit(worker_limit: u64, known_hosts: usize, has_discovered_all_hosts: bool) -> usize {
    let hosts: Vec<Name> = (0..known_hosts).map(|number| Name::from(format!("{number}"))).collect();
    let sharers = LimitSharers { own_name: "0", hosts: &hosts, has_discovered_all_hosts };
    connection_limit(worker_limit, &sharers)
}

#[rstest]
#[case::alone(1)]
#[case::a_few_known(4)]
#[case::half_known(33)]
#[case::all_known(HOSTS)]
fn hosts_that_start_together_stay_within_the_limit_of_a_worker(#[case] known_hosts: usize) {
    assert!(HOSTS * limit(WORKER_LIMIT, known_hosts, false) <= WORKER_LIMIT as usize);
}

#[test]
fn hosts_that_know_each_other_use_equal_shares() {
    assert_eq!(limit(WORKER_LIMIT, HOSTS, true), 18);
    assert_eq!(limit(110, 8, true), 12);
}

/// A worker that accepts fewer connections than there are hosts is still reached.
#[test]
fn a_host_may_always_open_a_connection_and_one_more() {
    assert_eq!(limit(100, 126, true), 2);
    assert_eq!(limit(100, 126, false), 2);
}
