//! Workers that drain or leave, on a core host.
//!
//! The call of such a worker is acknowledged once the hosts that may send requests to it have
//! confirmed that they send none any more. A host that is in touch and has not confirmed in time
//! keeps the call from being acknowledged, and the worker calls again. A worker that this
//! host doesn't know is left by its id: entry hosts may know it from before this process started.

use std::collections::BTreeSet;
use std::time::Duration;

use anvillift_schema::event::Event;
use anvillift_schema::fleet::{
    FleetFrame, FleetHostRole, FleetLeave, FleetWorker, FleetWorkerAck, FleetWorkerState,
};
use anvillift_schema::name::Name;
use tokio::sync::oneshot;
use tokio::time;

use crate::clock;
use crate::core::Core;
use crate::core::departure_log::Departure;

/// Longest time for which the answer to a worker that drains or leaves waits for
/// the confirmations of the hosts that may send requests to it.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a wait with that timeout shows that this host has stood still, in milliseconds.
const MAX_WAIT_MS: u64 = 1_000;

/// What became of the call of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Effect {
    /// The hosts that may send to the worker act on it, or it asks nothing of them.
    InEffect,
    /// The worker has to call again; the text says why.
    NotInEffect(&'static str),
}

/// Whether a report says that the worker takes no new requests.
pub(super) fn is_departing(report: &FleetWorker) -> bool {
    matches!(report.state, FleetWorkerState::Draining | FleetWorkerState::Left)
}

impl Core {
    /// Handles the deregistration of a worker as a report with the state `Left`.
    pub(super) async fn on_leave(&self, worker: &str) -> Effect {
        let is_known = self.node.view.borrow().workers.get(worker).is_some();
        if !is_known {
            return self.leave_by_id(FleetLeave { id: Name::from(worker), service: None }).await;
        }
        let report = self.node.view.borrow_mut().workers.leave_report(clock::now_ms(), worker);
        match report {
            Some(report) => self.on_report(report).await,
            None => Effect::NotInEffect("the worker has just started again"),
        }
    }

    /// Handles the report of a worker that drains or leaves, whose service the configuration does
    /// not name. Returns `None` if the report concerns a known worker: hosts may have a
    /// configuration that names its service.
    pub(super) async fn depart_unlisted(&self, report: &FleetWorker) -> Option<Effect> {
        let service = {
            let view = self.node.view.borrow();
            view.workers.get(&report.id).map(|entry| entry.report.service.clone())
        };
        match service {
            Some(service) if service == report.service => None,
            // The report is of another writer: no host sends to that worker.
            Some(_) => Some(Effect::InEffect),
            None => {
                let service = Some(report.service.clone());
                Some(self.leave_by_id(FleetLeave { id: report.id.clone(), service }).await)
            }
        }
    }

    /// Tells the hosts that may send requests to a worker that it drains or has left, unless they
    /// have confirmed it before.
    pub(super) async fn depart(&self, report: FleetWorker, has_changed: bool) -> Effect {
        let departure = Departure::of(&report);
        if self.departures.borrow().is_confirmed(&departure) {
            self.send_report(&self.linked_hosts(FleetHostRole::Core), &report);
            return Effect::InEffect;
        }
        let hosts = self.hosts_sending_to(&report);
        let key = (report.id.clone(), report.born_ms, report.sequence);
        let (number, confirmed) = self.departures.borrow_mut().wait(key, hosts.clone());
        if has_changed {
            self.broadcast_report(&report);
        } else {
            self.send_report(&hosts.iter().cloned().collect::<Vec<Name>>(), &report);
        }
        let effect = self.await_confirmations(number, confirmed, &report.id).await;
        if effect == Effect::InEffect {
            self.departures.borrow_mut().record_confirmed(departure);
        }
        effect
    }

    /// Tells all hosts that a worker leaves which this host doesn't know.
    async fn leave_by_id(&self, leave: FleetLeave) -> Effect {
        self.departures.borrow_mut().record_unknown(clock::now_ms(), leave.clone());
        let Some(hub) = self.node.hub() else { return Effect::InEffect };
        let linked: BTreeSet<Name> = hub.connected().into_iter().collect();
        let hosts: BTreeSet<Name> =
            linked.iter().filter(|name| self.takes_leaves(name)).cloned().collect();
        if hosts.len() < linked.len() {
            return Effect::NotInEffect("a host of an older release can't be told");
        }
        let key = (leave.id.clone(), 0, 0);
        let (number, confirmed) = self.departures.borrow_mut().wait(key, hosts.clone());
        let frame = FleetFrame::Leave(leave.clone());
        hosts.iter().for_each(|name| hub.send(name, frame.clone()));
        self.await_confirmations(number, confirmed, &leave.id).await
    }

    /// Handles the word of another core that a worker leaves which that one doesn't know.
    pub(super) fn on_relayed_leave(&self, from: &Name, leave: FleetLeave) {
        let now_ms = clock::now_ms();
        let known_service = {
            let view = self.node.view.borrow();
            view.workers.get(&leave.id).map(|entry| entry.report.service.clone())
        };
        let is_meant = |service: &Name| leave.service.as_ref().is_none_or(|it| it == service);
        if known_service.as_ref().is_some_and(is_meant) {
            let report = self.node.view.borrow_mut().workers.leave_report(now_ms, &leave.id);
            // Without a confirmation, the worker calls again.
            let Some(report) = report else { return };
            self.merge_and_relay(report);
        } else if known_service.is_none() {
            self.departures.borrow_mut().record_unknown(now_ms, leave.clone());
        }
        if let Some(hub) = self.node.hub() {
            hub.send(from, leave_confirmation(&leave));
        }
    }

    /// The words of unknown workers that they leave, for a host whose link has come up.
    pub(super) fn recent_leaves_for(&self, name: &Name) -> Vec<FleetFrame> {
        if !self.takes_leaves(name) {
            return Vec::new();
        }
        let departures = self.departures.borrow();
        let recent = departures.recent_unknown(clock::now_ms());
        recent.map(|unknown| FleetFrame::Leave(unknown.leave.clone())).collect()
    }

    /// Forgets departures of workers that are no longer known.
    pub(super) fn remove_old_departures(&self) {
        let view = self.node.view.borrow();
        self.departures.borrow_mut().retain(|id| view.workers.get(id).is_some());
    }

    fn takes_leaves(&self, name: &Name) -> bool {
        self.node.view.borrow().hosts.get(name).is_some_and(|host| host.takes_leaves)
    }

    /// The hosts that may send requests to a worker and are in touch, and the linked cores, which
    /// tell others about it.
    fn hosts_sending_to(&self, report: &FleetWorker) -> BTreeSet<Name> {
        let region = self.node.settings.region_of(&report.data_centre);
        let in_touch = self.hosts_in_touch();
        let view = self.node.view.borrow();
        let sends_there = |name: &Name| {
            let host = view.hosts.get(name);
            host.is_some_and(|host| {
                host.role == FleetHostRole::Entry && Some(&host.region) == region
            })
        };
        let cores = self.linked_hosts(FleetHostRole::Core);
        in_touch.into_iter().filter(sends_there).chain(cores).collect()
    }

    /// The hosts with a link, and those that have been heard lately: their links come up again.
    fn hosts_in_touch(&self) -> BTreeSet<Name> {
        let linked = self.node.hub().map(|hub| hub.connected()).unwrap_or_default();
        let heard = self.node.view.borrow().hosts.direct_hosts(clock::now_ms());
        linked.into_iter().chain(heard.into_iter().map(|host| host.name)).collect()
    }

    /// Waits until all hosts have confirmed, or until the timeout. A host that is out of touch is
    /// told when its link is up again.
    async fn await_confirmations(
        &self,
        number: u64,
        confirmed: oneshot::Receiver<()>,
        worker: &Name,
    ) -> Effect {
        let began_ms = clock::now_ms();
        if !self.departures.borrow().missing(number).is_empty() {
            time::timeout(CONFIRMATION_TIMEOUT, confirmed).await.ok();
        }
        let missing = self.departures.borrow_mut().end_wait(number);
        let missing_in_touch = self.hosts_in_touch().intersection(&missing).count();
        // While this host stood still, it heard nobody, and confirmations are still to be read.
        let has_stood_still = clock::now_ms() > began_ms + MAX_WAIT_MS;
        log::info!(
            event = Event::UpstreamLeft.number(), worker = worker.as_str(),
            unconfirmed = missing.len(), in_touch = missing_in_touch;
            "worker is draining or has left; {} hosts have not confirmed it", missing.len()
        );
        if missing.is_empty() || missing_in_touch == 0 && !has_stood_still {
            Effect::InEffect
        } else {
            Effect::NotInEffect("hosts that may send to the worker have not confirmed")
        }
    }
}

/// Frame by which a host confirms a worker's report.
pub(crate) fn confirmation_frame(report: &FleetWorker) -> FleetFrame {
    FleetFrame::WorkerSeen(FleetWorkerAck {
        id: report.id.clone(),
        born_ms: report.born_ms,
        sequence: report.sequence,
    })
}

/// Frame by which a host confirms that a worker leaves, by its id.
pub(crate) fn leave_confirmation(leave: &FleetLeave) -> FleetFrame {
    FleetFrame::WorkerSeen(FleetWorkerAck { id: leave.id.clone(), born_ms: 0, sequence: 0 })
}
