//! The requests in flight in each region.
//!
//! Every entry host reports the requests that it has in flight. A core adds them up
//! by region and sends the sums to the entry hosts. Reports older than
//! [`STALE_AFTER_MS`] are ignored.

use std::collections::BTreeMap;

use anvillift_schema::fleet::{FleetLoad, FleetLoads, FleetServiceLoad};
use anvillift_schema::name::Name;

use crate::call_load::ReportedCalls;
use crate::choose;
use crate::in_flight::InFlight;
use crate::service_loads::ServiceLoads;

/// Age above which a report is ignored, in milliseconds.
const STALE_AFTER_MS: u64 = 1_500;

#[derive(Clone, Debug)]
struct LoadReport {
    load: FleetLoad,
    received_ms: u64,
}

/// Load reports by source: at a core the sources are hosts, at an entry host they are regions.
#[derive(Clone, Debug, Default)]
pub struct RegionLoads {
    reports: BTreeMap<Name, LoadReport>,
}

impl RegionLoads {
    /// Records the load that a host reports of its own requests.
    pub fn record_host(&mut self, now_ms: u64, host: &Name, load: FleetLoad) {
        self.reports.insert(host.clone(), LoadReport { load, received_ms: now_ms });
    }

    /// Records the loads of the regions that a core reports.
    pub fn record_regions(&mut self, now_ms: u64, loads: FleetLoads) {
        for load in loads.regions {
            self.reports.insert(load.region.clone(), LoadReport { load, received_ms: now_ms });
        }
    }

    /// Sums of the recent reports of hosts, by region.
    pub fn by_region(&self, now_ms: u64) -> FleetLoads {
        let mut regions: BTreeMap<&Name, ServiceLoads> = BTreeMap::new();
        for load in self.recent(now_ms) {
            let services = regions.entry(&load.region).or_default();
            for service in &load.services {
                services.add(&service.service, in_flight(service));
            }
        }
        let regions = regions.into_iter().map(|(region, services)| FleetLoad {
            region: region.clone(),
            services: services.to_report(),
            stream_speeds: Vec::new(),
        });
        FleetLoads { regions: regions.collect(), weights: None }
    }

    /// Load of the workers of a region, in batches of `slots` requests per worker.
    /// `None` without a recent report of the region.
    pub fn load(
        &self,
        now_ms: u64,
        region: &str,
        service: &str,
        workers: usize,
        slots: u64,
    ) -> Option<f64> {
        let in_flight = self.in_flight(now_ms, region, service)?;
        Some(choose::load(&in_flight, slots) / workers.max(1) as f64)
    }

    /// Requests per worker that run or wait at the workers of a region. `None` without a
    /// recent report of the region.
    pub fn requests_per_worker(
        &self,
        now_ms: u64,
        region: &str,
        service: &str,
        workers: usize,
    ) -> Option<f64> {
        let in_flight = self.in_flight(now_ms, region, service)?;
        Some(in_flight.requests as f64 / workers.max(1) as f64)
    }

    /// Requests without a prompt that run or wait at the workers of a region, and when that was
    /// reported. `None` without a recent report of the region.
    pub fn reported_calls(
        &self,
        now_ms: u64,
        region: &str,
        service: &str,
    ) -> Option<ReportedCalls> {
        let calls = self.in_flight(now_ms, region, service)?.requests as f64;
        let report = self.reports.values().find(|report| report.load.region.as_str() == region)?;
        Some(ReportedCalls { calls, received_ms: report.received_ms })
    }

    /// Prompt tokens per worker that the workers of a region have not processed yet.
    /// `None` without a recent report of the region.
    pub fn backlog_tokens(
        &self,
        now_ms: u64,
        region: &str,
        service: &str,
        workers: usize,
    ) -> Option<f64> {
        let in_flight = self.in_flight(now_ms, region, service)?;
        Some(in_flight.unprocessed_tokens as f64 / workers.max(1) as f64)
    }

    /// Age of the report of a region, in milliseconds; `None` without one.
    pub fn age_ms(&self, now_ms: u64, region: &str) -> Option<u64> {
        let mut reports = self.reports.values();
        let report = reports.find(|report| report.load.region.as_str() == region)?;
        Some(now_ms.saturating_sub(report.received_ms))
    }

    fn in_flight(&self, now_ms: u64, region: &str, service: &str) -> Option<InFlight> {
        let load = self.recent(now_ms).find(|load| load.region.as_str() == region)?;
        let reported = load.services.iter().find(|other| other.service.as_str() == service);
        Some(reported.map(in_flight).unwrap_or_default())
    }

    fn recent(&self, now_ms: u64) -> impl Iterator<Item = &FleetLoad> {
        let recent = move |report: &&LoadReport| report.received_ms + STALE_AFTER_MS >= now_ms;
        self.reports.values().filter(recent).map(|report| &report.load)
    }
}

fn in_flight(reported: &FleetServiceLoad) -> InFlight {
    InFlight { requests: reported.requests, unprocessed_tokens: reported.unread_tokens }
}
