//! Where an attempt goes.
//!
//! A worker of the own region comes first. Where there is none without trouble,
//! an entry host of another region that may hold the data takes the request,
//! once; it chooses among its own workers only.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use anvillift_fleet::choose::{Candidate, Trouble};
use anvillift_fleet::spill::Region;
use anvillift_fleet::{Sharers, WorkerEntry, choose, spill, start_wait, subset};
use anvillift_schema::fleet::FleetHost;
use anvillift_schema::name::Name;
use rand::Rng;

use crate::clock;
use crate::entry::Entry;
use crate::entry::front::Origin;
use crate::entry::request::Request;
use crate::node::Known;

/// Part of a cold worker's rate that is used.
const COLD_USE: f64 = 0.9;
/// Time after the start by which the hosts of the region are known, in milliseconds.
const SETTLED_AFTER_MS: u64 = 5_000;
/// Silence of a region's cores after which nothing is sent there, in milliseconds.
const REGION_SILENT_MS: u64 = 1_300;
/// Connections to one other host.
const HOST_CONNECTIONS: usize = 256;

/// Where an attempt goes.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Id of the worker, or name of the host.
    pub(crate) name: Name,
    /// Address.
    pub(crate) address: SocketAddr,
    /// Whether it is another host.
    pub(crate) is_host: bool,
    /// Connections that this host may have there.
    pub(crate) connection_limit: usize,
    /// How the choice was made, for the log.
    pub(crate) reason: &'static str,
}

impl Entry {
    /// The next target of a request, other than those tried.
    pub(crate) fn next_target(&self, request: &Request, tried: &BTreeSet<Name>) -> Option<Target> {
        let known = self.node.known.borrow();
        let home = request.route.allows_region(&self.node.settings.region);
        let mut candidates =
            if home { self.candidates(&known, request, tried) } else { Vec::new() };
        let draw = self.load.borrow_mut().rng.random();
        choose::order(&mut candidates, &request.prompt, draw);
        if request.origin == Origin::Caller
            && tried.is_empty()
            && let Some(target) = self.better_elsewhere(&known, request)
        {
            return Some(target);
        }
        let sound = candidates.iter().filter(|other| other.trouble == Trouble::None);
        if let Some(target) = self.first_allowed(&known, request, sound, "local") {
            return Some(target);
        }
        if request.origin == Origin::Caller
            && let Some(target) = self.remote(&known, request, tried, None, "remote")
        {
            return Some(target);
        }
        let troubled = candidates.iter().filter(|other| {
            other.trouble == Trouble::Failing
                || (other.trouble == Trouble::Silent && request.route.kind.may_repeat())
        });
        self.first_allowed(&known, request, troubled, "troubled")
    }

    /// Whether a worker is known that could take a request now.
    pub(super) fn has_room(&self, known: &Known, request: &Request) -> bool {
        let region = &self.node.settings.region;
        if !request.route.allows_region(region) {
            return known.workers.ready(&request.service).next().is_some();
        }
        let candidates = self.candidates(known, request, &BTreeSet::new());
        start_wait::has_room(&candidates, known.hosts.entries_known_in(region).len())
    }

    fn candidates(
        &self,
        known: &Known,
        request: &Request,
        tried: &BTreeSet<Name>,
    ) -> Vec<Candidate> {
        let now_ms = clock::now_ms();
        let load = self.load.borrow();
        let region = &self.node.settings.region;
        let usable = known.workers.ready(&request.service).filter(|entry| {
            let report = &entry.report;
            !tried.contains(&report.id)
                && self.node.settings.region_of(&report.data_centre) == Some(region)
                && !known.control.evacuated.contains(&report.data_centre)
        });
        let usable: Vec<&WorkerEntry> = usable.collect();
        let hosts = known.hosts.entries_known_in(region);
        let ids = usable.iter().map(|entry| &entry.report.id);
        let preferred = subset::preferred(ids, &hosts, &self.node.me().name);
        let candidate = |entry: &&WorkerEntry| Candidate {
            worker: entry.report.id.clone(),
            work: load.work(&entry.report.id),
            slots: entry.report.slots,
            is_cold: entry.cold_until_ms > now_ms,
            trouble: load.trouble(now_ms, &entry.report.id),
            is_preferred: preferred.contains(&entry.report.id),
            pace: load.pace(now_ms, &entry.report.id),
        };
        usable.iter().map(candidate).collect()
    }

    fn first_allowed<'a>(
        &self,
        known: &Known,
        request: &Request,
        candidates: impl Iterator<Item = &'a Candidate>,
        reason: &'static str,
    ) -> Option<Target> {
        let now_ms = clock::now_ms();
        let configuration = known.configuration.as_ref()?;
        let service = configuration.services.get(&request.service)?;
        let settings = &self.node.settings;
        let hosts = known.hosts.entries_known_in(&settings.region);
        let me = self.node.me().name;
        let is_settled = now_ms >= self.started_ms + SETTLED_AFTER_MS;
        let sharers = Sharers { me: &me, hosts: &hosts, is_settled };
        let cold_per_s = service.cold_per_s * settings.cold_factor + settings.cold_extra;
        let holds_share = known.hosts.holds_share(now_ms);
        let mut allowed = candidates.filter(|candidate| {
            !candidate.is_cold
                || service.cold_per_s <= 0.0
                || holds_share
                    && self.load.borrow_mut().cold.take(
                        now_ms,
                        &candidate.worker,
                        cold_per_s * COLD_USE,
                        &sharers,
                    )
        });
        let chosen = allowed.next()?;
        let address = known.workers.get(&chosen.worker)?.report.address.parse().ok()?;
        let share = service.connection_limit as usize / (hosts.len() + 1);
        Some(Target {
            name: chosen.worker.clone(),
            address,
            is_host: false,
            connection_limit: share.max(2),
            reason,
        })
    }

    /// Another region that serves the request better although this one could.
    fn better_elsewhere(&self, known: &Known, request: &Request) -> Option<Target> {
        let own = &self.node.settings.region;
        let own_load = self.region_load(known, request, own);
        if choose::follows(&request.prompt) {
            return self.keeper_elsewhere(known, request, own_load);
        }
        let regions: BTreeSet<&Name> = self.node.settings.regions.values().collect();
        let others = regions.into_iter().filter(|region| *region != own);
        let others = others.filter(|region| request.route.allows_region(region));
        let others: Vec<Region> = others
            .filter_map(|region| {
                let load = self.region_load(known, request, region)?;
                Some(Region { name: region.clone(), load })
            })
            .collect();
        let draw = self.load.borrow_mut().rng.random();
        let has_prompt = request.prompt.input_tokens > 0;
        let pays = if has_prompt { spill::PROMPTS } else { spill::CALLS };
        let region = spill::elsewhere(&pays, own_load?, &others, draw)?;
        self.remote(known, request, &BTreeSet::new(), Some(region), "spill")
    }

    /// Load of a region's workers of the request's service, in batches.
    fn region_load(&self, known: &Known, request: &Request, region: &Name) -> Option<f64> {
        let settings = &self.node.settings;
        let there = |entry: &&WorkerEntry| {
            let data_centre = &entry.report.data_centre;
            settings.region_of(data_centre) == Some(region)
                && !known.control.evacuated.contains(data_centre)
        };
        let workers: Vec<_> = known.workers.ready(&request.service).filter(there).collect();
        let slots = workers.first()?.report.slots;
        known.loads.load(clock::now_ms(), region, &request.service, workers.len(), slots)
    }

    /// An entry host of the region whose worker is most likely to keep the long
    /// shared part of a prompt: reading it again takes longer than the way there.
    fn keeper_elsewhere(
        &self,
        known: &Known,
        request: &Request,
        own_load: Option<f64>,
    ) -> Option<Target> {
        let settings = &self.node.settings;
        let region_of = |entry: &WorkerEntry| settings.region_of(&entry.report.data_centre);
        let workers = known.workers.ready(&request.service).filter(|entry| {
            !known.control.evacuated.contains(&entry.report.data_centre)
                && region_of(entry).is_some_and(|region| request.route.allows_region(region))
        });
        let keeper = choose::keeper(workers.map(|entry| &entry.report.id), &request.prompt)?;
        let region = region_of(known.workers.get(keeper)?)?;
        if *region == settings.region {
            return None;
        }
        let load = self.region_load(known, request, region);
        if let (Some(own_load), Some(load)) = (own_load, load)
            && spill::is_too_busy(own_load, load)
        {
            return None;
        }
        self.remote(known, request, &BTreeSet::new(), Some(region), "keeper")
    }

    /// An entry host of another region with workers of the service.
    fn remote(
        &self,
        known: &Known,
        request: &Request,
        tried: &BTreeSet<Name>,
        only: Option<&Name>,
        reason: &'static str,
    ) -> Option<Target> {
        let now_ms = clock::now_ms();
        let settings = &self.node.settings;
        let in_touch = |region: &Name| {
            let silent_ms = known.hosts.region_silent_ms(now_ms, region);
            silent_ms.is_some_and(|silent_ms| silent_ms <= REGION_SILENT_MS)
        };
        let serves: BTreeSet<&Name> = known
            .workers
            .ready(&request.service)
            .filter(|entry| !known.control.evacuated.contains(&entry.report.data_centre))
            .filter_map(|entry| settings.region_of(&entry.report.data_centre))
            .filter(|region| **region != settings.region && request.route.allows_region(region))
            .filter(|region| only.is_none_or(|only| only == *region) && in_touch(region))
            .collect();
        let mut load = self.load.borrow_mut();
        let hosts: Vec<&FleetHost> = serves
            .into_iter()
            .flat_map(|region| known.hosts.ready_entries_in(now_ms, region))
            .filter(|host| !tried.contains(&host.name))
            .filter(|host| load.trouble(now_ms, &host.name) == Trouble::None)
            .collect();
        if hosts.is_empty() {
            return None;
        }
        let host = hosts[load.rng.random_range(0..hosts.len())];
        Some(Target {
            name: host.name.clone(),
            address: host.forward_address.parse().ok()?,
            is_host: true,
            connection_limit: HOST_CONNECTIONS,
            reason,
        })
    }
}
