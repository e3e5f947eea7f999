//! Trials of quarantined requests on a core host.
//!
//! Entry hosts ask for a trial while they refuse such requests. The leader of the control group
//! grants one by the policy of [`QuarantineTrials`], once the control log has it, and releases
//! the quarantine when the trial was served.

use std::collections::BTreeSet;
use std::rc::Rc;

use anvillift_fleet::{QuarantineTrials, TrialFacts};
use anvillift_schema::event::Event;
use anvillift_schema::fleet::{
    FleetCommand, FleetFrame, FleetHostRole, FleetTrial, FleetTrialStep, GrantTrial,
    ReleaseQuarantine,
};
use anvillift_schema::name::Name;
use tokio::task;

use crate::clock;
use crate::core::Core;
use crate::quarantine::features_text;

impl Core {
    /// Handles a step of a trial at an entry host.
    pub(super) fn on_trial(self: &Rc<Self>, from: &Name, trial: FleetTrial) {
        match trial.step {
            FleetTrialStep::Wanted => self.consider_trial(from, trial),
            FleetTrialStep::Served => self.on_trial_served(from, trial),
            FleetTrialStep::Granted => (),
        }
    }

    fn consider_trial(self: &Rc<Self>, from: &Name, trial: FleetTrial) {
        if !self.log.is_leader() || !self.do_all_cores_share_trials() {
            return;
        }
        let now_ms = clock::now_ms();
        let features: BTreeSet<u64> = trial.parts.iter().copied().collect();
        let is_quarantined = self.node.view.borrow().quarantine.contains(now_ms, &features);
        let facts = self.trial_facts(&trial, &features);
        let number = {
            let mut trials = self.trials.borrow_mut();
            let evidence = self.crash_evidence.borrow();
            trials.end_crashed(|features| evidence.last_crash_ms(features));
            let number = trials.next_number(now_ms, &features, &facts);
            let Some(number) = number.filter(|_| is_quarantined) else { return };
            trials.record_granted(now_ms, &features);
            number
        };
        let (core, from) = (Rc::clone(self), from.clone());
        task::spawn_local(async move { core.grant_trial(from, trial, number).await });
    }

    async fn grant_trial(&self, to: Name, trial: FleetTrial, number: u64) {
        let parts = trial.parts.clone();
        let features: BTreeSet<u64> = parts.iter().copied().collect();
        let granted = self.log.propose_trial(GrantTrial { parts, number }).await;
        log::info!(
            event = Event::TrialGranted.number(), features = features_text(trial.parts.clone()),
            service = trial.service.as_str(), number = number, to = to.as_str(),
            granted = matches!(granted, Ok(true)),
            error = granted.as_ref().err().map(ToString::to_string).unwrap_or_default();
            "trial of a quarantined request"
        );
        match granted {
            Ok(true) => {
                let granted = FleetTrial { step: FleetTrialStep::Granted, ..trial };
                if let Some(hub) = self.node.hub() {
                    hub.send(&to, FleetFrame::Trial(granted));
                }
            }
            Ok(false) | Err(_) => self.trials.borrow_mut().record_ended(&features),
        }
    }

    fn on_trial_served(self: &Rc<Self>, from: &Name, trial: FleetTrial) {
        let features: BTreeSet<u64> = trial.parts.iter().copied().collect();
        {
            let mut evidence = self.crash_evidence.borrow_mut();
            features.iter().for_each(|feature| evidence.record_served(*feature, clock::now_ms()));
        }
        self.crash_file.save_soon();
        self.trials.borrow_mut().record_ended(&features);
        let is_quarantined =
            self.node.view.borrow().quarantine.contains(clock::now_ms(), &features);
        if !is_quarantined || !self.log.is_leader() {
            return;
        }
        log::info!(
            event = Event::TrialServed.number(), features = features_text(features),
            from = from.as_str();
            "a trial of a quarantined request was served"
        );
        let finding = self.log.trial_record(&trial.parts).released;
        let release = ReleaseQuarantine { parts: trial.parts, finding };
        let core = Rc::clone(self);
        task::spawn_local(async move {
            let command = FleetCommand::ReleaseQuarantine(release);
            // The entry host tells again until the quarantine is released.
            if let Err(error) = core.log.propose(&command).await {
                log::info!("quarantine not released yet: {error}");
            }
        });
    }

    fn trial_facts(&self, trial: &FleetTrial, features: &BTreeSet<u64>) -> TrialFacts {
        let evidence = self.crash_evidence.borrow();
        let view = self.node.view.borrow();
        let ready = view.workers.ready(&trial.service).filter(|entry| !entry.awaits_report);
        TrialFacts {
            granted: self.log.trial_record(&trial.parts).granted,
            last_crash_ms: evidence.last_crash_ms(features),
            last_lone_crash_ms: evidence.last_lone_crash_ms(features),
            last_report_ms: ready.map(|entry| entry.last_received_ms).max(),
        }
    }

    /// Whether each core understands the commands about trials. The replica of an older release
    /// could not apply them.
    fn do_all_cores_share_trials(&self) -> bool {
        let view = self.node.view.borrow();
        let mut hosts = view.hosts.iter(clock::now_ms()).map(|(host, _)| host);
        hosts.all(|host| host.role != FleetHostRole::Core || host.shares_trials)
    }

    /// Forgets trials of features that are no longer quarantined.
    pub(super) fn remove_old_trials(&self) {
        let (view, now_ms) = (self.node.view.borrow(), clock::now_ms());
        let is_quarantined = |features: &BTreeSet<u64>| view.quarantine.contains(now_ms, features);
        let trials: &mut QuarantineTrials = &mut self.trials.borrow_mut();
        trials.retain(is_quarantined);
    }
}
