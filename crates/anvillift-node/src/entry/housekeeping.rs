//! Periodic tasks of an entry host: load reports to the core hosts, and the removal of stale state.

use std::rc::Rc;
use std::time::Duration;

use anvillift_fleet::ServiceLoads;
use anvillift_schema::fleet::{FleetFrame, FleetLoad};
use tokio::time;

use crate::clock;
use crate::entry::Entry;

/// Interval of the periodic tasks.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);
/// Housekeeping ticks between two removals of stale state.
const CLEANUP_TICKS: u64 = 10;
/// Interval at which this host reports its load to the core hosts.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(250);

impl Entry {
    /// Sends the core hosts this host's load per service at regular intervals.
    pub(super) async fn report_load(self: Rc<Self>) {
        let mut tick = time::interval(LOAD_REPORT_INTERVAL);
        loop {
            tick.tick().await;
            let load = self.take_load_report();
            let Some(hub) = self.node.hub() else { continue };
            hub.send_all(&FleetFrame::Load(load));
        }
    }

    /// Load of this host by service, and the speed of the streams since the previous report.
    fn take_load_report(&self) -> FleetLoad {
        let view = self.node.view.borrow();
        let dispatch = self.dispatch.borrow();
        let mut services = ServiceLoads::default();
        for entry in view.workers.iter() {
            services.add(&entry.report.service, dispatch.in_flight(&entry.report.id));
        }
        drop(dispatch);
        FleetLoad {
            region: self.node.settings.region.clone(),
            services: services.to_report(),
            stream_speeds: self.dispatch.borrow_mut().stream_speeds.take_report(),
        }
    }

    /// Keeps links up, retries what is overdue, and removes what is over, at regular intervals.
    pub(super) async fn run_housekeeping(self: Rc<Self>) {
        let mut tick = time::interval(HOUSEKEEPING_INTERVAL);
        let mut ticks: u64 = 0;
        loop {
            tick.tick().await;
            let now_ms = clock::now_ms();
            self.node.dial_cores();
            self.stream_lookups.borrow_mut().remove_ended();
            let held_index = self.node.received_index();
            let overdue_core = self.control_fetch.borrow_mut().retry(now_ms, held_index);
            if let Some(core) = overdue_core {
                self.request_control(&core);
            }
            self.node.refresh_own_entry();
            self.update_crashes();
            self.update_trials();
            ticks += 1;
            if ticks.is_multiple_of(CLEANUP_TICKS) {
                let mut view = self.node.view.borrow_mut();
                view.hosts.remove_silent(now_ms);
                view.workers.remove_gone(now_ms);
                view.remove_old_streams(now_ms);
                self.dispatch.borrow_mut().remove_stale(&view);
                drop(view);
                self.remove_old_crashes();
                self.team_sharing.remove_old(now_ms);
            }
            self.export_notice_metrics();
            self.export_speed_metrics();
            metrics::gauge!("anvillift_requests_in_service").set(self.served.total() as f64);
        }
    }
}
