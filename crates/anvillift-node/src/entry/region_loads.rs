//! What this host knows of the regions that may serve a request: their loads, their
//! ready workers and the one that probably caches the prompt's prefix.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_fleet::spill::{CachingRegion, RegionLoad};
use anvillift_fleet::{WorkerEntry, choose};
use anvillift_schema::name::Name;

use crate::clock;
use crate::entry::Entry;
use crate::entry::request::Request;
use crate::fleet_view::FleetView;

impl Entry {
    /// Loads of the other regions that may serve a request, as far as they are known.
    pub(super) fn other_region_loads(
        &self,
        view: &FleetView,
        request: &Request,
    ) -> Vec<RegionLoad> {
        let own = &self.node.settings.region;
        let regions: BTreeSet<&Name> = self.node.settings.regions.values().collect();
        let others = regions.into_iter().filter(|region| *region != own);
        let others = others.filter(|region| request.allows_region(region));
        let load_of = |region: &Name| {
            let load = self.region_load(view, request, region)?;
            Some(RegionLoad { name: region.clone(), load })
        };
        others.filter_map(load_of).collect()
    }

    /// Load of a region's workers for the service of the request, in batches of as
    /// many requests per worker as it has slots. `None` without a ready worker or a
    /// recent report of the region.
    pub(super) fn region_load(
        &self,
        view: &FleetView,
        request: &Request,
        region: &Name,
    ) -> Option<f64> {
        let workers = self.ready_workers(view, request, region);
        let slots = workers.first()?.report.slots;
        view.loads.load(clock::now_ms(), region, &request.service, workers.len(), slots)
    }

    /// The ready workers of a region for the service of a request, without those of
    /// data centres under evacuation.
    pub(super) fn ready_workers<'a>(
        &self,
        view: &'a FleetView,
        request: &'a Request,
        region: &Name,
    ) -> Vec<&'a WorkerEntry> {
        let in_region = |entry: &&WorkerEntry| {
            let data_centre = &entry.report.data_centre;
            self.node.settings.region_of(data_centre) == Some(region)
                && !view.control.evacuated.contains(data_centre)
        };
        view.workers.ready(&request.service).filter(in_region).collect()
    }

    /// The workers that take long prompts, by region. Regions that are not divided are left out.
    fn pools_by_region<'a>(
        &self,
        workers: &[&'a WorkerEntry],
        request: &Request,
    ) -> BTreeMap<&Name, BTreeSet<&'a Name>> {
        let dispatch = self.dispatch.borrow();
        let Some(pools) = dispatch.prompt_pools.get(&request.service) else {
            return BTreeMap::new();
        };
        let mut ids: BTreeMap<&Name, Vec<&Name>> = BTreeMap::new();
        for worker in workers {
            if let Some(region) = self.node.settings.region_of(&worker.report.data_centre) {
                ids.entry(region).or_default().push(&worker.report.id);
            }
        }
        let pools = ids
            .into_iter()
            .filter_map(|(region, ids)| Some((region, pools.long_pool(ids.into_iter())?)));
        pools.collect()
    }

    /// The region whose worker most likely caches the long shared prefix of a prompt,
    /// or `None` if that is this host's region or can't be reached.
    pub(super) fn caching_region(
        &self,
        view: &FleetView,
        request: &Request,
        affinity_key: u64,
    ) -> Option<CachingRegion> {
        let settings = &self.node.settings;
        let region_of = |entry: &WorkerEntry| settings.region_of(&entry.report.data_centre);
        let workers = view.workers.ready(&request.service).filter(|entry| {
            !view.control.evacuated.contains(&entry.report.data_centre)
                && region_of(entry).is_some_and(|region| request.allows_region(region))
        });
        let workers: Vec<&WorkerEntry> = workers.collect();
        let pools = self.pools_by_region(&workers, request);
        let in_pool = |entry: &&WorkerEntry| {
            let pool = region_of(entry).and_then(|region| pools.get(region));
            pool.is_none_or(|pool| pool.contains(&entry.report.id))
        };
        let ids = workers.iter().copied().filter(in_pool).map(|entry| &entry.report.id);
        let weight = |worker: &Name| view.weight_percent(worker);
        let worker = choose::affinity_worker(ids, affinity_key, weight)?;
        let region = region_of(view.workers.get(worker)?)?;
        if *region == settings.region || !view.hosts.is_region_reachable(clock::now_ms(), region) {
            return None;
        }
        let load = self.region_load(view, request, region);
        Some(CachingRegion { name: region.clone(), load })
    }
}
