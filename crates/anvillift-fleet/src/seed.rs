//! Seeds of random choices.

use anvillift_schema::rendezvous;

/// A seed that differs between hosts, also where they start in the same
/// millisecond: equal seeds would draw equal election timeouts for ever.
pub fn of_host(name: &str, boot: u64) -> u64 {
    rendezvous::rank(rendezvous::mix(boot), name)
}
