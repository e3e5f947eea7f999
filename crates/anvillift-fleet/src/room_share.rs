//! This host's share of the room of a brittle worker.
//!
//! A brittle worker falls over when it has to reject more than a number of requests within
//! a second for want of room. So the hosts of its region together send it no more than it
//! runs at once: each host has a fixed share of its slots, and what is left over after
//! equal shares goes to the hosts that rank first for the worker. Should the worker
//! reject a request all the same, the host waits so long that the rejections of all hosts
//! stay below the number. A short pause between two requests lets the first rejection arrive
//! before more are sent.

use anvillift_schema::rendezvous;

use crate::cold_share::LimitSharers;

/// Shortest time between two requests to a brittle worker, in milliseconds.
const SEND_INTERVAL_MS: u64 = 10;
/// Part of the rejections that the hosts together may cause.
const USED_REJECTIONS: f64 = 0.5;
/// Bounds of the wait after a rejection, in milliseconds.
const MIN_WAIT_MS: f64 = 250.0;
const MAX_WAIT_MS: f64 = 10_000.0;
const MS_PER_S: f64 = 1_000.0;

/// What a host knows of a brittle worker.
#[derive(Clone, Copy, Debug)]
pub struct RoomFacts<'a> {
    /// Id of the worker.
    pub worker: &'a str,
    /// Requests that it runs at once.
    pub slots: u64,
    /// Rejections within a second above which it falls over.
    pub max_rejections_per_s: f64,
    /// Requests of this host in flight there.
    pub in_flight: u64,
    /// Time of the last request of this host, in milliseconds.
    pub last_sent_ms: Option<u64>,
    /// Time of its last rejection of a request of this host, in milliseconds.
    pub last_rejected_ms: Option<u64>,
}

/// Whether this host may send a request to a brittle worker now.
pub fn has_room(now_ms: u64, facts: &RoomFacts<'_>, sharers: &LimitSharers<'_>) -> bool {
    let has_passed = |since_ms: Option<u64>, wait_ms: u64| {
        since_ms.is_none_or(|since_ms| since_ms + wait_ms <= now_ms)
    };
    facts.in_flight < own_slots(facts, sharers)
        && has_passed(facts.last_sent_ms, SEND_INTERVAL_MS)
        && has_passed(facts.last_rejected_ms, wait_after_rejection_ms(facts, sharers))
}

/// This host's share of the slots. The shares of all hosts are the slots together.
fn own_slots(facts: &RoomFacts<'_>, sharers: &LimitSharers<'_>) -> u64 {
    let hosts = sharers.count() as u64;
    let key = rendezvous::hash(facts.worker.as_bytes());
    let hosts_ranked_before = sharers.ranked_before(key) as u64;
    facts.slots / hosts + u64::from(hosts_ranked_before < facts.slots % hosts)
}

fn wait_after_rejection_ms(facts: &RoomFacts<'_>, sharers: &LimitSharers<'_>) -> u64 {
    let rejections_per_s = facts.max_rejections_per_s * USED_REJECTIONS;
    let wait_ms = sharers.count() as f64 / rejections_per_s * MS_PER_S;
    wait_ms.clamp(MIN_WAIT_MS, MAX_WAIT_MS) as u64
}
