//! Placement of requests together with the state that one host keeps for it.
//!
//! The gateway refreshes the view of each service from the membership data. Between
//! refreshes [`Router`] adds the requests that this host sends, removes those that
//! end, maintains the prefix index and notes whether requests are being forwarded
//! to other data centres.

use std::collections::BTreeMap;

use anvillift_schema::configuration::Profile;
use anvillift_schema::name::Name;
use anvillift_schema::upstream::CacheEvent;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::decide::{self, Decision};
use crate::estimate::BaseEstimate;
use crate::load_view::LoadView;
use crate::policy::{self, Policy};
use crate::prefix::{PrefixIndex, PrefixIndexSettings};
use crate::request::RequestFacts;
use crate::sent_tokens::SentTokens;

/// A service counts as spilling for this time after a request was forwarded, in milliseconds.
const SPILLING_MS: u64 = 2_000;

/// Policy, bounds and seed of a [`Router`].
#[derive(Clone, Debug, Default)]
pub struct RouterSettings {
    /// Placement policy.
    pub policy: Policy,
    /// Bounds of the prefix index.
    pub prefix: PrefixIndexSettings,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Load that this host has put on one upstream or data centre.
#[derive(Clone, Debug, Default)]
struct PlaceState {
    in_flight: u32,
    sent_tokens: SentTokens,
    first_seen_ms: u64,
    last_seen_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct ServiceState {
    view: LoadView,
    places: BTreeMap<Name, PlaceState>,
    request_count: u64,
    last_spill_ms: Option<u64>,
}

/// Places the requests of all services of one host.
#[derive(Debug)]
pub struct Router {
    policy: Policy,
    services: BTreeMap<Name, ServiceState>,
    prefix: PrefixIndex,
    rng: SmallRng,
    started_ms: Option<u64>,
}

impl Router {
    /// Creates a router without views. It refuses the requests of a service until
    /// [`Router::refresh`] has set the view of that service.
    pub fn new(settings: RouterSettings) -> Self {
        Self {
            policy: settings.policy,
            services: BTreeMap::new(),
            prefix: PrefixIndex::new(settings.prefix),
            rng: SmallRng::seed_from_u64(settings.seed),
            started_ms: None,
        }
    }

    /// Changes the policy for all further requests.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Replaces the view of a service and adds the load that this host has in
    /// flight to it.
    ///
    /// An upstream that is present at the first refresh after the start of this
    /// host does not ramp up. For others the `seen_for_ms` that membership reports is
    /// raised to the time since this router first saw them.
    pub fn refresh(&mut self, now_ms: u64, service: &Name, mut view: LoadView) {
        let started_ms = *self.started_ms.get_or_insert(now_ms);
        let state = self.services.entry(service.clone()).or_default();
        for capacity in &mut view.upstreams {
            let place =
                state.places.entry(capacity.upstream.clone()).or_insert_with(|| PlaceState {
                    first_seen_ms: if now_ms == started_ms { 0 } else { now_ms },
                    ..PlaceState::default()
                });
            place.last_seen_ms = now_ms;
            place.sent_tokens.remove_reported(now_ms.saturating_sub(capacity.load_age_ms));
            capacity.sent_tokens += place.sent_tokens.total();
            capacity.own_in_flight = place.in_flight;
            capacity.seen_for_ms =
                capacity.seen_for_ms.max(now_ms.saturating_sub(place.first_seen_ms));
        }
        for capacity in &mut view.data_centres {
            let place = state.places.entry(capacity.data_centre.clone()).or_default();
            place.last_seen_ms = now_ms;
            place.sent_tokens.remove_reported(now_ms.saturating_sub(capacity.age_ms));
            capacity.sent_tokens += place.sent_tokens.total();
        }
        let last_spill_ms = state.last_spill_ms;
        view.spilling =
            last_spill_ms.is_some_and(|spill_ms| now_ms.saturating_sub(spill_ms) <= SPILLING_MS);
        state.places.retain(|_, place| place.last_seen_ms == now_ms || place.in_flight > 0);
        view.prepare();
        state.view = view;
    }

    /// Applies the cache events of an upstream to the prefix index.
    pub fn apply_cache_events(
        &mut self,
        now_ms: u64,
        upstream: &Name,
        incarnation: u64,
        events: &[CacheEvent],
    ) {
        self.prefix.apply_cache_events(now_ms, upstream, incarnation, events);
    }

    /// Places a request. Unless it is refused, it counts as in flight until
    /// [`Router::record_finished`].
    pub fn route(
        &mut self,
        now_ms: u64,
        request: &mut RequestFacts,
        profile: &Profile,
    ) -> Decision {
        request.cached = self.prefix.lookup(&request.prefix_blocks);
        let state = self.services.entry(request.service.clone()).or_default();
        state.request_count += 1;
        let decision = match self.policy {
            Policy::Anvillift => decide::decide(request, &state.view, profile, &mut self.rng),
            other => policy::place(other, request, &state.view, state.request_count, &mut self.rng),
        };
        match &decision {
            Decision::Local { upstream } => self.record_started(now_ms, request, upstream),
            Decision::Forward { data_centre, .. } => {
                state.last_spill_ms = Some(now_ms);
                self.record_started(now_ms, request, data_centre);
            }
            Decision::Refuse { .. } => {}
        }
        decision
    }

    /// Removes a request from the in-flight count of its upstream or data centre,
    /// regardless of its outcome.
    pub fn record_finished(&mut self, service: &Name, place: &Name) {
        let Some(state) = self.services.get_mut(service) else { return };
        if let Some(place_state) = state.places.get_mut(place) {
            place_state.in_flight = place_state.in_flight.saturating_sub(1);
        }
        if let Some(position) = state.view.position(place) {
            let capacity = &mut state.view.upstreams[position];
            capacity.own_in_flight = capacity.own_in_flight.saturating_sub(1);
            capacity.base_estimate = Some(BaseEstimate::of(capacity));
        }
    }

    /// Prompt tokens that this host has sent to an upstream for a service and that
    /// no load report covers yet.
    pub fn sent_tokens(&self, service: &Name, upstream: &Name) -> u64 {
        let state = self.services.get(service);
        let place = state.and_then(|state| state.places.get(upstream));
        place.map_or(0, |place| place.sent_tokens.total())
    }

    fn record_started(&mut self, now_ms: u64, request: &RequestFacts, place: &Name) {
        let cached = request.cached.iter().find(|cached| cached.holder == *place);
        let cached_tokens = cached.map_or(0, |cached| cached.tokens);
        let tokens = request.prompt_tokens.saturating_sub(cached_tokens);
        self.prefix.record_sent(now_ms, place, &request.prefix_blocks);
        let Some(state) = self.services.get_mut(&request.service) else { return };
        let place_state = state.places.entry(place.clone()).or_default();
        place_state.in_flight += 1;
        place_state.sent_tokens.add(now_ms, tokens);
        if let Some(position) = state.view.position(place) {
            let capacity = &mut state.view.upstreams[position];
            capacity.own_in_flight += 1;
            capacity.sent_tokens += tokens;
            capacity.base_estimate = Some(BaseEstimate::of(capacity));
        }
        if let Some(capacity) =
            state.view.data_centres.iter_mut().find(|capacity| capacity.data_centre == *place)
        {
            capacity.sent_tokens += tokens;
        }
    }
}
