//! Which hosts of different capacity one answer of the directory lists.
//!
//! Callers pick at random among the hosts of an answer, so a host gets callers in
//! proportion to how often it is listed. The largest hosts are always listed, each
//! other one in the share of the answers that its capacity is of the largest. An
//! answer lists a window on the ring of the hosts of one capacity. The windows of the
//! hosts that answer are spread evenly over the ring, so that at any moment each host
//! is listed to its share of the callers, and they move slowly, so that a caller keeps
//! most of its connections. A host that joins or leaves shifts a window by one place
//! at most.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use anvillift_schema::fleet::FleetHost;
use anvillift_schema::rendezvous;

use crate::directory::Question;

/// Fewest hosts in an answer, if there are so many. Callers need others to turn to
/// when hosts fail.
const MIN_HOSTS: usize = 8;
/// Time for which an answer stays the same, in milliseconds. Callers keep an answer
/// for 2 to 6 s.
const SLOT_MS: u64 = 6_000;
/// Slots after which a window has moved once around its ring.
const SLOTS_PER_TURN: u64 = 20;
/// Fractional part of the golden ratio: its multiples are spread evenly over 0 to 1.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_894_9;
/// Keeps rounding errors of a sum from changing the number of hosts in an answer.
const ROUNDING_MARGIN: f64 = 1e-6;

/// Where the windows of an answer begin, as fractions of a turn.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WindowPosition {
    /// Place of the first host on each ring.
    start: f64,
    /// From which fraction on the length of a window is rounded up.
    rounding: f64,
}

impl WindowPosition {
    /// Position for an answer to `question` by the host with this index among the
    /// `host_count` hosts that answer for its region.
    pub(crate) fn new(
        now_ms: u64,
        question: &Question<'_>,
        index: usize,
        host_count: usize,
    ) -> Self {
        let slot = now_ms / SLOT_MS % SLOTS_PER_TURN;
        let hash = rendezvous::mix(rendezvous::hash(question.data_centre.as_bytes()));
        let shift = slot as f64 / SLOTS_PER_TURN as f64 + hash as f64 / u64::MAX as f64;
        Self {
            start: (index as f64 / host_count.max(1) as f64 + shift).fract(),
            rounding: (index as f64 * GOLDEN_FRACTION + shift).fract(),
        }
    }
}

/// Whether the hosts differ in capacity, as far as it is known.
pub(crate) fn is_mixed(hosts: &[&FleetHost]) -> bool {
    let largest = largest_capacity(hosts);
    hosts.iter().any(|host| capacity(host, largest) != largest)
}

/// The hosts to list, at most `max_hosts`, in the order of their names.
pub(crate) fn select<'a>(
    hosts: &[&'a FleetHost],
    max_hosts: usize,
    data_centre: &str,
    position: WindowPosition,
) -> Vec<&'a FleetHost> {
    let largest = largest_capacity(hosts);
    let mut selected: Vec<&FleetHost> = Vec::new();
    let mut places = ROUNDING_MARGIN + position.rounding * (1.0 - 2.0 * ROUNDING_MARGIN);
    for (group, group_places) in groups(hosts, max_hosts, data_centre) {
        let capacities: Vec<u64> = group.iter().map(|host| capacity(host, largest)).collect();
        let scale = scale(&capacities, group_places);
        for (Reverse(capacity), mut ring) in rings(&group, largest) {
            ring.sort_by_key(|host| rendezvous::hash(host.name.as_bytes()));
            let places_before = places.floor();
            places += (capacity as f64 * scale).min(1.0) * ring.len() as f64;
            let count = ((places.floor() - places_before) as usize).min(ring.len());
            let start = (position.start * ring.len() as f64) as usize;
            selected.extend(ring.iter().copied().cycle().skip(start).take(count));
        }
    }
    selected.sort_by_key(|host| &host.name);
    selected
}

/// The hosts in groups, each with the mean number of its places in an answer. There is
/// one group, unless the places that are due exceed an answer: then the hosts of the
/// data centre of the caller come first.
fn groups<'a>(
    hosts: &[&'a FleetHost],
    max_hosts: usize,
    data_centre: &str,
) -> Vec<(Vec<&'a FleetHost>, f64)> {
    let largest = largest_capacity(hosts);
    let places_due = |hosts: &[&FleetHost]| {
        let due = hosts.iter().map(|host| capacity(host, largest) as f64 / largest as f64);
        due.sum::<f64>()
    };
    let max_places = max_hosts as f64;
    let all_due = places_due(hosts);
    if all_due <= max_places {
        return vec![(hosts.to_vec(), all_due.max(MIN_HOSTS.min(hosts.len()) as f64))];
    }
    let (near, elsewhere): (Vec<&FleetHost>, Vec<&FleetHost>) =
        hosts.iter().copied().partition(|host| host.data_centre.as_str() == data_centre);
    let near_places = places_due(&near).min(max_places);
    vec![(near, near_places), (elsewhere, max_places - near_places)]
}

/// The hosts by capacity, the largest first.
fn rings<'a>(hosts: &[&'a FleetHost], largest: u64) -> BTreeMap<Reverse<u64>, Vec<&'a FleetHost>> {
    let mut rings: BTreeMap<Reverse<u64>, Vec<&FleetHost>> = BTreeMap::new();
    for host in hosts {
        rings.entry(Reverse(capacity(host, largest))).or_default().push(host);
    }
    rings
}

/// The factor by which capacities are multiplied to give shares, at most 1 each, that
/// add up to `places`.
fn scale(capacities: &[u64], places: f64) -> f64 {
    let mut sorted = capacities.to_vec();
    sorted.sort_by_key(|capacity| Reverse(*capacity));
    let mut rest = sorted.iter().sum::<u64>() as f64;
    for (index, capacity) in sorted.iter().enumerate() {
        let scale = (places - index as f64) / rest;
        if scale * *capacity as f64 <= 1.0 {
            return scale.max(0.0);
        }
        rest -= *capacity as f64;
    }
    1.0
}

fn largest_capacity(hosts: &[&FleetHost]) -> u64 {
    hosts.iter().filter_map(|host| host.cpu_millicores).max().unwrap_or(1).max(1)
}

/// Capacity of a host. One that does not name it, as an older release, counts as one
/// of the largest, which is how it is listed by older hosts.
fn capacity(host: &FleetHost, largest: u64) -> u64 {
    host.cpu_millicores.filter(|capacity| *capacity > 0).unwrap_or(largest)
}
