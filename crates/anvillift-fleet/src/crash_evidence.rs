//! Finds the requests that crash workers, by their features.
//!
//! When a worker crashes, the requests in flight there are known, harmful and sound ones.
//! A harmful feature was in flight at each of many crashes and was never served since,
//! while sound features that share workers with it are served again and again. A feature
//! is quarantined after some crashes since it was last served, and after more of them if
//! it was ever served. Hosts are asked when they last served it before that is decided. A
//! crash at which a quarantined request was in flight is explained by it and says nothing
//! about other requests.

use std::collections::{BTreeMap, BTreeSet};

use crate::asked::Asked;
use crate::broken_requests::ConfirmedCrash;
use crate::crash::{Crash, Testimony};
use crate::feature_kind::FeatureKind;
use crate::quarantine::{QUARANTINE_MS, Quarantine};
use crate::question::Question;
use crate::suspect::Suspect;
use crate::verdict::Verdict;

/// Crashes from which on hosts are asked about a feature.
const MIN_CRASHES_TO_ASK: usize = 2;
/// Crashes from which on hosts do not repeat a request.
const MIN_CRASHES_TO_SUSPECT: usize = 3;
/// Time that hosts have to answer, in milliseconds.
const ANSWER_TIME_MS: u64 = 300;
/// Shortest time between two questions about a feature, in milliseconds.
const QUESTION_INTERVAL_MS: u64 = 250;
/// Most features in one question.
const MAX_FEATURES_IN_QUESTION: usize = 64;
/// Time for which a crash counts, in milliseconds.
const EVIDENCE_MS: u64 = 600_000;
/// Time after the last report of a crash within which a decision may be due, in
/// milliseconds.
const DECISION_TIME_MS: u64 = 2_000;
/// Quarantine of requests of which only one is harmful, in milliseconds. After it the sound
/// ones are served, and the harmful one is found at its next crash.
const UNCERTAIN_QUARANTINE_MS: u64 = 60_000;
/// Most crashes kept; the oldest are forgotten first.
const MAX_CRASHES: usize = 512;
/// Most requests kept of all crashes together.
const MAX_REQUESTS: usize = 16_384;

/// Crashes of workers, and when the features that were in flight were served.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    crashes: Vec<Crash>,
    served_ms: BTreeMap<u64, u64>,
    asked: BTreeMap<u64, Asked>,
    last_recorded_ms: Option<u64>,
}

impl CrashEvidence {
    /// Records a crash. Several hosts may report the same one, each with its own requests, and
    /// a host may report it again. Returns whether something about it was unknown.
    pub fn record(&mut self, now_ms: u64, crash: ConfirmedCrash) -> bool {
        let same = self.crashes.iter_mut().filter(|known| known.is_same(&crash));
        if let Some(known) = same.min_by_key(|known| known.distance_ms(&crash)) {
            if !known.merge(now_ms, crash) {
                return false;
            }
        } else {
            self.crashes.push(Crash::new(now_ms, crash));
        }
        self.last_recorded_ms = Some(now_ms);
        while self.crashes.len() > MAX_CRASHES || self.request_count() > MAX_REQUESTS {
            self.forget_oldest();
        }
        true
    }

    /// Adds crashes that were recorded before the process started. Those that were the newest
    /// then count as reported now: it may have ended before the decision on them.
    pub fn restore(&mut self, now_ms: u64, crashes: impl IntoIterator<Item = ConfirmedCrash>) {
        let crashes: Vec<ConfirmedCrash> = crashes.into_iter().collect();
        let newest_ms = crashes.iter().map(|crash| crash.at_ms).max().unwrap_or_default();
        for crash in crashes {
            let is_undecided = crash.at_ms + DECISION_TIME_MS >= newest_ms;
            let reported_ms = if is_undecided { now_ms } else { crash.at_ms };
            self.record(reported_ms, crash);
        }
        self.last_recorded_ms = self.crashes.iter().map(|crash| crash.reported_ms).max();
    }

    /// The crashes, for a host that may not know of them.
    pub fn crashes(&self) -> impl Iterator<Item = ConfirmedCrash> + '_ {
        self.crashes.iter().map(Crash::to_confirmed)
    }

    /// The features that were in flight at crashes and that hosts have served, each with the
    /// time at which it was last served.
    pub fn served(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.served_ms.iter().map(|(feature, served_ms)| (*feature, *served_ms))
    }

    /// Whether a crash was recorded so recently that a decision may be due.
    pub fn is_decision_due(&self, now_ms: u64) -> bool {
        self.last_recorded_ms.is_some_and(|ms| ms + DECISION_TIME_MS >= now_ms)
    }

    /// Records that a request with a feature was served.
    pub fn record_served(&mut self, feature: u64, at_ms: u64) {
        if self.crashes.iter().any(|crash| crash.has(feature)) {
            let served_ms = self.served_ms.entry(feature).or_default();
            *served_ms = at_ms.max(*served_ms);
        }
    }

    /// What hosts have to be asked now, features in most crashes first.
    pub fn take_question(&mut self, now_ms: u64, quarantine: &Quarantine) -> Question {
        let mut due = self.suspects(now_ms, quarantine);
        due.retain(|suspect| self.is_question_due(now_ms, suspect));
        due.sort_by_key(|suspect| std::cmp::Reverse(suspect.crashes.len()));
        due.truncate(MAX_FEATURES_IN_QUESTION);
        for suspect in &due {
            let before = self.last_asked(now_ms, suspect);
            let before_ms = before.and_then(|asked| asked.enough_since_ms);
            let asked = Asked {
                asked_ms: now_ms,
                crashes: suspect.crashes.len(),
                last_crash: suspect.crashes.last().copied(),
                was_served: suspect.was_served,
                enough_since_ms: suspect.has_enough_crashes().then(|| before_ms.unwrap_or(now_ms)),
            };
            self.asked.insert(suspect.feature, asked);
        }
        let suspected = due.iter().filter(|it| it.crashes.len() >= MIN_CRASHES_TO_SUSPECT);
        Question {
            suspected: suspected.map(|suspect| suspect.feature).collect(),
            features: due.iter().map(|suspect| suspect.feature).collect(),
        }
    }

    /// What hosts were asked so recently that an answer still counts, for a host that may not have
    /// got the question.
    pub fn open_question(&self, now_ms: u64) -> Question {
        let is_open = |asked: &Asked| asked.asked_ms + ANSWER_TIME_MS > now_ms;
        let open = || self.asked.iter().filter(|(_, asked)| is_open(asked));
        let suspected = open().filter(|(_, asked)| asked.crashes >= MIN_CRASHES_TO_SUSPECT);
        Question {
            suspected: suspected.map(|(feature, _)| *feature).collect(),
            features: open().map(|(feature, _)| *feature).collect(),
        }
    }

    /// What has to be quarantined now: the feature that was in flight at the most crashes,
    /// with those that the same requests had at each of them. A content that several
    /// callers send comes after the requests of each. Where several requests were in flight
    /// at the same crashes, each of them is quarantined, for a shorter time.
    pub fn decide(&self, now_ms: u64, quarantine: &Quarantine) -> Vec<Verdict> {
        let suspects = self.suspects(now_ms, quarantine);
        let is_decided =
            |suspect: &&Suspect| suspect.has_enough_crashes() && self.is_answered(now_ms, suspect);
        let decided = || suspects.iter().filter(is_decided);
        let rank = |suspect: &Suspect| {
            let kind = suspect.kind;
            (!suspect.was_served, kind != FeatureKind::Content, suspect.crashes.len(), kind)
        };
        let Some(worst) = decided().max_by_key(|suspect| rank(suspect)) else {
            return Vec::new();
        };
        let alike = decided()
            .filter(|suspect| rank(suspect) == rank(worst) && suspect.crashes == worst.crashes);
        let sets: BTreeSet<BTreeSet<u64>> =
            alike.map(|suspect| self.inseparable(suspect, &suspects)).collect();
        let is_narrowest = |set: &&BTreeSet<u64>| {
            !sets.iter().any(|other| other.len() > set.len() && other.is_superset(set))
        };
        let sets: Vec<&BTreeSet<u64>> = sets.iter().filter(is_narrowest).collect();
        let duration_ms = if sets.len() > 1 { UNCERTAIN_QUARANTINE_MS } else { QUARANTINE_MS };
        sets.into_iter().map(|set| Verdict { features: set.clone(), duration_ms }).collect()
    }

    /// Time of the last crash at which a request with all of some features was in flight, in
    /// milliseconds.
    pub fn last_crash_ms(&self, features: &BTreeSet<u64>) -> Option<u64> {
        self.crashes_with(features).map(|crash| crash.at_ms).max()
    }

    /// Time of the last such crash within whose instant no other worker crashed.
    pub fn last_lone_crash_ms(&self, features: &BTreeSet<u64>) -> Option<u64> {
        let is_lone =
            |crash: &&Crash| !self.crashes.iter().any(|other| other.is_simultaneous(crash));
        self.crashes_with(features).filter(is_lone).map(|crash| crash.at_ms).max()
    }

    fn crashes_with<'a>(&'a self, features: &'a BTreeSet<u64>) -> impl Iterator<Item = &'a Crash> {
        let has_all =
            |crash: &&Crash| crash.requests.iter().any(|request| request.contains_all(features));
        self.crashes.iter().filter(has_all)
    }

    /// Forgets old crashes, and what is known of features that are in no crash any more.
    pub fn remove_old(&mut self, now_ms: u64) {
        self.crashes.retain(|crash| crash.at_ms + EVIDENCE_MS >= now_ms);
        let requests = self.crashes.iter().flat_map(|crash| &crash.requests);
        let features: BTreeSet<u64> = requests.flat_map(|request| request.iter()).collect();
        self.served_ms.retain(|feature, _| features.contains(feature));
        self.asked.retain(|feature, _| features.contains(feature));
    }

    /// The features that were in flight at crashes which were reported lately, with all
    /// their crashes since they were last served, if these are enough for a question and at
    /// least one is unexplained.
    fn suspects(&self, now_ms: u64, quarantine: &Quarantine) -> Vec<Suspect> {
        let recent =
            self.crashes.iter().filter(|crash| crash.reported_ms + DECISION_TIME_MS >= now_ms);
        let mut suspects: BTreeMap<u64, Suspect> = BTreeMap::new();
        for request in recent.flat_map(|crash| &crash.requests) {
            for (feature, kind) in request.kinds() {
                let was_served = self.served_ms.contains_key(&feature);
                let new = || Suspect::new(feature, kind, was_served);
                suspects.entry(feature).or_insert_with(new);
            }
        }
        for (index, crash) in self.crashes.iter().enumerate() {
            let testimony = crash.testimony(quarantine);
            for feature in crash.requests.iter().flat_map(|request| request.iter()) {
                let is_served_since =
                    self.served_ms.get(&feature).is_some_and(|ms| *ms > crash.at_ms);
                let Some(suspect) = suspects.get_mut(&feature).filter(|_| !is_served_since) else {
                    continue;
                };
                match &testimony {
                    Testimony::Unexplained => suspect.add_unexplained(index),
                    Testimony::Explained(causes) if causes.contains(&feature) => {
                        suspect.add_explained(index);
                    }
                    Testimony::Explained(_) => (),
                }
            }
        }
        suspects
            .into_values()
            .filter(|suspect| {
                suspect.has_unexplained && suspect.crashes.len() >= MIN_CRASHES_TO_ASK
            })
            .collect()
    }

    /// A suspect with the features that a request had together with it at each of its
    /// crashes, so that the crashes can't tell them apart.
    fn inseparable(&self, suspect: &Suspect, suspects: &[Suspect]) -> BTreeSet<u64> {
        let is_inseparable = |other: &&Suspect| {
            (suspect.was_served || !other.was_served)
                && other.crashes.is_superset(&suspect.crashes)
                && suspect
                    .crashes
                    .iter()
                    .all(|index| self.crashes[*index].has_together(suspect.feature, other.feature))
        };
        suspects.iter().filter(is_inseparable).map(|other| other.feature).collect()
    }

    fn is_question_due(&self, now_ms: u64, suspect: &Suspect) -> bool {
        self.last_asked(now_ms, suspect).is_none_or(|asked| {
            let is_changed = asked.crashes != suspect.crashes.len()
                || asked.last_crash != suspect.crashes.last().copied();
            is_changed && asked.asked_ms + QUESTION_INTERVAL_MS <= now_ms
        })
    }

    /// When hosts were last asked about a feature, unless the answers have changed how many
    /// crashes are needed. What hosts answered to an older question says nothing about the time
    /// since.
    fn last_asked(&self, now_ms: u64, suspect: &Suspect) -> Option<&Asked> {
        let asked = self.asked.get(&suspect.feature);
        asked.filter(|asked| {
            asked.was_served == suspect.was_served && asked.asked_ms + DECISION_TIME_MS >= now_ms
        })
    }

    /// Whether hosts had time to answer the question about a feature that has enough crashes.
    fn is_answered(&self, now_ms: u64, suspect: &Suspect) -> bool {
        let since_ms = self.last_asked(now_ms, suspect).and_then(|asked| asked.enough_since_ms);
        since_ms.is_some_and(|since_ms| since_ms + ANSWER_TIME_MS <= now_ms)
    }

    fn request_count(&self) -> usize {
        self.crashes.iter().map(|crash| crash.requests.len()).sum()
    }

    fn forget_oldest(&mut self) {
        let oldest = self.crashes.iter().enumerate().min_by_key(|(_, crash)| crash.at_ms);
        if let Some(index) = oldest.map(|(index, _)| index) {
            self.crashes.swap_remove(index);
        }
    }
}
