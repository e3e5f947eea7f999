//! Finds the parts of prompts that crash workers.
//!
//! When a worker crashes, the prompts in flight there are known, harmful and sound ones.
//! A harmful part was in flight at each of many crashes and was never served since, while
//! sound parts that share workers with it are served again and again. A part is
//! quarantined after [`MIN_CRASHES`] crashes since it was last served, or after more of
//! them if it was ever served. Hosts are asked when they last served it before that is
//! decided. A crash at which a quarantined part was in flight is explained by it and
//! says nothing about other parts.

use std::collections::{BTreeMap, BTreeSet};

use crate::broken_requests::ConfirmedCrash;
use crate::quarantine::Quarantine;
use crate::worker_notices::WorkerStart;

/// Crashes after which a part that was never served is quarantined.
const MIN_CRASHES: usize = 4;
/// Crashes after which a part that was served before them is quarantined. Sound parts
/// of many prompts are in flight at most crashes.
const MIN_CRASHES_IF_SERVED: usize = 6;
/// Crashes from which on hosts are asked about a part.
const MIN_CRASHES_TO_ASK: usize = 2;
/// Time that hosts have to answer, in milliseconds.
const ANSWER_TIME_MS: u64 = 300;
/// Shortest time between two questions about a part, in milliseconds.
const QUESTION_INTERVAL_MS: u64 = 250;
/// Most parts in one question.
const MAX_PARTS_IN_QUESTION: usize = 64;
/// Time between two crashes of a worker from which on they are distinct, also if no report
/// has told of the start between them, in milliseconds.
const DISTINCT_CRASHES_MS: u64 = 1_000;
/// Time for which a crash counts, in milliseconds.
const EVIDENCE_MS: u64 = 600_000;
/// Time after the last crash within which a decision may be due, in milliseconds.
const DECISION_TIME_MS: u64 = 2_000;
/// Most crashes kept; the oldest are forgotten first.
const MAX_CRASHES: usize = 512;
/// Most parts kept of one crash.
const MAX_PARTS_PER_CRASH: usize = 256;

#[derive(Clone, Debug)]
struct Crash {
    worker: WorkerStart,
    at_ms: u64,
    parts: BTreeSet<u64>,
}

/// The last question about a part.
#[derive(Clone, Copy, Debug)]
struct Question {
    asked_ms: u64,
    /// Crashes since it was last served, when it was asked.
    crashes: usize,
    /// Whether it was known then that the part was ever served.
    was_served: bool,
    /// Time of the first question at which the part had enough crashes to be quarantined.
    enough_since_ms: Option<u64>,
}

/// A part with the crashes since it was last served.
#[derive(Clone, Debug)]
struct Suspect {
    part: u64,
    was_served: bool,
    /// Indices of the crashes.
    crashes: BTreeSet<usize>,
}

impl Suspect {
    fn has_enough_crashes(&self) -> bool {
        let needed = if self.was_served { MIN_CRASHES_IF_SERVED } else { MIN_CRASHES };
        self.crashes.len() >= needed
    }
}

/// Crashes of workers, and when the parts that were in flight were served.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    crashes: Vec<Crash>,
    served_ms: BTreeMap<u64, u64>,
    questions: BTreeMap<u64, Question>,
    last_recorded_ms: Option<u64>,
}

impl CrashEvidence {
    /// Records a crash. Several hosts may report the same one, each with its own prompts.
    pub fn record(&mut self, now_ms: u64, crash: ConfirmedCrash) {
        self.last_recorded_ms = Some(now_ms);
        let is_same = |known: &&mut Crash| {
            known.worker == crash.worker && known.at_ms.abs_diff(crash.at_ms) < DISTINCT_CRASHES_MS
        };
        if let Some(known) = self.crashes.iter_mut().find(is_same) {
            known.at_ms = known.at_ms.min(crash.at_ms);
            let free = MAX_PARTS_PER_CRASH.saturating_sub(known.parts.len());
            known.parts.extend(crash.parts.into_iter().take(free));
        } else {
            let parts = crash.parts.into_iter().take(MAX_PARTS_PER_CRASH).collect();
            self.crashes.push(Crash { worker: crash.worker, at_ms: crash.at_ms, parts });
        }
        while self.crashes.len() > MAX_CRASHES {
            self.forget_oldest();
        }
    }

    /// Whether a crash was recorded so recently that a decision may be due.
    pub fn is_decision_due(&self, now_ms: u64) -> bool {
        self.last_recorded_ms.is_some_and(|ms| ms + DECISION_TIME_MS >= now_ms)
    }

    /// Records that a prompt with a part was served.
    pub fn record_served(&mut self, part: u64, at_ms: u64) {
        if self.crashes.iter().any(|crash| crash.parts.contains(&part)) {
            let served_ms = self.served_ms.entry(part).or_default();
            *served_ms = at_ms.max(*served_ms);
        }
    }

    /// Parts about which hosts have to be asked now.
    pub fn take_questions(&mut self, now_ms: u64, quarantine: &Quarantine) -> Vec<u64> {
        let suspects = self.suspects(quarantine);
        let due = suspects.iter().filter(|suspect| self.is_question_due(now_ms, suspect));
        let due: Vec<&Suspect> = due.take(MAX_PARTS_IN_QUESTION).collect();
        for suspect in &due {
            let before = self.last_question(suspect);
            let before_ms = before.and_then(|question| question.enough_since_ms);
            let question = Question {
                asked_ms: now_ms,
                crashes: suspect.crashes.len(),
                was_served: suspect.was_served,
                enough_since_ms: suspect.has_enough_crashes().then(|| before_ms.unwrap_or(now_ms)),
            };
            self.questions.insert(suspect.part, question);
        }
        due.iter().map(|suspect| suspect.part).collect()
    }

    /// The parts to be quarantined now, if there are any: one that was in flight at the
    /// most crashes, with those that were in flight at each of these crashes too.
    pub fn decide(&self, now_ms: u64, quarantine: &Quarantine) -> Option<BTreeSet<u64>> {
        let suspects = self.suspects(quarantine);
        let is_decided =
            |suspect: &&Suspect| suspect.has_enough_crashes() && self.is_answered(now_ms, suspect);
        let worst = suspects
            .iter()
            .filter(is_decided)
            .max_by_key(|suspect| (!suspect.was_served, suspect.crashes.len()))?;
        let is_alike = |other: &&Suspect| {
            other.crashes.is_superset(&worst.crashes) && (worst.was_served || !other.was_served)
        };
        Some(suspects.iter().filter(is_alike).map(|suspect| suspect.part).collect())
    }

    /// Forgets old crashes, and what is known of parts that are in no crash any more.
    pub fn remove_old(&mut self, now_ms: u64) {
        self.crashes.retain(|crash| crash.at_ms + EVIDENCE_MS >= now_ms);
        let parts: BTreeSet<u64> =
            self.crashes.iter().flat_map(|crash| crash.parts.iter().copied()).collect();
        self.served_ms.retain(|part, _| parts.contains(part));
        self.questions.retain(|part, _| parts.contains(part));
    }

    /// The parts with [`MIN_CRASHES_TO_ASK`] or more crashes that nothing explains, since
    /// they were last served.
    fn suspects(&self, quarantine: &Quarantine) -> Vec<Suspect> {
        let mut by_part: BTreeMap<u64, BTreeSet<usize>> = BTreeMap::new();
        let unexplained =
            self.crashes.iter().enumerate().filter(|(_, crash)| !quarantine.explains(&crash.parts));
        for (index, crash) in unexplained {
            let is_served_since =
                |part: &&u64| self.served_ms.get(part).is_some_and(|ms| *ms > crash.at_ms);
            for part in crash.parts.iter().filter(|part| !is_served_since(part)) {
                by_part.entry(*part).or_default().insert(index);
            }
        }
        by_part
            .into_iter()
            .filter(|(_, crashes)| crashes.len() >= MIN_CRASHES_TO_ASK)
            .map(|(part, crashes)| {
                let was_served = self.served_ms.contains_key(&part);
                Suspect { part, was_served, crashes }
            })
            .collect()
    }

    fn is_question_due(&self, now_ms: u64, suspect: &Suspect) -> bool {
        self.last_question(suspect).is_none_or(|question| {
            question.crashes != suspect.crashes.len()
                && question.asked_ms + QUESTION_INTERVAL_MS <= now_ms
        })
    }

    /// The last question about a part, unless the answers have changed how many crashes
    /// are needed.
    fn last_question(&self, suspect: &Suspect) -> Option<&Question> {
        let question = self.questions.get(&suspect.part);
        question.filter(|question| question.was_served == suspect.was_served)
    }

    /// Whether hosts had time to answer the question about a part that has enough crashes.
    fn is_answered(&self, now_ms: u64, suspect: &Suspect) -> bool {
        let question = self.last_question(suspect);
        let since_ms = question.and_then(|question| question.enough_since_ms);
        since_ms.is_some_and(|since_ms| since_ms + ANSWER_TIME_MS <= now_ms)
    }

    fn forget_oldest(&mut self) {
        let oldest = self.crashes.iter().enumerate().min_by_key(|(_, crash)| crash.at_ms);
        if let Some(index) = oldest.map(|(index, _)| index) {
            self.crashes.swap_remove(index);
        }
    }
}
