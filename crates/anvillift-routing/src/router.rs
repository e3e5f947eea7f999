//! Placement with the state that one host keeps for it.
//!
//! The gateway refreshes the view of each service from membership; in between,
//! [`Router`] adds what this host sends and takes off what ends, keeps the
//! prefix index, and remembers whether requests are being sent away.

use std::collections::BTreeMap;

use anvillift_schema::configuration::Profile;
use anvillift_schema::name::Name;
use anvillift_schema::upstream::CacheEvent;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::decide::{self, Decision};
use crate::load_view::LoadView;
use crate::policy::{self, Policy};
use crate::prefix::{PrefixIndex, PrefixIndexSettings};
use crate::request::RequestFacts;
use crate::sent::SentTokens;

/// A service counts as spilling for this time after a request was sent away, in milliseconds.
const SPILLING_MS: u64 = 2_000;

/// Settings of a [`Router`].
#[derive(Clone, Debug, Default)]
pub struct RouterSettings {
    /// How requests are placed.
    pub policy: Policy,
    /// Bounds of the prefix index.
    pub prefix: PrefixIndexSettings,
    /// Start of the random choices.
    pub seed: u64,
}

/// What this host has under way at one place.
#[derive(Clone, Debug, Default)]
struct Place {
    in_flight: u32,
    sent: SentTokens,
    first_seen_ms: u64,
    last_seen_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct ServiceState {
    view: LoadView,
    places: BTreeMap<Name, Place>,
    turn: u64,
    spilled_ms: Option<u64>,
}

/// Places requests of every service of one host.
#[derive(Debug)]
pub struct Router {
    policy: Policy,
    services: BTreeMap<Name, ServiceState>,
    prefix: PrefixIndex,
    draws: SmallRng,
    started_ms: Option<u64>,
}

impl Router {
    /// A router that knows no place yet.
    pub fn new(settings: RouterSettings) -> Self {
        Self {
            policy: settings.policy,
            services: BTreeMap::new(),
            prefix: PrefixIndex::new(settings.prefix),
            draws: SmallRng::seed_from_u64(settings.seed),
            started_ms: None,
        }
    }

    /// Places requests by another policy from now on.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Takes a newer view of a service; what this host has under way is added to it.
    ///
    /// Upstreams known since before the host started count as warm: `known_ms`
    /// of each room is the least time that membership knows of.
    pub fn refresh(&mut self, now_ms: u64, service: &Name, mut view: LoadView) {
        let started_ms = *self.started_ms.get_or_insert(now_ms);
        let state = self.services.entry(service.clone()).or_default();
        view.upstreams.sort_by(|one, other| one.upstream.cmp(&other.upstream));
        for room in &mut view.upstreams {
            let place = state.places.entry(room.upstream.clone()).or_insert_with(|| Place {
                first_seen_ms: if now_ms == started_ms { 0 } else { now_ms },
                ..Place::default()
            });
            place.last_seen_ms = now_ms;
            place.sent.reported(now_ms.saturating_sub(room.load_age_ms));
            room.sent_tokens += place.sent.total();
            room.own_in_flight = place.in_flight;
            room.known_ms = room.known_ms.max(now_ms.saturating_sub(place.first_seen_ms));
        }
        for room in &mut view.data_centres {
            let place = state.places.entry(room.data_centre.clone()).or_default();
            place.last_seen_ms = now_ms;
            place.sent.reported(now_ms.saturating_sub(room.age_ms));
            room.sent_tokens += place.sent.total();
        }
        let spilled_ms = state.spilled_ms;
        view.spilling =
            spilled_ms.is_some_and(|spilled| now_ms.saturating_sub(spilled) <= SPILLING_MS);
        state.places.retain(|_, place| place.last_seen_ms == now_ms || place.in_flight > 0);
        state.view = view;
    }

    /// Takes the cache events of an upstream.
    pub fn cache_events(
        &mut self,
        now_ms: u64,
        upstream: &Name,
        incarnation: u64,
        events: &[CacheEvent],
    ) {
        self.prefix.correct(now_ms, upstream, incarnation, events);
    }

    /// Places a request, and counts it as under way unless it is refused.
    pub fn route(
        &mut self,
        now_ms: u64,
        request: &mut RequestFacts,
        profile: &Profile,
    ) -> Decision {
        request.cached = self.prefix.lookup(&request.prefix_blocks);
        let state = self.services.entry(request.service.clone()).or_default();
        state.turn += 1;
        let decision = match self.policy {
            Policy::Anvillift => decide::decide(request, &state.view, profile, &mut self.draws),
            other => policy::place(other, request, &state.view, state.turn, &mut self.draws),
        };
        match &decision {
            Decision::Local { upstream } => self.started(now_ms, request, upstream),
            Decision::Forward { data_centre, .. } => {
                state.spilled_ms = Some(now_ms);
                self.started(now_ms, request, data_centre);
            }
            Decision::Refuse { .. } => {}
        }
        decision
    }

    /// Records that a request at a place ended, however it ended.
    pub fn finished(&mut self, service: &Name, place: &Name) {
        let Some(state) = self.services.get_mut(service) else { return };
        if let Some(known) = state.places.get_mut(place) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
        if let Some(position) = state.view.position(place) {
            let room = &mut state.view.upstreams[position];
            room.own_in_flight = room.own_in_flight.saturating_sub(1);
        }
    }

    /// Tokens sent to each upstream of a service that no report covers yet.
    pub fn sent_tokens(&self, service: &Name, upstream: &Name) -> u64 {
        let state = self.services.get(service);
        let place = state.and_then(|state| state.places.get(upstream));
        place.map_or(0, |place| place.sent.total())
    }

    fn started(&mut self, now_ms: u64, request: &RequestFacts, place: &Name) {
        let cached = request.cached.iter().find(|cached| cached.holder == *place);
        let cached_tokens = cached.map_or(0, |cached| cached.tokens);
        let tokens = request.prompt_tokens.saturating_sub(cached_tokens);
        self.prefix.sent(now_ms, place, &request.prefix_blocks);
        let Some(state) = self.services.get_mut(&request.service) else { return };
        let known = state.places.entry(place.clone()).or_default();
        known.in_flight += 1;
        known.sent.add(now_ms, tokens);
        if let Some(position) = state.view.position(place) {
            let room = &mut state.view.upstreams[position];
            room.own_in_flight += 1;
            room.sent_tokens += tokens;
        }
        if let Some(room) =
            state.view.data_centres.iter_mut().find(|room| room.data_centre == *place)
        {
            room.sent_tokens += tokens;
        }
    }
}
