//! Settings of a replica.

use anvillift_schema::name::Name;

/// Settings of a [`Replica`](crate::Replica).
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Name of the group.
    pub group: Name,
    /// Hosts that form the group; the first one collects their storage ids.
    pub form_voters: Vec<Name>,
    /// Shortest election timeout, in milliseconds.
    pub election_timeout_ms: u64,
    /// Further wait of each voter behind the one before it, in milliseconds.
    /// Voters that lost their leader together then stand one after the other
    /// and don't split the vote; it should exceed the time of a trial and a
    /// vote. At 0 each draws its wait from a span of an election timeout.
    pub election_step_ms: u64,
    /// Between heartbeats of the leader, in milliseconds.
    pub heartbeat_ms: u64,
    /// Whether the leader reads under a lease. Without one every read waits for
    /// a majority, and in return a replica that has just started may vote and
    /// stand at once: it can't break the promise of a lease that it forgot.
    pub reads_by_lease: bool,
    /// Taken off the lease for clocks that run at different rates, in thousandths.
    pub clock_drift_milli: u64,
    /// Entries kept behind a snapshot for followers that are a little late.
    pub trailing_entries: u64,
    /// Largest number of entries in one message.
    pub max_message_entries: usize,
    /// Largest size of the commands in one message, in bytes.
    pub max_message_bytes: usize,
    /// Entries sent to a follower ahead of its answers.
    pub max_in_flight_entries: u64,
    /// Size of one part of a snapshot, in bytes.
    pub snapshot_part_bytes: usize,
    /// Whether a forming host that comes back with another storage id is
    /// replaced without an operator; for groups without a disk.
    pub replace_restarted: bool,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            group: Name::default(),
            form_voters: Vec::new(),
            election_timeout_ms: 1_000,
            election_step_ms: 0,
            heartbeat_ms: 200,
            reads_by_lease: true,
            clock_drift_milli: 50,
            trailing_entries: 1_000,
            max_message_entries: 1_024,
            max_message_bytes: 32 * 1024,
            max_in_flight_entries: 1_024,
            snapshot_part_bytes: 32 * 1024,
            replace_restarted: false,
        }
    }
}

impl ReplicaSettings {
    /// How long the leadership lasts after a message that a quorum answered.
    pub fn lease_ms(&self) -> u64 {
        self.election_timeout_ms - self.election_timeout_ms * self.clock_drift_milli / 1_000
    }
}
