//! Trials of quarantined requests on an entry host.
//!
//! While this host refuses such requests it asks the cores for a trial. With a permit, the next
//! request that the same entry of the quarantine refuses goes to one worker, and is not repeated.
//! If it is served, cores are told until the control state shows that the entry is released. A
//! permit of which nothing was sent is kept for the next request.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_schema::event::Event;
use anvillift_schema::fleet::{FleetFrame, FleetHostRole, FleetTrial, FleetTrialStep};
use anvillift_schema::name::Name;

use crate::clock;
use crate::entry::Entry;
use crate::entry::front::Origin;
use crate::entry::request::Request;
use crate::quarantine::features_text;

/// Time for which a permit is valid, in milliseconds.
const PERMIT_TIME_MS: u64 = 10_000;
/// Time since the first question about an entry for which this host asks often, in milliseconds.
const ASK_OFTEN_MS: u64 = 15_000;
/// Intervals between two questions about an entry in that time and later, in milliseconds.
const OFTEN_INTERVAL_MS: u64 = 1_000;
const SELDOM_INTERVAL_MS: u64 = 10_000;
/// Time for which cores are told again that a quarantined request was served, in milliseconds.
const TELL_SERVED_MS: u64 = 30_000;

/// The questions about one entry.
#[derive(Clone, Copy, Debug)]
struct Asked {
    first_ms: u64,
    last_ms: u64,
}

/// A trial that was served, until the entry is released.
#[derive(Clone, Debug)]
struct ServedTrial {
    service: Name,
    served_ms: u64,
}

/// Trials at this host, by the features of the entry.
#[derive(Debug, Default)]
pub(super) struct EntryTrials {
    asked: BTreeMap<BTreeSet<u64>, Asked>,
    /// Time until which each permit is valid, in milliseconds.
    permits: BTreeMap<BTreeSet<u64>, u64>,
    served: BTreeMap<BTreeSet<u64>, ServedTrial>,
}

impl EntryTrials {
    fn take_permit(&mut self, now_ms: u64, features: &BTreeSet<u64>) -> Option<u64> {
        self.permits.remove(features).filter(|until_ms| *until_ms > now_ms)
    }

    /// Whether cores are to be asked now. Records that they are.
    fn asks(&mut self, now_ms: u64, features: &BTreeSet<u64>) -> bool {
        let Some(asked) = self.asked.get_mut(features) else {
            self.asked.insert(features.clone(), Asked { first_ms: now_ms, last_ms: now_ms });
            return true;
        };
        let is_often = now_ms < asked.first_ms + ASK_OFTEN_MS;
        let interval_ms = if is_often { OFTEN_INTERVAL_MS } else { SELDOM_INTERVAL_MS };
        let is_due = asked.last_ms + interval_ms <= now_ms;
        if is_due {
            asked.last_ms = now_ms;
        }
        is_due
    }

    fn retain(&mut self, now_ms: u64, is_quarantined: impl Fn(&BTreeSet<u64>) -> bool) {
        self.asked.retain(|features, _| is_quarantined(features));
        self.permits.retain(|features, until_ms| *until_ms > now_ms && is_quarantined(features));
        self.served.retain(|features, served| {
            served.served_ms + TELL_SERVED_MS > now_ms && is_quarantined(features)
        });
    }
}

/// A permit in use. Dropping it gives it back, unless something of the request was sent.
pub(super) struct TrialPermit<'a> {
    entry: &'a Entry,
    features: BTreeSet<u64>,
    until_ms: Option<u64>,
}

impl TrialPermit<'_> {
    /// Records that a worker or another host may have received something of the request.
    pub(super) fn keep(&mut self) {
        self.until_ms = None;
    }
}

impl Drop for TrialPermit<'_> {
    fn drop(&mut self) {
        if let Some(until_ms) = self.until_ms.take() {
            let features = std::mem::take(&mut self.features);
            self.entry.trials.borrow_mut().permits.insert(features, until_ms);
        }
    }
}

impl Entry {
    /// Makes a request a trial if the quarantine refuses it and this host has a permit. Otherwise
    /// cores are asked for one.
    pub(super) fn begin_trial(&self, request: &Request) -> Option<TrialPermit<'_>> {
        if request.origin != Origin::Caller {
            return None;
        }
        let now_ms = clock::now_ms();
        let features = {
            let view = self.node.view.borrow();
            view.quarantine.only_entry(now_ms, &request.features)?.clone()
        };
        let Some(until_ms) = self.trials.borrow_mut().take_permit(now_ms, &features) else {
            if self.trials.borrow_mut().asks(now_ms, &features) {
                self.tell_trial(&features, &request.service, FleetTrialStep::Wanted);
            }
            return None;
        };
        request.is_trial.set(true);
        log::info!(
            event = Event::TrialSent.number(), id = request.id.as_str(),
            service = request.service.as_str(), features = features_text(features.iter().copied());
            "quarantined request is tried"
        );
        Some(TrialPermit { entry: self, features, until_ms: Some(until_ms) })
    }

    /// Handles the permit for a trial.
    pub(super) fn on_trial_granted(&self, trial: FleetTrial) {
        if trial.step == FleetTrialStep::Granted {
            let until_ms = clock::now_ms() + PERMIT_TIME_MS;
            let features = trial.parts.into_iter().collect();
            self.trials.borrow_mut().permits.insert(features, until_ms);
        }
    }

    /// Records that the trial of a request was served.
    pub(super) fn record_trial_served(&self, request: &Request) {
        let now_ms = clock::now_ms();
        let features = {
            let view = self.node.view.borrow();
            view.quarantine.only_entry(now_ms, &request.features).cloned()
        };
        let Some(features) = features else { return };
        let served = ServedTrial { service: request.service.clone(), served_ms: now_ms };
        self.tell_trial(&features, &served.service, FleetTrialStep::Served);
        self.trials.borrow_mut().served.insert(features, served);
    }

    /// Tells cores again of the trials that were served and are not released.
    pub(super) fn update_trials(&self) {
        let now_ms = clock::now_ms();
        {
            let view = self.node.view.borrow();
            let is_quarantined =
                |features: &BTreeSet<u64>| view.quarantine.contains(now_ms, features);
            self.trials.borrow_mut().retain(now_ms, is_quarantined);
        }
        for (features, served) in &self.trials.borrow().served {
            self.tell_trial(features, &served.service, FleetTrialStep::Served);
        }
    }

    fn tell_trial(&self, features: &BTreeSet<u64>, service: &Name, step: FleetTrialStep) {
        let Some(hub) = self.node.hub() else { return };
        let parts = features.iter().copied().collect();
        let trial = FleetTrial { parts, service: service.clone(), step };
        let view = self.node.view.borrow();
        let mut names = hub.connected();
        names.retain(|name| {
            let host = view.hosts.get(name);
            host.is_some_and(|host| host.role == FleetHostRole::Core && host.shares_trials)
        });
        names.iter().for_each(|name| hub.send(name, FleetFrame::Trial(trial.clone())));
    }
}
