//! Sends a plan, open-loop.
//!
//! Each arrival is sent at its time, however late the answers before it are.
//! Times count from the planned time, so that a slow sender is not hidden.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anvillift_schema::name::Name;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use super::arrival::Arrival;
use super::caller::Caller;
use super::tally::{Seen, Tally};

const MICROS_PER_MS: u64 = 1000;
/// Answers still open this long after the last arrival are left unfinished.
const LONGEST_TAIL_MS: u64 = 6_000;

/// Called with each answer that is counted.
pub type OnSeen = Box<dyn Fn(&Arrival, &Seen) + Send + Sync>;

/// Where and how a plan is sent.
pub struct DriveSettings {
    /// Base URLs of entry hosts by region.
    pub hosts: BTreeMap<Name, Vec<String>>,
    /// Who sends.
    pub caller: Caller,
    /// Arrivals before this are not counted.
    pub warm_up: Duration,
    /// Objective for the first token by service.
    pub first_token_target_ms: BTreeMap<Name, u32>,
    /// For measures of the experiment's own.
    pub on_seen: OnSeen,
}

/// Sends all arrivals and waits for their answers, for a limited time.
pub async fn drive(settings: DriveSettings, plan: Vec<Arrival>) -> Tally {
    let settings = Arc::new(settings);
    let tally = Arc::new(Mutex::new(Tally::default()));
    let started = Instant::now();
    let (end_tx, end) = watch::channel(false);
    let mut answers = JoinSet::new();
    for arrival in plan {
        let due = started + arrival.at;
        time::sleep_until(due).await;
        answers.spawn(send_one(
            Arc::clone(&settings),
            arrival,
            due,
            end.clone(),
            Arc::clone(&tally),
        ));
        while answers.try_join_next().is_some() {}
    }
    let all = async { while answers.join_next().await.is_some() {} };
    if time::timeout(Duration::from_millis(LONGEST_TAIL_MS), all).await.is_err() {
        end_tx.send_replace(true);
        while answers.join_next().await.is_some() {}
    }
    let tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
    tally.clone()
}

async fn send_one(
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
    let seen = settings.caller.send(host, &arrival, due, end).await;
    if arrival.at < settings.warm_up {
        return;
    }
    let target_ms = settings.first_token_target_ms.get(&arrival.service).copied().unwrap_or(0);
    let target_us = u64::from(target_ms) * MICROS_PER_MS;
    let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
    tally.classes.entry(arrival.class.clone()).or_default().add(&seen, target_us);
    drop(tally);
    (settings.on_seen)(&arrival, &seen);
}
