//! The subset of the workers of a region that one host prefers.
//!
//! Where many hosts share many workers, each host has few requests in flight at any
//! worker, and its own counts say nothing about the load of a worker. A host that
//! prefers a few workers has enough requests at each of them to compare their loads,
//! and needs fewer connections.
//!
//! The workers form a ring in an order that all hosts compute identically, and the
//! hosts are spread over it evenly. Each host prefers the workers that follow its
//! position. Each worker is thus preferred by about as many hosts as any other, and
//! adding a worker or host changes the subsets only a little.

use std::collections::BTreeSet;

use anvillift_schema::name::Name;
use anvillift_schema::rendezvous;

/// Fewest workers that a host prefers.
const MIN_WORKERS: usize = 8;
/// Fewest hosts that prefer each worker, if the region has so many.
const MIN_HOSTS: usize = 4;

/// The workers that the host `own_name` prefers; `hosts` are all hosts of the region.
pub fn preferred<'a>(
    workers: impl Iterator<Item = &'a Name>,
    hosts: &[Name],
    own_name: &str,
) -> BTreeSet<&'a Name> {
    let mut ring: Vec<&Name> = workers.collect();
    let count = MIN_WORKERS.max((ring.len() * MIN_HOSTS).div_ceil(hosts.len().max(1)));
    if count >= ring.len() {
        return ring.into_iter().collect();
    }
    ring.sort_by_key(|worker| rendezvous::hash(worker.as_bytes()));
    let rank = hosts.iter().filter(|host| host.as_str() < own_name).count();
    let start = rank * ring.len() / hosts.len().max(1);
    ring.iter().cycle().skip(start).take(count).copied().collect()
}
