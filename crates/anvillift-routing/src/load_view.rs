//! The load that decisions rest on.

use anvillift_schema::name::Name;
use anvillift_schema::upstream::UpstreamLoad;

use crate::estimate::Basis;

/// Load of the own data centre and of the others, at one moment.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    /// Own region.
    pub region: Name,
    /// Own data centre.
    pub data_centre: Name,
    /// Upstreams of the own data centre that may get work for the service, in
    /// order of their names.
    pub upstreams: Vec<UpstreamRoom>,
    /// Other data centres allowed by placement, with room for the service.
    pub data_centres: Vec<DataCentreRoom>,
    /// Whether requests were sent away lately.
    pub spilling: bool,
    /// Different sets of models that the upstreams have loaded, once prepared.
    pub model_sets: Vec<Vec<Name>>,
}

impl LoadView {
    /// Orders the upstreams and works out what all decisions share.
    pub fn prepare(&mut self) {
        self.upstreams.sort_by(|one, other| one.upstream.cmp(&other.upstream));
        self.model_sets.clear();
        for room in &mut self.upstreams {
            let known = self.model_sets.iter().position(|set| *set == room.models);
            room.model_set = Some(known.unwrap_or(self.model_sets.len()));
            if known.is_none() {
                self.model_sets.push(room.models.clone());
            }
            room.basis = Some(Basis::of(room));
        }
    }

    /// Position of an upstream, the upstreams being in order of their names.
    pub fn position(&self, upstream: &str) -> Option<usize> {
        self.upstreams.binary_search_by(|room| room.upstream.as_str().cmp(upstream)).ok()
    }
}

/// Room at one upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRoom {
    /// Upstream.
    pub upstream: Name,
    /// Models it has loaded.
    pub models: Vec<Name>,
    /// Last reported load.
    pub load: UpstreamLoad,
    /// Age of the report, in milliseconds.
    pub load_age_ms: u64,
    /// Tokens this host and its peers sent since the report.
    pub sent_tokens: u64,
    /// Requests this host has in flight there.
    pub own_in_flight: u32,
    /// Time since the upstream was first seen, in milliseconds.
    pub known_ms: u64,
    /// Position of its models among [`LoadView::model_sets`], once prepared.
    pub model_set: Option<usize>,
    /// What all requests would meet there, once prepared.
    pub basis: Option<Basis>,
}

/// Room at another data centre.
#[derive(Clone, Debug, Default)]
pub struct DataCentreRoom {
    /// Data centre.
    pub data_centre: Name,
    /// Its region.
    pub region: Name,
    /// Hosts there that are alive and ready.
    pub hosts: Vec<Name>,
    /// Age of the news, in milliseconds.
    pub age_ms: u64,
    /// Round trip to it, in milliseconds.
    pub round_trip_ms: u64,
    /// Rate of the link to it, in bytes a second; 0 is unknown.
    pub link_bytes_per_s: u64,
    /// Upstreams alive.
    pub upstreams: u32,
    /// Requests running.
    pub running_requests: u32,
    /// Batch slots free.
    pub free_slots: u32,
    /// Prompt tokens waiting.
    pub queued_tokens: u64,
    /// Tokens generated a second, in thousandths.
    pub token_rate_milli: u64,
    /// Prompt tokens computed a second.
    pub prefill_rate_tokens_per_s: u64,
    /// Tokens this host sent there since the news.
    pub sent_tokens: u64,
}
