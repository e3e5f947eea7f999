//! Settings that control timing, batching and membership of a replica.

use anvillift_schema::name::Name;

/// Settings of a [`Replica`](crate::Replica), fixed while it runs.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Name of the group. Messages of other groups are ignored.
    pub group: Name,
    /// Hosts that form the group when their storage is empty. The first one is
    /// the coordinator, which collects the storage ids of the others.
    pub form_voters: Vec<Name>,
    /// Minimum election timeout, in milliseconds.
    pub election_timeout_ms: u64,
    /// Additional election delay of each voter relative to the voter before it in
    /// the list, in milliseconds. Voters that lose their leader at the same time
    /// then campaign one after the other and don't split the vote. The step
    /// should be longer than a pre-vote and a vote together. At 0, each voter
    /// draws a random delay of up to one election timeout instead.
    pub election_step_ms: u64,
    /// Interval between heartbeats of the leader, in milliseconds.
    pub heartbeat_ms: u64,
    /// Whether the leader serves reads under a lease. Without a lease, every read
    /// waits for a majority. In return, a replica that has just started may vote
    /// and campaign at once, since no lease exists that its vote could violate.
    pub lease_reads: bool,
    /// Reduction of the lease that allows for clocks that run at different rates,
    /// in thousandths of the election timeout.
    pub clock_drift_milli: u64,
    /// Number of entries that are kept although a snapshot covers them, so that a
    /// follower that lags a little needs no snapshot.
    pub trailing_entries: u64,
    /// Largest size of these entries, in bytes. A follower that is further behind gets a
    /// snapshot.
    pub trailing_bytes: usize,
    /// Maximum number of entries in one message.
    pub max_message_entries: usize,
    /// Maximum size of the entries in one message, in bytes. A single larger
    /// entry is still sent.
    pub max_message_bytes: usize,
    /// Maximum number of entries sent to a follower that it has not acknowledged
    /// yet.
    pub max_in_flight_entries: u64,
    /// Size of one chunk of a snapshot, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Whether a host in `form_voters` that restarts with another storage id is
    /// replaced automatically, without an operator. Meant for groups that are
    /// kept in memory only.
    pub replace_restarted_hosts: bool,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            group: Name::default(),
            form_voters: Vec::new(),
            election_timeout_ms: 1_000,
            election_step_ms: 0,
            heartbeat_ms: 200,
            lease_reads: true,
            clock_drift_milli: 50,
            trailing_entries: 1_000,
            trailing_bytes: 4 * 1024 * 1024,
            max_message_entries: 1_024,
            max_message_bytes: 32 * 1024,
            max_in_flight_entries: 1_024,
            snapshot_chunk_bytes: 32 * 1024,
            replace_restarted_hosts: false,
        }
    }
}

impl ReplicaSettings {
    /// Duration of the lease, counted from the send time of a message that a
    /// quorum has answered, in milliseconds. It is shorter than the election
    /// timeout by the allowed clock drift.
    pub fn lease_ms(&self) -> u64 {
        self.election_timeout_ms - self.election_timeout_ms * self.clock_drift_milli / 1_000
    }
}
