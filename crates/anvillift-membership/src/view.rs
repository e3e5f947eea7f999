//! A snapshot of the membership state of one host, for routing and status pages.

use std::collections::BTreeMap;

use anvillift_schema::membership::{DataCentreSummary, HostRecord};
use anvillift_schema::name::Name;
use anvillift_schema::upstream::Announcement;

/// Hosts, upstreams and data centres at the time of the snapshot.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Hosts of every data centre by name, including this host.
    pub hosts: BTreeMap<Name, HostView>,
    /// Upstreams of the local data centre that may get new work.
    pub upstreams: BTreeMap<Name, UpstreamView>,
    /// Newest summary of each other data centre with a valid digest.
    pub data_centres: BTreeMap<Name, DataCentreView>,
}

/// The latest state of a host.
#[derive(Clone, Debug)]
pub struct HostView {
    /// The newest record that the host sent about itself.
    pub record: HostRecord,
    /// Time since the last heartbeat or digest that listed the host, in milliseconds.
    pub last_seen_age_ms: u64,
    /// Whether the host is within its silence limit, or listed in the current digest of
    /// another data centre.
    pub alive: bool,
}

/// The latest state of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamView {
    /// The newest announcement, with the load of its newest sample.
    pub announcement: Announcement,
    /// Time since its last announcement to any host, in milliseconds.
    pub last_seen_age_ms: u64,
    /// Tokens that other hosts sent to it since its load sample.
    pub peer_sent_tokens: u64,
}

/// The latest state of another data centre.
#[derive(Clone, Debug)]
pub struct DataCentreView {
    /// The summary that one of its delegates last sent.
    pub summary: DataCentreSummary,
    /// Time since the delegate created the summary, in milliseconds.
    pub age_ms: u64,
}
