//! When a quarantined request is tried again.
//!
//! A quarantine may be wrong: crashes with a common cause, such as the loss of a data centre,
//! put everything that was in flight under suspicion. One request that it refuses is sent
//! to a worker once workers are back. If it is served the quarantine is released. The policy
//! runs at the leader of the control group, which grants one trial at a time in the whole fleet;
//! the control log keeps how many were granted. Start at [`QuarantineTrials::next_number`].

use std::collections::{BTreeMap, BTreeSet};

/// Most trials of a set of features until one of them is served. Callers of harmful requests
/// allow no more to reach workers, over all hosts and restarts.
const MAX_TRIALS: u64 = 3;
/// Longest time for which such a request is waited for, in milliseconds.
const TRIAL_TIME_MS: u64 = 10_000;
/// Time after the last crash from which on the report of a worker shows that it is up, in
/// milliseconds. Reports that were sent before the crash may arrive late.
const REPORT_DELAY_MS: u64 = 1_000;

/// What the leader knows about a set of quarantined features.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrialFacts {
    /// Trials granted since the last release of the features.
    pub granted: u64,
    /// Time of the last crash with such a request in flight, in milliseconds; `None` if it is
    /// not known.
    pub last_crash_ms: Option<u64>,
    /// Time of the last such crash within whose instant no other worker crashed, in milliseconds.
    pub last_lone_crash_ms: Option<u64>,
    /// Time of the last report of a worker of the service that takes requests, in milliseconds.
    pub last_report_ms: Option<u64>,
}

/// A trial that was granted and is not over.
#[derive(Clone, Debug)]
struct RunningTrial {
    features: BTreeSet<u64>,
    granted_ms: u64,
}

/// The trials that this host has granted.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTrials {
    running: Option<RunningTrial>,
    /// Time of the last trial of each set of features.
    granted_ms: BTreeMap<BTreeSet<u64>, u64>,
}

impl QuarantineTrials {
    /// The number of the trial that may be granted now, or `None`.
    pub fn next_number(
        &self,
        now_ms: u64,
        features: &BTreeSet<u64>,
        facts: &TrialFacts,
    ) -> Option<u64> {
        let is_up = facts.last_crash_ms.is_none_or(|crash_ms| {
            facts.last_report_ms.is_some_and(|report_ms| report_ms > crash_ms + REPORT_DELAY_MS)
        });
        let may_try = facts.granted < MAX_TRIALS
            && facts.last_report_ms.is_some()
            && is_up
            && !self.has_running(now_ms)
            && !self.has_failed(features, facts);
        may_try.then_some(facts.granted + 1)
    }

    /// Records that a trial is granted.
    pub fn record_granted(&mut self, now_ms: u64, features: &BTreeSet<u64>) {
        self.granted_ms.insert(features.clone(), now_ms);
        self.running = Some(RunningTrial { features: features.clone(), granted_ms: now_ms });
    }

    /// Records that a trial was served, or that it was not granted after all.
    pub fn record_ended(&mut self, features: &BTreeSet<u64>) {
        self.running.take_if(|running| running.features == *features);
    }

    /// Ends the running trial if a crash with such a request in flight is known since.
    /// `last_crash_ms` gives the time of the last one.
    pub fn end_crashed(&mut self, last_crash_ms: impl Fn(&BTreeSet<u64>) -> Option<u64>) {
        self.running.take_if(|running| {
            last_crash_ms(&running.features).is_some_and(|crash_ms| crash_ms > running.granted_ms)
        });
    }

    /// Forgets the trials of features that are no longer quarantined.
    pub fn retain(&mut self, is_quarantined: impl Fn(&BTreeSet<u64>) -> bool) {
        self.granted_ms.retain(|features, _| is_quarantined(features));
    }

    fn has_running(&self, now_ms: u64) -> bool {
        let running = self.running.as_ref();
        running.is_some_and(|running| running.granted_ms + TRIAL_TIME_MS > now_ms)
    }

    /// Whether the worker of the last trial crashed and no other one did, so that the request is
    /// the cause.
    fn has_failed(&self, features: &BTreeSet<u64>, facts: &TrialFacts) -> bool {
        let granted_ms = self.granted_ms.get(features);
        granted_ms.is_some_and(|granted_ms| facts.last_lone_crash_ms > Some(*granted_ms))
    }
}
