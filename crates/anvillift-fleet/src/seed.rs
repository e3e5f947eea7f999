//! Seeds for random choices.

use anvillift_schema::rendezvous;

/// A seed that differs between hosts even if they start in the same millisecond.
/// With equal seeds, hosts would draw equal election timeouts and split every vote.
pub fn of_host(name: &str, boot: u64) -> u64 {
    rendezvous::rank(rendezvous::mix(boot), name)
}
