//! Tests of the seeds of hosts.

use std::collections::BTreeSet;

use anvillift_fleet::seed;

/// Guards against endless split votes: three cores that lost power together started
/// in the same millisecond and drew the same election timeouts.
#[test]
fn hosts_that_start_in_the_same_millisecond_draw_differently() {
    let names = ["10.1.0.25:7401", "10.2.0.26:7401", "10.3.0.37:7401"];
    let seeds: BTreeSet<u64> =
        names.iter().map(|name| seed::of_host(name, 1_773_728_171_500)).collect();
    assert_eq!(seeds.len(), names.len());
}
