//! The work under way in each region.
//!
//! Every entry host tells what it has sent; a core adds this up by region and
//! tells the sums to the entry hosts. What is older than a moment says nothing.

use std::collections::BTreeMap;

use anvillift_schema::fleet::{FleetLoad, FleetLoads, FleetServiceLoad};
use anvillift_schema::name::Name;

use crate::choose;
use crate::in_flight::InFlight;
use crate::service_loads::ServiceLoads;

/// Age from which a load says nothing, in milliseconds.
const STALE_AFTER_MS: u64 = 1_500;

#[derive(Clone, Debug)]
struct Told {
    load: FleetLoad,
    told_ms: u64,
}

/// Loads by who told them: hosts at a core, regions at an entry host.
#[derive(Clone, Debug, Default)]
pub struct RegionLoads {
    told: BTreeMap<Name, Told>,
}

impl RegionLoads {
    /// Takes what a host says of its own work.
    pub fn tell_host(&mut self, now_ms: u64, host: &Name, load: FleetLoad) {
        self.told.insert(host.clone(), Told { load, told_ms: now_ms });
    }

    /// Takes what a core says of the regions.
    pub fn tell_regions(&mut self, now_ms: u64, loads: FleetLoads) {
        for load in loads.regions {
            self.told.insert(load.region.clone(), Told { load, told_ms: now_ms });
        }
    }

    /// The sums of what hosts have told.
    pub fn by_region(&self, now_ms: u64) -> FleetLoads {
        let mut regions: BTreeMap<&Name, ServiceLoads> = BTreeMap::new();
        for load in self.fresh(now_ms) {
            let services = regions.entry(&load.region).or_default();
            for service in &load.services {
                services.add(&service.service, work(service));
            }
        }
        let regions = regions.into_iter().map(|(region, services)| FleetLoad {
            region: region.clone(),
            services: services.told(),
        });
        FleetLoads { regions: regions.collect() }
    }

    /// The load of a region's workers, in batches of `slots` requests each;
    /// nothing if it isn't known.
    pub fn load(
        &self,
        now_ms: u64,
        region: &str,
        service: &str,
        workers: usize,
        slots: u64,
    ) -> Option<f64> {
        let load = self.fresh(now_ms).find(|load| load.region.as_str() == region)?;
        let told = load.services.iter().find(|other| other.service.as_str() == service);
        let work = told.map(work).unwrap_or_default();
        Some(choose::load(&work, slots) / workers.max(1) as f64)
    }

    fn fresh(&self, now_ms: u64) -> impl Iterator<Item = &FleetLoad> {
        let fresh = move |told: &&Told| told.told_ms + STALE_AFTER_MS >= now_ms;
        self.told.values().filter(fresh).map(|told| &told.load)
    }
}

fn work(told: &FleetServiceLoad) -> InFlight {
    InFlight { requests: told.requests, unread_tokens: told.unread_tokens }
}
