//! Chooses the target of an attempt.
//!
//! The order of the ways to a worker is that of [`target_order`]. Hosts to which a request is
//! forwarded are chosen in [`host_target`](super::host_target). A request is forwarded only once:
//! the receiving host chooses among the workers of its own region.

use std::net::SocketAddr;

use anvillift_fleet::choose::{Candidate, Degradation};
use anvillift_fleet::spill::SpillReason;
use anvillift_fleet::target_order::{Way, WayFacts};
use anvillift_fleet::{
    VersionConstraint, WorkerEntry, WorkerStart, choose, spill, start_wait, subset, target_order,
};
use anvillift_schema::name::Name;
use rand::Rng;

use crate::clock;
use crate::entry::attempts::Attempts;
use crate::entry::front::Origin;
use crate::entry::request::Request;
use crate::entry::target_reason::TargetReason;
use crate::entry::{Entry, eligible, quarantined};
use crate::fleet_view::FleetView;

/// Fraction of a cold worker's configured rate that the entry hosts use together.
const COLD_RATE_FRACTION: f64 = 0.9;

/// Target of an attempt: a worker, or another entry host.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Id of the worker or name of the host.
    pub(crate) name: Name,
    pub(crate) address: SocketAddr,
    /// Whether the target is an entry host rather than a worker.
    pub(crate) is_host: bool,
    /// Start time of the worker, by which its notices are kept; 0 for a host.
    pub(crate) born_ms: u64,
    /// Version of the worker's software, if its reports name it; for a host the version
    /// of which it must choose a worker, if there is one.
    pub(crate) version: Option<Name>,
    /// Most connections that this host may have to the target.
    pub(crate) connection_limit: usize,
    /// Rule that chose the target, as logged.
    pub(crate) reason: TargetReason,
}

impl Entry {
    /// The next target of a request other than those tried, or `None` if no worker or
    /// host can take it.
    pub(crate) fn next_target(&self, request: &Request, attempts: &Attempts) -> Option<Target> {
        let view = self.node.view.borrow();
        if quarantined::remaining_ms(&view, request).is_some() {
            return None;
        }
        let is_allowed_here = request.allows_region(&self.node.settings.region);
        let mut candidates =
            if is_allowed_here { self.candidates(&view, request, attempts) } else { Vec::new() };
        let draw = self.dispatch.borrow_mut().rng.random();
        choose::order(&mut candidates, request.affinity_key, draw);
        let facts = WayFacts {
            is_from_caller: request.origin == Origin::Caller,
            contact: self.contact.borrow().contact(),
            unreachable_workers: attempts.unreachable_workers,
        };
        let mut ways = target_order::ways(&facts).iter();
        ways.find_map(|way| self.target_by(*way, &view, request, attempts, &candidates))
    }

    /// The target by one way, if there is one.
    fn target_by(
        &self,
        way: Way,
        view: &FleetView,
        request: &Request,
        attempts: &Attempts,
        candidates: &[Candidate],
    ) -> Option<Target> {
        match way {
            Way::PreferredRegion => {
                let is_first = attempts.tried.is_empty()
                    && attempts.version_constraint == VersionConstraint::Any;
                is_first.then(|| self.better_remote_target(view, request))?
            }
            Way::LocalWorker => {
                let healthy =
                    candidates.iter().filter(|other| other.degradation == Degradation::None);
                self.first_allowed(view, request, healthy, TargetReason::Local)
            }
            Way::Sibling => self.sibling_target(view, request, attempts),
            Way::OtherRegion => {
                self.remote_target(view, request, attempts, None, TargetReason::Remote)
            }
            Way::DegradedWorker => {
                let degraded = candidates.iter().filter(|other| {
                    other.degradation == Degradation::Failing
                        || (other.degradation == Degradation::Silent
                            && request.route.kind.may_repeat())
                });
                self.first_allowed(view, request, degraded, TargetReason::Degraded)
            }
        }
    }

    /// Whether a worker in `view` could take a request now.
    pub(super) fn has_free_worker(&self, view: &FleetView, request: &Request) -> bool {
        let region = &self.node.settings.region;
        if !request.allows_region(region) {
            return view.workers.ready(&request.service).next().is_some();
        }
        let candidates = self.candidates(view, request, &Attempts::default());
        start_wait::has_free_slot(&candidates, view.hosts.entry_names_in(region).len())
    }

    fn candidates(
        &self,
        view: &FleetView,
        request: &Request,
        attempts: &Attempts,
    ) -> Vec<Candidate> {
        let now_ms = clock::now_ms();
        let dispatch = self.dispatch.borrow();
        let region = &self.node.settings.region;
        let shared = self.shared_facts(view, &dispatch, &request.service);
        let (tried, versions) = (&attempts.tried, (request, &attempts.version_constraint));
        let usable = view.workers.ready(&request.service).filter(|entry| {
            self.node.settings.region_of(&entry.report.data_centre) == Some(region)
                && eligible::check(view, &dispatch, &shared, entry, tried, versions).is_ok()
        });
        let usable: Vec<&WorkerEntry> = usable.collect();
        // The subset is chosen among the workers in full service: if most of it were cold or
        // degraded, the host would send nearly all requests to the few others.
        let in_full_service = usable.iter().filter(|entry| {
            entry.cold_until_ms <= now_ms
                && dispatch.degradation(now_ms, &entry.report.id) == Degradation::None
        });
        let ids = in_full_service.map(|entry| &entry.report.id);
        let own_name = self.node.own_host().name;
        let preferred = subset::preferred(ids, shared.names(), &own_name);
        let candidate = |entry: &&WorkerEntry| Candidate {
            worker: entry.report.id.clone(),
            in_flight: dispatch.in_flight(&entry.report.id),
            slots: entry.report.slots,
            is_cold: entry.cold_until_ms > now_ms,
            degradation: dispatch.degradation(now_ms, &entry.report.id),
            is_preferred: preferred.contains(&entry.report.id),
            relative_latency: dispatch.worker_speeds.slowness(now_ms, &worker_start(entry)),
            weight_percent: view.weight_percent(&entry.report.id),
        };
        usable.iter().map(candidate).collect()
    }

    fn first_allowed<'a>(
        &self,
        view: &FleetView,
        request: &Request,
        candidates: impl Iterator<Item = &'a Candidate>,
        reason: TargetReason,
    ) -> Option<Target> {
        let now_ms = clock::now_ms();
        let configuration = view.configuration.as_ref()?;
        let service = configuration.services.get(&request.service)?;
        let settings = &self.node.settings;
        let shared = self.shared_facts(view, &self.dispatch.borrow(), &request.service);
        let cold_per_s = service.cold_per_s * settings.cold_factor + settings.cold_extra;
        let mut allowed = candidates.filter(|candidate| {
            !candidate.is_cold
                || service.cold_per_s <= 0.0
                || shared.may_use_share
                    && self.dispatch.borrow_mut().cold.take(
                        now_ms,
                        &candidate.worker,
                        cold_per_s * COLD_RATE_FRACTION,
                        &shared.sharers(),
                    )
        });
        let chosen = allowed.next()?;
        let report = &view.workers.get(&chosen.worker)?.report;
        let address = report.address.parse().ok()?;
        let connection_share = service.connection_limit as usize / (shared.names().len() + 1);
        Some(Target {
            name: chosen.worker.clone(),
            address,
            is_host: false,
            born_ms: report.born_ms,
            version: report.version.clone(),
            connection_limit: connection_share.max(2),
            reason,
        })
    }

    /// An entry host of another region that is preferred to the workers of this
    /// region, because of a cached prefix or a lower load there.
    fn better_remote_target(&self, view: &FleetView, request: &Request) -> Option<Target> {
        let own_load = self.region_load(view, request, &self.node.settings.region);
        let others = self.other_region_loads(view, request);
        let draw = self.dispatch.borrow_mut().rng.random();
        let (region, reason) = if let Some(affinity_key) = request.affinity_key {
            let caching_region = self.caching_region(view, request, affinity_key);
            let prefix_load = choose::token_load(request.prompt.shared_tokens());
            let (region, reason) = spill::region_for_prefix(
                prefix_load,
                caching_region.as_ref(),
                own_load,
                &others,
                draw,
            )?;
            (region.clone(), reason)
        } else {
            let has_prompt = request.prompt.input_tokens > 0;
            let thresholds =
                if has_prompt { spill::PROMPT_THRESHOLDS } else { spill::CALL_THRESHOLDS };
            let region = spill::region_to_spill_to(&thresholds, own_load?, &others, draw)?;
            (region.clone(), SpillReason::Load)
        };
        self.remote_target(view, request, &Attempts::default(), Some(&region), reason.into())
    }
}

fn worker_start(entry: &WorkerEntry) -> WorkerStart {
    WorkerStart { id: entry.report.id.clone(), born_ms: entry.report.born_ms }
}
