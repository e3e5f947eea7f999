//! Workers' reports on a core host: merging, relaying and expiry.
//!
//! A report arrives from the worker or from another core host. A report that
//! changes something is relayed to the other hosts. [`departures`] answers a worker that drains
//! or leaves.

use anvillift_schema::event::Event;
use anvillift_schema::fleet::{FleetFrame, FleetHostRole, FleetWorker};
use anvillift_schema::name::Name;

use crate::clock;
use crate::core::Core;
use crate::core::departures::{self, Effect};

/// Missed reports after which a worker counts as silent.
const MAX_MISSED_REPORTS: u64 = 4;
/// Delay tolerated in addition to the missed reports, in milliseconds.
const MAX_REPORT_DELAY_MS: u64 = 2_000;

impl Core {
    /// Handles a report received from a worker. If the worker drains or leaves, returns when the
    /// hosts that may send requests to it have confirmed, or after a timeout.
    pub(super) async fn on_report(&self, report: FleetWorker) -> Effect {
        let is_departing = departures::is_departing(&report);
        match self.names_service(&report) {
            Some(true) => (),
            Some(false) if is_departing => {
                if let Some(effect) = self.depart_unlisted(&report).await {
                    return effect;
                }
            }
            Some(false) => {
                log::debug!("report of {} names an unknown service {}", report.id, report.service);
                return Effect::InEffect;
            }
            // That a worker drains has to reach the hosts that may send to it in any case.
            None if is_departing => (),
            None => {
                self.send_report(&self.linked_hosts(FleetHostRole::Core), &report);
                return Effect::InEffect;
            }
        }
        let now_ms = clock::now_ms();
        if !is_departing && self.departures.borrow().is_late_report(now_ms, &report) {
            return Effect::InEffect;
        }
        let has_changed = self.node.view.borrow_mut().workers.merge(now_ms, report.clone());
        if has_changed {
            log_report(&report, "heard");
        }
        if is_departing {
            return self.depart(report, has_changed).await;
        }
        if has_changed {
            self.broadcast_report(&report);
        } else {
            self.send_report(&self.linked_hosts(FleetHostRole::Core), &report);
        }
        Effect::InEffect
    }

    /// Whether the configuration names the service of a report; `None` without a configuration.
    /// Another one may come from another writer, and must not take the address or the id of a
    /// worker that serves. A host without a configuration leaves the decision to the other core
    /// hosts. Workers report at intervals, so that one whose service is added is heard later.
    fn names_service(&self, report: &FleetWorker) -> Option<bool> {
        let view = self.node.view.borrow();
        let configuration = view.configuration.as_ref()?;
        Some(configuration.services.contains_key(&report.service))
    }

    /// Handles a report relayed by another core host, and confirms it.
    pub(super) fn on_relayed_report(&self, from: &Name, report: FleetWorker) {
        let confirmation = departures::confirmation_frame(&report);
        if self.takes_relayed(&report) {
            self.merge_and_relay(report);
        }
        if let Some(hub) = self.node.hub() {
            hub.send(from, confirmation);
        }
    }

    /// Whether a relayed report counts here. The other core may have another configuration, and
    /// a worker that drains or leaves does so whichever service it has.
    fn takes_relayed(&self, report: &FleetWorker) -> bool {
        if departures::is_departing(report) {
            let view = self.node.view.borrow();
            let known = view.workers.get(&report.id).map(|entry| &entry.report.service);
            return known.is_some_and(|service| *service == report.service)
                || self.names_service(report) != Some(false);
        }
        self.names_service(report) != Some(false)
            && !self.departures.borrow().is_late_report(clock::now_ms(), report)
    }

    /// Merges a report, and sends it to the entry hosts if it changes anything.
    pub(super) fn merge_and_relay(&self, report: FleetWorker) {
        let now_ms = clock::now_ms();
        let has_changed = self.node.view.borrow_mut().workers.merge(now_ms, report.clone());
        if has_changed {
            log_report(&report, "relayed");
            self.send_report(&self.linked_hosts(FleetHostRole::Entry), &report);
        }
    }

    /// Marks workers whose reports have stopped as silent and notifies the entry
    /// hosts.
    pub(super) fn expire_workers(&self) {
        let silent_after_ms =
            MAX_MISSED_REPORTS * self.node.settings.report_interval_ms + MAX_REPORT_DELAY_MS;
        let now_ms = clock::now_ms();
        let expired = self.node.view.borrow_mut().workers.expire(now_ms, silent_after_ms);
        for report in expired {
            log::warn!(
                event = Event::UpstreamExpired.number(), worker = report.id.as_str(),
                sequence = report.sequence;
                "worker has sent no report for at least {silent_after_ms} ms"
            );
            self.send_report(&self.linked_hosts(FleetHostRole::Entry), &report);
        }
    }

    pub(super) fn broadcast_report(&self, report: &FleetWorker) {
        if let Some(hub) = self.node.hub() {
            hub.send_all(&FleetFrame::Worker(report.clone()));
        }
    }

    pub(super) fn send_report(&self, hosts: &[Name], report: &FleetWorker) {
        let Some(hub) = self.node.hub() else { return };
        for name in hosts {
            hub.send(name, FleetFrame::Worker(report.clone()));
        }
    }
}

fn log_report(report: &FleetWorker, how: &str) {
    log::info!(
        event = Event::WorkerChanged.number(), worker = report.id.as_str(),
        born_ms = report.born_ms, sequence = report.sequence, address = report.address.as_str(),
        service = report.service.as_str(), worker_version = report.version.as_ref().map_or("", Name::as_str), cold_ms = report.cold_ms, how = how;
        "worker is {}", report.state
    );
}
