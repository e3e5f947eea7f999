//! What a host knows of the system at one moment.

use std::collections::BTreeMap;

use anvillift_schema::membership::{DataCentreSummary, HostRecord};
use anvillift_schema::name::Name;
use anvillift_schema::upstream::Announcement;

/// Hosts, upstreams and data centres as known at one moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Hosts of every data centre, the own one included.
    pub hosts: BTreeMap<Name, HostView>,
    /// Upstreams of the own data centre that may get new work.
    pub upstreams: BTreeMap<Name, UpstreamView>,
    /// Newest summaries of the other data centres.
    pub data_centres: BTreeMap<Name, DataCentreView>,
}

/// A host as last heard of.
#[derive(Clone, Debug)]
pub struct HostView {
    /// What the host told.
    pub record: HostRecord,
    /// Time since it was heard of, in milliseconds.
    pub heard_age_ms: u64,
    /// Whether it was heard of within the silence limit.
    pub alive: bool,
}

/// An upstream as last heard of.
#[derive(Clone, Debug)]
pub struct UpstreamView {
    /// Its newest announcement.
    pub announcement: Announcement,
    /// Time since it was heard, in milliseconds.
    pub heard_age_ms: u64,
    /// Tokens other hosts sent to it since its load sample.
    pub peer_sent_tokens: u64,
}

/// A data centre as its delegate last told.
#[derive(Clone, Debug)]
pub struct DataCentreView {
    /// The newest summary.
    pub summary: DataCentreSummary,
    /// Time since the summary was received, in milliseconds.
    pub age_ms: u64,
}
