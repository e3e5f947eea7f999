//! Load samples and cache events of an engine, reported after a lag and with some
//! events dropped.
//!
//! [`Reporter::sample`] is called at short intervals and stores a load sample
//! and the cache events; [`Reporter::announcement`] includes only those that are
//! older than the configured lag.

use std::collections::VecDeque;
use std::time::{SystemTime, UNIX_EPOCH};

use anvillift_schema::name::Name;
use anvillift_schema::upstream::{Announcement, CacheEvent, UpstreamLoad};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::batch::Batch;
use super::cache::CacheChange;
use super::settings::EngineSettings;

const MILLI: u64 = 1000;

/// Stores load samples and cache events until their lag has passed.
pub struct Reporter {
    settings: EngineSettings,
    url: String,
    incarnation: u64,
    samples: VecDeque<UpstreamLoad>,
    events: VecDeque<(u64, CacheEvent)>,
    rng: SmallRng,
    last_answer_tokens: u64,
}

impl Reporter {
    /// Creates a reporter for an engine that listens at `url`.
    pub fn new(settings: EngineSettings, url: String) -> Self {
        let rng = SmallRng::seed_from_u64(settings.seed);
        Self {
            url,
            incarnation: new_incarnation(),
            samples: VecDeque::new(),
            events: VecDeque::new(),
            rng,
            last_answer_tokens: 0,
            settings,
        }
    }

    /// Stores a load sample and the cache changes since the last one.
    ///
    /// A random share of the changes is dropped, as set by
    /// `cache_event_loss_milli`.
    pub fn sample(&mut self, now_ms: u64, batch: &mut Batch) {
        let answer_tokens = batch.totals().answer_tokens;
        let interval_ms = self.samples.back().map_or(0, |last| now_ms - last.sampled_ms);
        let generated_tokens = answer_tokens - self.last_answer_tokens;
        self.last_answer_tokens = answer_tokens;
        self.samples.push_back(UpstreamLoad {
            running_requests: batch.running_requests() as u32,
            queued_requests: batch.queued_requests() as u32,
            queued_tokens: batch.queued_tokens(),
            token_rate_milli: generated_tokens * MILLI * MILLI / interval_ms.max(1),
            prefill_rate_tokens_per_s: self.settings.batch.prefill_rate_tokens_per_s,
            max_running_requests: self.settings.batch.max_running_requests,
            sampled_ms: now_ms,
        });
        for change in batch.cache_mut().take_changes() {
            if self.rng.random_range(0..1000) >= self.settings.cache_event_loss_milli {
                self.events.push_back((now_ms, event(&change)));
            }
        }
    }

    /// Builds the announcement for `now_ms` from samples and events that are older
    /// than their lag.
    pub fn announcement(
        &mut self,
        now_ms: u64,
        sequence: u64,
        leaving: bool,
        models: Vec<Name>,
    ) -> Announcement {
        Announcement {
            upstream: self.settings.name.clone(),
            incarnation: self.incarnation,
            sequence,
            service: self.settings.service.clone(),
            url: self.url.clone(),
            models,
            checks_fencing: self.settings.checks_fencing,
            can_resume: self.settings.can_resume,
            leaving,
            load: self.lagged_load(now_ms),
            cache_events: self.due_events(now_ms),
        }
    }

    fn lagged_load(&mut self, now_ms: u64) -> UpstreamLoad {
        let newest_reported_ms = now_ms.saturating_sub(self.settings.load_lag_ms);
        while self.samples.len() > 1 && self.samples[1].sampled_ms <= newest_reported_ms {
            self.samples.pop_front();
        }
        self.samples.front().cloned().unwrap_or_default()
    }

    fn due_events(&mut self, now_ms: u64) -> Vec<CacheEvent> {
        let newest_reported_ms = now_ms.saturating_sub(self.settings.cache_event_lag_ms);
        let due = self.events.iter().take_while(|(at_ms, _)| *at_ms <= newest_reported_ms).count();
        self.events.drain(..due).map(|(_, event)| event).collect()
    }
}

/// Incarnation number that grows with every start, taken from the system clock.
pub fn new_incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since| since.as_micros() as u64)
}

fn event(change: &CacheChange) -> CacheEvent {
    let hex = |blocks: &[u64]| blocks.iter().map(|block| format!("{block:016x}")).collect();
    CacheEvent {
        sequence: change.sequence,
        stored: hex(&change.stored),
        evicted: hex(&change.evicted),
    }
}
