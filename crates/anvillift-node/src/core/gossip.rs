//! Frames that a core host sends on its own: host lists, region loads and control
//! versions.

use anvillift_fleet::directory;
use anvillift_schema::event::Event;
use anvillift_schema::fleet::{
    FleetControl, FleetControlPosition, FleetFrame, FleetHost, FleetHostRole, FleetHosts,
    FleetLoads, FleetReachableHosts, FleetWorkerWeights,
};
use anvillift_schema::name::Name;

use crate::clock;
use crate::core::Core;

/// Housekeeping ticks between two host lists to the other core hosts.
const CORE_LIST_TICKS: u64 = 8;
/// Housekeeping ticks between two regional lists to the entry hosts, which name
/// the live entry hosts of the receiver's region.
const REGION_LIST_TICKS: u64 = 3;
/// Housekeeping ticks between two full lists to the entry hosts, which name the
/// live entry hosts of all regions.
const FULL_LIST_TICKS: u64 = 20;
/// Housekeeping ticks between two updates of the weights of workers.
const WEIGHT_TICKS: u64 = 4;
/// Time after its start from which a core host without a leader publishes the
/// control state that it has stored, in milliseconds.
const PUBLISH_WITHOUT_LEADER_AFTER_MS: u64 = 3_000;

/// Builds the frame that announces a control state without its document.
fn control_version_frame(control: &FleetControl) -> FleetFrame {
    FleetFrame::ControlNews(FleetControlPosition { index: control.index, version: control.version })
}

impl Core {
    /// Frames to send first over a new link: the host list, the workers' reports and the
    /// control version. The version comes last: an entry host that starts waits for the
    /// versions of a majority of the cores, and then has the reports of these cores as well.
    /// Otherwise a lagging core could make it use a worker that has left. For the same reason,
    /// workers are left out that have not reported since this process was frozen.
    pub(super) fn on_link_up(&self, name: &Name) -> Vec<FleetFrame> {
        self.expire_workers();
        let view = self.node.view.borrow();
        let mut frames = vec![self.hosts_frame()];
        let (now_ms, interval_ms) = (clock::now_ms(), self.node.settings.report_interval_ms);
        let heard = view.workers.iter().filter(|entry| !entry.awaits_report);
        let reports = heard.map(|entry| entry.to_report(now_ms, interval_ms));
        frames.extend(reports.map(FleetFrame::Worker));
        frames.extend(self.recent_leaves_for(name));
        let published = self.published.borrow();
        if published.index > 0 {
            frames.push(control_version_frame(&published));
        }
        frames.extend(self.open_question_for(name));
        frames
    }

    fn hosts_frame(&self) -> FleetFrame {
        let view = self.node.view.borrow();
        let mut hosts = view.hosts.direct_hosts(clock::now_ms());
        hosts.push(self.node.own_host());
        FleetFrame::Hosts(FleetHosts { hosts })
    }

    /// Sends a new or changed host description over every link.
    pub(super) fn broadcast_host(&self, host: FleetHost) {
        if let Some(hub) = self.node.hub() {
            hub.send_all(&FleetFrame::Hosts(FleetHosts { hosts: vec![host] }));
        }
    }

    /// Sends the host list to the other cores every [`CORE_LIST_TICKS`] and
    /// removes hosts that have been silent for long.
    pub(super) fn send_hosts_to_cores(&self, ticks: u64) {
        if !ticks.is_multiple_of(CORE_LIST_TICKS) {
            return;
        }
        let frame = self.hosts_frame();
        for name in self.linked_hosts(FleetHostRole::Core) {
            if let Some(hub) = self.node.hub() {
                hub.send(&name, frame.clone());
            }
        }
        self.node.view.borrow_mut().hosts.remove_silent(clock::now_ms());
    }

    /// Sends entry hosts the names of the live entry hosts. They need those of
    /// their region for directory answers, and all of them for shared limits.
    pub(super) fn send_live_entries(&self, ticks: u64) {
        let is_full_list = ticks.is_multiple_of(FULL_LIST_TICKS);
        if !is_full_list && !ticks.is_multiple_of(REGION_LIST_TICKS) {
            return;
        }
        let Some(hub) = self.node.hub() else { return };
        let now_ms = clock::now_ms();
        let view = self.node.view.borrow();
        let mut live_entries = view.hosts.direct_hosts(now_ms);
        live_entries.retain(|host| host.role == FleetHostRole::Entry);
        for entry in directory::hosts_informed_by(&view.hosts, now_ms, &self.node.own_host()) {
            let listed =
                live_entries.iter().filter(|host| is_full_list || host.region == entry.region);
            let hosts: Vec<Name> = listed.map(|host| host.name.clone()).collect();
            hub.send(&entry.name, FleetFrame::Heard(FleetReachableHosts { hosts }));
        }
    }

    /// Sends the entry hosts of this region the load of each region, and every
    /// [`WEIGHT_TICKS`] the weights of the workers.
    pub(super) fn send_region_loads(&self, ticks: u64) {
        let Some(hub) = self.node.hub() else { return };
        let entries = self.linked_hosts(FleetHostRole::Entry);
        let weights = ticks.is_multiple_of(WEIGHT_TICKS).then(|| self.update_weights());
        let view = self.node.view.borrow();
        let loads = view.loads.by_region(clock::now_ms());
        let frame = FleetFrame::Loads(FleetLoads { weights, ..loads });
        let own = &self.node.settings.region;
        let in_region = entries
            .iter()
            .filter(|name| view.hosts.get(name).is_some_and(|host| host.region == *own));
        for name in in_region {
            hub.send(name, frame.clone());
        }
    }

    /// Adjusts the weights of the workers, and logs those that change.
    fn update_weights(&self) -> FleetWorkerWeights {
        let view = self.node.view.borrow();
        let mut weights = self.weights.borrow_mut();
        for change in weights.update(clock::now_ms(), &view.workers) {
            log::info!(
                event = Event::WorkerWeightChanged.number(), worker = change.worker.as_str(),
                from_percent = change.from_percent, to_percent = change.to_percent,
                event_ms = change.event_ms as u64, median_ms = change.median_ms as u64;
                "weight of a worker changed with the speed of its streams"
            );
        }
        weights.report()
    }

    /// Names of the hosts of a role that have a link.
    pub(super) fn linked_hosts(&self, role: FleetHostRole) -> Vec<Name> {
        let Some(hub) = self.node.hub() else { return Vec::new() };
        let view = self.node.view.borrow();
        let mut names = hub.connected();
        names.retain(|name| view.hosts.get(name).is_some_and(|host| host.role == role));
        names
    }

    /// Announces the version of each committed control state to the entry hosts, and
    /// applies it. A core host that has just started publishes nothing until it
    /// has a leader, since its state may be old. If there is no leader for
    /// [`PUBLISH_WITHOUT_LEADER_AFTER_MS`], it publishes the state that it has.
    pub(super) async fn publish_control(&self) {
        let started_ms = clock::now_ms();
        let mut changes = self.log.changes();
        let mut tick = tokio::time::interval(super::HOUSEKEEPING_INTERVAL);
        loop {
            tokio::select! {
                changed = changes.changed() => if changed.is_err() { return },
                _ = tick.tick() => (),
            }
            let may_publish_alone = clock::now_ms() >= started_ms + PUBLISH_WITHOUT_LEADER_AFTER_MS;
            if self.log.status().leader.is_none() && !self.log.is_leader() && !may_publish_alone {
                continue;
            }
            let published_index = self.published.borrow().index;
            if let Some(state) = self.log.state_after(published_index) {
                self.announce_control(&state);
                self.published.replace(state);
            }
            // Repeated without a new state too: if no thread could be started, the configuration
            // was not decoded.
            self.node.receive_control_state(self.published.borrow().clone());
        }
    }

    fn announce_control(&self, control: &FleetControl) {
        let Some(hub) = self.node.hub() else { return };
        let frame = control_version_frame(control);
        for name in self.linked_hosts(FleetHostRole::Entry) {
            hub.send(&name, frame.clone());
        }
    }
}
