//! What a gateway adds to each token and to a short request.
//!
//! Many streams at once are asked of one engine directly, then through one
//! host, in the same run; the difference is what the host adds. Start at
//! [`run`].

use std::collections::BTreeMap;
use std::time::Duration;

use anvillift_schema::configuration::{Profile, ServiceKind};
use anvillift_schema::name::Name;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use crate::engine::BatchSettings;
use crate::error::BenchError;
use crate::fleet::keys;
use crate::fleet::relay::PipeSettings;
use crate::load::arrival::Arrival;
use crate::load::caller::Caller;
use crate::load::experiment::{ClassKind, Experiment, Region, Service, Workers};
use crate::load::tally::{ClassTally, Ending};
use crate::trial::stage::{Stage, StageSettings};

const MODEL: &str = "tokens";
const PLAIN: &str = "readings";
const REGION: &str = "only";
const STEP_US: u64 = 25_000;
const MILLI: u64 = 1000;
const READINGS: u64 = 2_000;
const READING_GAP_MS: u64 = 5;
/// Streams are opened over this time, so that connecting is not measured at once.
const OPENING_MS: u64 = 3_000;
const TARGET_US: u64 = 1_200_000;

/// What is measured.
#[derive(Clone, Debug)]
pub struct DataPathSettings {
    /// Streams at once.
    pub streams: u32,
    /// Length of each, in tokens; 40 a second.
    pub stream_tokens: u32,
}

impl Default for DataPathSettings {
    fn default() -> Self {
        Self { streams: 4_000, stream_tokens: 400 }
    }
}

/// What was measured.
#[derive(Clone, Debug, Default)]
pub struct DataPathOutcome {
    /// Streams of the engine asked directly.
    pub direct: ClassTally,
    /// Streams through the host.
    pub through: ClassTally,
    /// Readings of the service asked directly.
    pub direct_readings: ClassTally,
    /// Readings through the host.
    pub through_readings: ClassTally,
    /// Tokens a second through the host while all streams were open.
    pub tokens_per_s: f64,
}

/// Measures both ways.
pub async fn run(settings: &DataPathSettings) -> Result<DataPathOutcome, BenchError> {
    let experiment = experiment(settings.streams);
    let stage = Stage::start(StageSettings { experiment, ..StageSettings::default() }).await?;
    let host = stage.fleet().layout().urls(&Name::from(REGION)).remove(0);
    let caller = Caller::new(keys::CALLER_KEY)?;
    // An upstream answers at its root what a host answers below the service.
    let engine = stage.engine_urls().remove(0);
    let plain = stage.plain_urls().remove(0);
    let direct_readings = readings(&caller.direct(), &plain).await;
    let through_readings = readings(&caller, &host).await;
    let direct = streams(&caller.direct(), &engine, settings).await;
    let started = Instant::now();
    let through = streams(&caller, &host, settings).await;
    let open_s = (started.elapsed().as_millis() as u64).saturating_sub(OPENING_MS) as f64 / 1000.0;
    stage.stop().await;
    let tokens_per_s = through.gaps.count() as f64 / open_s.max(1.0);
    Ok(DataPathOutcome { direct, through, direct_readings, through_readings, tokens_per_s })
}

async fn streams(caller: &Caller, url: &str, settings: &DataPathSettings) -> ClassTally {
    let pause = Duration::from_micros(OPENING_MS * MILLI / u64::from(settings.streams.max(1)));
    let ask =
        Arrival { answer_tokens: settings.stream_tokens, ..arrival(ClassKind::Question, MODEL) };
    send_all(caller, url, &ask, u64::from(settings.streams), pause).await
}

async fn readings(caller: &Caller, url: &str) -> ClassTally {
    let ask = arrival(ClassKind::Reading, PLAIN);
    send_all(caller, url, &ask, READINGS, Duration::from_millis(READING_GAP_MS)).await
}

async fn send_all(
    caller: &Caller,
    url: &str,
    ask: &Arrival,
    count: u64,
    pause: Duration,
) -> ClassTally {
    let (_end_tx, end) = tokio::sync::watch::channel(false);
    let started = Instant::now();
    let mut answers = JoinSet::new();
    for number in 0..count {
        let due = started + pause * number as u32;
        time::sleep_until(due).await;
        let (caller, url, end) = (caller.clone(), url.to_owned(), end.clone());
        let ask = Arrival { number, ..ask.clone() };
        answers.spawn(async move { caller.send(&url, &ask, Instant::now(), end).await });
    }
    let mut tally = ClassTally::default();
    while let Some(answer) = answers.join_next().await {
        if let Ok(seen) = answer {
            tally.add(&seen, TARGET_US);
            debug_assert!(seen.ending != Ending::Unfinished);
        }
    }
    tally
}

fn arrival(kind: ClassKind, service: &str) -> Arrival {
    Arrival {
        at: Duration::ZERO,
        number: 0,
        region: Name::from(REGION),
        class: Name::from(service),
        kind,
        service: Name::from(service),
        history: 0,
        history_tokens: 0,
        question_tokens: 16,
        answer_tokens: 1,
        deadline_ms: 120_000,
        seed: 1,
    }
}

fn experiment(streams: u32) -> Experiment {
    let service = |name: &str, kind| Service {
        name: Name::from(name),
        kind,
        profile: Profile { name: Name::from(name), ..Profile::default() },
    };
    let workers = |service: &str, batch| Workers {
        service: Name::from(service),
        region: Name::from(REGION),
        count: 1,
        batch,
        cache_blocks: 1,
    };
    let batch = BatchSettings {
        max_running_requests: streams * 2,
        max_queued_requests: streams * 2,
        step_base_us: STEP_US,
        step_per_sequence_us: 0,
        prefill_rate_tokens_per_s: 100_000_000,
        prefill_chunk_tokens: 1_000_000,
        ..BatchSettings::default()
    };
    Experiment {
        name: Name::from("data-path"),
        regions: vec![Region {
            name: Name::from(REGION),
            data_centre: Name::from("only-a"),
            hosts: 1,
            share_milli: 1000,
        }],
        link: PipeSettings::default(),
        services: vec![service(MODEL, ServiceKind::Model), service(PLAIN, ServiceKind::Plain)],
        workers: vec![workers(MODEL, batch), workers(PLAIN, BatchSettings::default())],
        ..Experiment::default()
    }
}

impl DataPathOutcome {
    /// Lines that tell the figures and the targets.
    pub fn lines(&self) -> Vec<String> {
        let gap = |tally: &ClassTally| tally.gaps.percentile_ms(99.0);
        let whole = |tally: &ClassTally| tally.first.percentile_ms(99.0);
        let added_gap_ms = gap(&self.through) - gap(&self.direct);
        let added_ms = whole(&self.through_readings) - whole(&self.direct_readings);
        vec![
            format!(
                "streams: {} whole of {} through the host, {:.0} tokens a second",
                self.through.whole, self.through.sent, self.tokens_per_s
            ),
            format!(
                "between tokens, p99: {:.2} ms direct, {:.2} ms through, {added_gap_ms:.2} ms added: {}",
                gap(&self.direct),
                gap(&self.through),
                word(added_gap_ms <= 2.0 && self.tokens_per_s >= 160_000.0)
            ),
            format!(
                "short request, p99: {:.2} ms direct, {:.2} ms through, {added_ms:.2} ms added: {}",
                whole(&self.direct_readings),
                whole(&self.through_readings),
                word(added_ms <= 1.0)
            ),
        ]
    }

    /// Endings other than whole, by name, with the codes of refusals.
    pub fn failures(&self) -> BTreeMap<String, u64> {
        let named = [
            ("direct", &self.direct),
            ("through", &self.through),
            ("direct readings", &self.direct_readings),
            ("through readings", &self.through_readings),
        ];
        let failures = named.into_iter().map(|(name, tally)| {
            (format!("{name}, refused by code {:?}", tally.codes), tally.sent - tally.whole)
        });
        failures.collect()
    }
}

fn word(met: bool) -> &'static str {
    if met { "met" } else { "MISSED" }
}
