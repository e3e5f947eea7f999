//! Workers' reports at a core host.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use anvillift_schema::event::Event;
use anvillift_schema::fleet::{
    FleetFrame, FleetHostRole, FleetWorker, FleetWorkerSeen, FleetWorkerState,
};
use anvillift_schema::name::Name;
use tokio::sync::oneshot;
use tokio::time;

use crate::clock;
use crate::core::Core;

/// Longest time for which the answer to a worker that leaves waits for the
/// hosts that may send to it.
const SEEN_WITHIN: Duration = Duration::from_millis(500);
/// Reports that may be missed before a worker counts as silent.
const MISSED_REPORTS: u64 = 4;
/// Time by which a report may be late, in milliseconds.
const LATE_MS: u64 = 2_000;

/// The hosts that haven't yet confirmed a report.
struct Unconfirmed {
    hosts: BTreeSet<Name>,
    done: Option<oneshot::Sender<()>>,
}

type ReportKey = (Name, u64, u64);

/// Reports under way.
#[derive(Default)]
pub(crate) struct Reports {
    unconfirmed: BTreeMap<ReportKey, Unconfirmed>,
}

impl Reports {
    /// A host holds a report.
    pub(super) fn on_seen(&mut self, from: &Name, seen: &FleetWorkerSeen) {
        let key = (seen.id.clone(), seen.born_ms, seen.sequence);
        if let Some(waiting) = self.unconfirmed.get_mut(&key) {
            waiting.hosts.remove(from);
            if waiting.hosts.is_empty()
                && let Some(done) = waiting.done.take()
            {
                done.send(()).ok();
            }
        }
    }
}

impl Core {
    /// Takes a report of a worker. One that ends its work is confirmed by the
    /// hosts that may send to it, as far as they answer in time.
    pub(super) async fn on_report(&self, report: FleetWorker) {
        let now_ms = clock::now_ms();
        let matters = self.node.known.borrow_mut().workers.merge(now_ms, report.clone());
        if matters {
            log_report(&report, "heard");
        }
        let ends = matches!(report.state, FleetWorkerState::Draining | FleetWorkerState::Left);
        if ends && matters {
            self.confirm(report).await;
        } else if matters {
            self.tell_worker(&report);
        } else {
            self.tell(&self.linked(FleetHostRole::Core), &report);
        }
    }

    /// Takes the news that a worker leaves.
    pub(super) async fn on_leave(&self, worker: &str) {
        let known = self.node.known.borrow().workers.get(worker).map(|entry| entry.report.clone());
        let Some(mut report) = known else { return };
        report.state = FleetWorkerState::Left;
        report.sequence += 1;
        self.on_report(report).await;
    }

    /// Takes a report that another core has heard.
    pub(super) fn on_relayed_report(&self, from: &Name, report: FleetWorker) {
        let now_ms = clock::now_ms();
        let matters = self.node.known.borrow_mut().workers.merge(now_ms, report.clone());
        if let Some(hub) = self.node.hub() {
            hub.send(from, seen(&report));
        }
        if matters {
            log_report(&report, "relayed");
            self.tell(&self.linked(FleetHostRole::Entry), &report);
        }
    }

    /// Tells of workers that have fallen silent.
    pub(super) fn expire_workers(&self) {
        let silent_after_ms = MISSED_REPORTS * self.node.settings.report_interval_ms + LATE_MS;
        let now_ms = clock::now_ms();
        let expired = self.node.known.borrow_mut().workers.expire(now_ms, silent_after_ms);
        for report in expired {
            log::warn!(
                event = Event::UpstreamExpired.number(), worker = report.id.as_str(),
                sequence = report.sequence;
                "worker is silent"
            );
            self.tell(&self.linked(FleetHostRole::Entry), &report);
        }
    }

    async fn confirm(&self, report: FleetWorker) {
        let region = self.node.settings.region_of(&report.data_centre).cloned();
        let mut hosts: BTreeSet<Name> = self.linked(FleetHostRole::Core).into_iter().collect();
        {
            let entries = self.linked(FleetHostRole::Entry);
            let known = self.node.known.borrow();
            let near =
                |name: &Name| known.hosts.get(name).map(|host| &host.region) == region.as_ref();
            hosts.extend(entries.into_iter().filter(near));
        }
        let key = (report.id.clone(), report.born_ms, report.sequence);
        let (done, confirmed) = oneshot::channel();
        let waits = !hosts.is_empty();
        self.reports
            .borrow_mut()
            .unconfirmed
            .insert(key.clone(), Unconfirmed { hosts, done: Some(done) });
        self.tell_worker(&report);
        if waits {
            // A host that doesn't answer gets the report when its link is up again.
            time::timeout(SEEN_WITHIN, confirmed).await.ok();
        }
        let missing = self.reports.borrow_mut().unconfirmed.remove(&key);
        let missing = missing.map_or(0, |waiting| waiting.hosts.len());
        log::info!(
            event = Event::UpstreamLeft.number(), worker = report.id.as_str(),
            sequence = report.sequence, unconfirmed = missing;
            "worker gets no more work"
        );
    }

    fn tell_worker(&self, report: &FleetWorker) {
        if let Some(hub) = self.node.hub() {
            hub.send_all(&FleetFrame::Worker(report.clone()));
        }
    }

    fn tell(&self, hosts: &[Name], report: &FleetWorker) {
        let Some(hub) = self.node.hub() else { return };
        for name in hosts {
            hub.send(name, FleetFrame::Worker(report.clone()));
        }
    }
}

/// The confirmation of a report.
pub(crate) fn seen(report: &FleetWorker) -> FleetFrame {
    FleetFrame::WorkerSeen(FleetWorkerSeen {
        id: report.id.clone(),
        born_ms: report.born_ms,
        sequence: report.sequence,
    })
}

fn log_report(report: &FleetWorker, how: &str) {
    log::info!(
        event = Event::WorkerChanged.number(), worker = report.id.as_str(),
        born_ms = report.born_ms, sequence = report.sequence, address = report.address.as_str(),
        service = report.service.as_str(), cold_ms = report.cold_ms, how = how;
        "worker is {}", report.state
    );
}
