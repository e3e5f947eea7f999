//! The load of upstreams and data centres that routing decisions are based on.

use anvillift_schema::name::Name;
use anvillift_schema::upstream::UpstreamLoad;

use crate::estimate::BaseEstimate;

/// Load of one service in the local data centre and the others, at one moment.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    /// Region of this host.
    pub region: Name,
    /// Data centre of this host.
    pub data_centre: Name,
    /// Upstreams of the local data centre that may take requests of the service,
    /// sorted by name once [`LoadView::prepare`] has run.
    pub upstreams: Vec<UpstreamCapacity>,
    /// Other data centres that the placement rules allow and that have capacity for the service.
    pub data_centres: Vec<DataCentreCapacity>,
    /// Whether requests of the service were forwarded to other data centres recently.
    pub spilling: bool,
    /// Distinct sets of models that the upstreams have loaded, filled by [`LoadView::prepare`].
    pub model_sets: Vec<Vec<Name>>,
}

impl LoadView {
    /// Sorts the upstreams and computes what all decisions on this view share.
    pub fn prepare(&mut self) {
        self.upstreams.sort_by(|one, other| one.upstream.cmp(&other.upstream));
        self.model_sets.clear();
        for capacity in &mut self.upstreams {
            let existing = self.model_sets.iter().position(|set| *set == capacity.models);
            capacity.model_set = Some(existing.unwrap_or(self.model_sets.len()));
            if existing.is_none() {
                self.model_sets.push(capacity.models.clone());
            }
            capacity.base_estimate = Some(BaseEstimate::of(capacity));
        }
    }

    /// Index of an upstream in the sorted list; `None` if it is not listed.
    pub fn position(&self, upstream: &str) -> Option<usize> {
        self.upstreams.binary_search_by(|capacity| capacity.upstream.as_str().cmp(upstream)).ok()
    }
}

/// Load and capacity of one upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamCapacity {
    /// Id of the upstream.
    pub upstream: Name,
    /// Models it has loaded. If empty, it serves any model.
    pub models: Vec<Name>,
    /// Load that it reported last.
    pub load: UpstreamLoad,
    /// Age of that report, in milliseconds.
    pub load_age_ms: u64,
    /// Prompt tokens that this host and its peers have sent there since the report.
    pub sent_tokens: u64,
    /// Requests that this host has in flight there.
    pub own_in_flight: u32,
    /// Time since the upstream was first seen, in milliseconds.
    pub seen_for_ms: u64,
    /// Index of its models in [`LoadView::model_sets`]; `None` before [`LoadView::prepare`].
    pub model_set: Option<usize>,
    /// Request-independent part of its estimates; `None` before [`LoadView::prepare`].
    pub base_estimate: Option<BaseEstimate>,
}

/// Load and capacity of another data centre.
#[derive(Clone, Debug, Default)]
pub struct DataCentreCapacity {
    /// Name of the data centre.
    pub data_centre: Name,
    /// Region it belongs to.
    pub region: Name,
    /// Hosts there that are alive and ready.
    pub hosts: Vec<Name>,
    /// Age of its load report, in milliseconds.
    pub age_ms: u64,
    /// Round-trip time to it, in milliseconds.
    pub round_trip_ms: u64,
    /// Rate of the link to it, in bytes per second; 0 if unknown.
    pub link_bytes_per_s: u64,
    /// Number of upstreams alive there.
    pub upstreams: u32,
    /// Requests that its upstreams run.
    pub running_requests: u32,
    /// Batch slots that are free at its upstreams.
    pub free_slots: u32,
    /// Prompt tokens queued at its upstreams.
    pub queued_tokens: u64,
    /// Tokens that its upstreams generate per second, in thousandths.
    pub token_rate_milli: u64,
    /// Prompt tokens that its upstreams can prefill per second.
    pub prefill_rate_tokens_per_s: u64,
    /// Prompt tokens that this host has sent there since the report.
    pub sent_tokens: u64,
}
