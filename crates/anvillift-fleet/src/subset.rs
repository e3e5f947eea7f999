//! The part of a region's workers that one host prefers.
//!
//! Where many hosts share many workers each host has next to nothing under way
//! at any of them, and its own counts say nothing about their load. A host that
//! keeps to a few workers has counts to choose by, and needs fewer connections.
//! The workers stand on a ring in an order that all hosts compute alike, the
//! hosts are spread over it evenly, and each prefers the workers that follow its
//! place; so each worker is preferred by as many hosts as any other, and a
//! worker or host more moves the parts a little.

use std::collections::BTreeSet;

use anvillift_schema::name::Name;
use anvillift_schema::rendezvous;

/// Workers that a host prefers at least.
const MIN_WORKERS: usize = 8;
/// Hosts that prefer each worker at least, as far as there are so many.
const MIN_HOSTS: usize = 4;

/// The workers that host `me` of a region's `hosts` prefers.
pub fn preferred<'a>(
    workers: impl Iterator<Item = &'a Name>,
    hosts: &[Name],
    me: &str,
) -> BTreeSet<&'a Name> {
    let mut ring: Vec<&Name> = workers.collect();
    let count = MIN_WORKERS.max((ring.len() * MIN_HOSTS).div_ceil(hosts.len().max(1)));
    if count >= ring.len() {
        return ring.into_iter().collect();
    }
    ring.sort_by_key(|worker| rendezvous::hash(worker.as_bytes()));
    let rank = hosts.iter().filter(|host| host.as_str() < me).count();
    let start = rank * ring.len() / hosts.len().max(1);
    ring.iter().cycle().skip(start).take(count).copied().collect()
}
