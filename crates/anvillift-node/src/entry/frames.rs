//! Frames that an entry host receives over its links.

use anvillift_schema::event::Event;
use anvillift_schema::fleet::{
    FleetControlPosition, FleetFrame, FleetHostRole, FleetHostState, FleetLeave, FleetWorker,
    FleetWorkerState,
};
use anvillift_schema::name::Name;

use crate::clock;
use crate::core::{confirmation_frame, leave_confirmation};
use crate::entry::Entry;

impl Entry {
    pub(super) fn on_frame(&self, from: &Name, frame: FleetFrame) {
        match frame {
            FleetFrame::Hello(host) => {
                self.node.send_quarantine(&host);
                let is_known = self.node.view.borrow().hosts.get(&host.name).is_some();
                self.node.learn_host(host.clone(), true);
                if !is_known && let Some(hub) = self.node.hub() {
                    let queries = self.queries_for(&host.name).into_iter();
                    queries.for_each(|query| hub.send(&host.name, query));
                }
                if host.role == FleetHostRole::Core {
                    self.announce_again(&host.name);
                    self.report_crashes_again(&host);
                }
            }
            FleetFrame::Hosts(hosts) => self.node.learn_hosts(hosts),
            FleetFrame::Control(control) => self.node.receive_control_state(control),
            FleetFrame::ControlNews(announced) => {
                self.on_control_announced(from, announced.index);
            }
            FleetFrame::Heard(reported) => {
                let now_ms = clock::now_ms();
                let hosts = &mut self.node.view.borrow_mut().hosts;
                reported.hosts.iter().for_each(|name| hosts.record_report(now_ms, name));
            }
            FleetFrame::Worker(report) => self.on_worker(from, report),
            FleetFrame::Leave(leave) => self.on_leave(from, &leave),
            FleetFrame::Ping(_) => self.record_message(from),
            FleetFrame::Pong(pong) => {
                self.record_message(from);
                self.on_pong(from, &pong);
            }
            FleetFrame::Loads(mut loads) => {
                let mut view = self.node.view.borrow_mut();
                if let Some(weights) = loads.weights.take() {
                    let weights = weights.workers.into_iter();
                    view.weights_percent =
                        weights.map(|weight| (weight.worker, weight.weight_percent)).collect();
                }
                view.loads.record_regions(clock::now_ms(), loads);
            }
            FleetFrame::StreamKnown(answer) => self.on_stream_answer(from, answer),
            FleetFrame::PartsWanted(wanted) => self.answer_parts_wanted(from, &wanted),
            FleetFrame::Quarantine(entry) => self.node.add_quarantine(&entry, from),
            FleetFrame::Trial(trial) => self.on_trial_granted(trial),
            FleetFrame::QuotaGranted(granted) => self.on_quota_granted(from, &granted),
            FleetFrame::Crashes(crashes) => self.on_crashed_elsewhere(&crashes),
            FleetFrame::Consensus(_)
            | FleetFrame::PartsServed(_)
            | FleetFrame::QuotaWanted(_)
            | FleetFrame::Streams(_)
            | FleetFrame::StreamWanted(_)
            | FleetFrame::ControlWanted(_)
            | FleetFrame::WorkerSeen(_)
            | FleetFrame::Load(_) => (),
        }
    }

    /// Requests the control state if it is due, after a core has announced the index of its own.
    fn on_control_announced(&self, from: &Name, index: u64) {
        let held_index = self.node.received_index();
        let mut control_fetch = self.control_fetch.borrow_mut();
        let core = control_fetch.on_announcement(clock::now_ms(), from, index, held_index);
        drop(control_fetch);
        if let Some(core) = core {
            self.request_control(&core);
        }
    }

    /// Lets waiting requests go on with a new control state, and announces this host once it has
    /// a configuration.
    pub(super) fn on_control_applied(&self) {
        self.notify_waiting();
        if self.is_ready() {
            self.node.set_state(FleetHostState::Ready);
        }
    }

    /// Requests the control state from a core host.
    pub(super) fn request_control(&self, core: &Name) {
        let view = self.node.view.borrow();
        let held =
            FleetControlPosition { index: view.control.index, version: view.control.version };
        if let Some(hub) = self.node.hub() {
            hub.send(core, FleetFrame::ControlWanted(held));
        }
    }

    /// Handles the word that a worker leaves which the core doesn't know.
    fn on_leave(&self, from: &Name, leave: &FleetLeave) {
        let is_meant = |service: &Name| leave.service.as_ref().is_none_or(|it| it == service);
        let report = {
            let workers = &mut self.node.view.borrow_mut().workers;
            let known = workers.get(&leave.id).map(|entry| &entry.report.service);
            known.is_some_and(is_meant).then(|| workers.leave_report(clock::now_ms(), &leave.id))
        };
        match report {
            Some(Some(report)) => self.on_worker(from, report),
            // It has just started again. Without a confirmation, the worker calls again.
            Some(None) => return,
            None => (),
        }
        if let Some(hub) = self.node.hub() {
            hub.send(from, leave_confirmation(leave));
        }
    }

    fn record_message(&self, from: &Name) {
        self.node.view.borrow_mut().hosts.record_message(clock::now_ms(), from);
    }

    fn on_worker(&self, from: &Name, report: FleetWorker) {
        let is_ending = matches!(report.state, FleetWorkerState::Draining | FleetWorkerState::Left);
        let confirmation = confirmation_frame(&report);
        let (id, state, sequence) = (report.id.clone(), report.state, report.sequence);
        let version = report.version.clone();
        let has_changed = self.node.view.borrow_mut().workers.merge(clock::now_ms(), report);
        if has_changed {
            self.notify_waiting();
            self.check_contact_soon();
            self.report_ended_workers();
            log::info!(
                event = Event::WorkerChanged.number(), worker = id.as_str(), sequence = sequence,
                worker_version = version.as_ref().map_or("", Name::as_str), from = from.as_str();
                "worker is {state}"
            );
        }
        if is_ending && let Some(hub) = self.node.hub() {
            hub.send(from, confirmation);
        }
    }
}
