//! Selects the delegates that exchange digests between data centres.
//!
//! Each pair of data centres has two delegates on either side. The hosts of a
//! data centre, sorted by name, are assigned to the pairs round-robin, which
//! spreads the work evenly. A silent delegate is replaced by the next host in
//! order; the delegates of pairs that it does not serve stay the same.

use anvillift_schema::name::Name;

/// Number of delegates that a data centre has for each other data centre.
pub const DELEGATES_PER_PAIR: usize = 2;

/// Number of hosts, in order of preference, that are linked as possible delegates.
pub const CANDIDATES: usize = 4;

/// Returns the hosts of a data centre in the order in which they become delegates to
/// the data centre with index `other`. `hosts` must be sorted by name.
pub fn in_preference_order(hosts: &[Name], other: usize) -> impl Iterator<Item = &Name> {
    let first = (other * DELEGATES_PER_PAIR).checked_rem(hosts.len()).unwrap_or(0);
    hosts[first..].iter().chain(&hosts[..first])
}

/// Returns the first [`DELEGATES_PER_PAIR`] hosts of [`in_preference_order`] that are `alive`.
pub fn select<'a>(hosts: &'a [Name], alive: &[&Name], other: usize) -> Vec<&'a Name> {
    in_preference_order(hosts, other)
        .filter(|host| alive.contains(host))
        .take(DELEGATES_PER_PAIR)
        .collect()
}
