//! Open-loop sender of a plan.
//!
//! [`drive`] sends each request at its planned time, even when earlier answers are
//! late. Latencies count from the planned time, so delays of the sender itself are
//! included.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anvillift_schema::name::Name;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use super::arrival::Arrival;
use super::caller::Caller;
use super::tally::{AnswerRecord, Tally};

const MICROS_PER_MS: u64 = 1000;
/// Answers that are still open this long after the last request was sent are
/// recorded as unfinished.
const ANSWER_GRACE_MS: u64 = 6_000;

/// Callback for each answer after the warm-up.
pub type OnAnswer = Box<dyn Fn(&Arrival, &AnswerRecord) + Send + Sync>;

/// Target hosts, caller and measuring options of a load run.
pub struct DriveSettings {
    /// Base URLs of entry hosts by region; requests alternate between them.
    pub hosts: BTreeMap<Name, Vec<String>>,
    /// Client that sends the requests.
    pub caller: Caller,
    /// Requests planned before this time are sent but not counted.
    pub warm_up: Duration,
    /// Target time to the first token by service, in milliseconds.
    pub first_token_target_ms: BTreeMap<Name, u32>,
    /// Callback for measurements beyond the tally.
    pub on_answer: OnAnswer,
}

/// Sends all requests and waits for their answers, at most 6 s after the last one.
pub async fn drive(settings: DriveSettings, plan: Vec<Arrival>) -> Tally {
    let settings = Arc::new(settings);
    let tally = Arc::new(Mutex::new(Tally::default()));
    let started = Instant::now();
    let (end_tx, end) = watch::channel(false);
    let mut answers = JoinSet::new();
    for arrival in plan {
        let due = started + arrival.at;
        time::sleep_until(due).await;
        answers.spawn(send_and_record(
            Arc::clone(&settings),
            arrival,
            due,
            end.clone(),
            Arc::clone(&tally),
        ));
        while answers.try_join_next().is_some() {}
    }
    let all_answers = async { while answers.join_next().await.is_some() {} };
    if time::timeout(Duration::from_millis(ANSWER_GRACE_MS), all_answers).await.is_err() {
        end_tx.send_replace(true);
        while answers.join_next().await.is_some() {}
    }
    let tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
    tally.clone()
}

async fn send_and_record(
    settings: Arc<DriveSettings>,
    arrival: Arrival,
    due: Instant,
    end: watch::Receiver<bool>,
    tally: Arc<Mutex<Tally>>,
) {
    let hosts = settings.hosts.get(&arrival.region).map_or(&[][..], Vec::as_slice);
    if hosts.is_empty() {
        return;
    }
    let host = &hosts[arrival.number as usize % hosts.len()];
    let record = settings.caller.send(host, &arrival, due, end).await;
    if arrival.at < settings.warm_up {
        return;
    }
    let target_ms = settings.first_token_target_ms.get(&arrival.service).copied().unwrap_or(0);
    let target_us = u64::from(target_ms) * MICROS_PER_MS;
    let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
    tally.classes.entry(arrival.class.clone()).or_default().add(&record, target_us);
    drop(tally);
    (settings.on_answer)(&arrival, &record);
}
