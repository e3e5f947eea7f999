//! Which hosts speak for a data centre.
//!
//! Each pair of data centres has two delegates a side. The hosts of a data
//! centre, in order of name, take the pairs in turn, so that the work of all
//! pairs is spread evenly. The place of a silent delegate falls to the next
//! host, and the other pairs keep theirs.

use anvillift_schema::name::Name;

/// Delegates of a data centre towards another.
pub const DELEGATES: usize = 2;

/// Hosts that become delegates towards another data centre before any others.
pub const CANDIDATES: usize = 4;

/// The hosts of a data centre, sorted by name, in the order in which they become
/// delegates towards the data centre number `other`.
pub fn in_order(hosts: &[Name], other: usize) -> impl Iterator<Item = &Name> {
    let first = (other * DELEGATES).checked_rem(hosts.len()).unwrap_or(0);
    hosts[first..].iter().chain(&hosts[..first])
}

/// The delegates among `alive` towards the data centre number `other`.
pub fn delegates<'a>(hosts: &'a [Name], alive: &[&Name], other: usize) -> Vec<&'a Name> {
    in_order(hosts, other).filter(|host| alive.contains(host)).take(DELEGATES).collect()
}
