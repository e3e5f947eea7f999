//! Latency that an entry host adds to each token and to a short request.
//!
//! [`run`] starts one host, one engine and one plain service. It sends the same
//! requests directly to the stand-ins and then through the host; the difference
//! is the latency that the host adds.

use std::collections::BTreeMap;
use std::time::Duration;

use anvillift_schema::configuration::{Profile, ServiceKind};
use anvillift_schema::name::Name;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use crate::engine::BatchSettings;
use crate::error::BenchError;
use crate::fleet::keys;
use crate::fleet::relay::LinkDirectionSettings;
use crate::load::arrival::Arrival;
use crate::load::caller::Caller;
use crate::load::experiment::{ClassKind, Experiment, Region, Service, Workers};
use crate::load::tally::{AnswerStatus, ClassTally};
use crate::trial::testbed::{Testbed, TestbedSettings};

const MODEL_SERVICE: &str = "tokens";
const PLAIN_SERVICE: &str = "readings";
const REGION: &str = "only";
const STEP_US: u64 = 25_000;
const MICROS_PER_MS: u64 = 1000;
const READING_COUNT: u64 = 2_000;
const READING_INTERVAL_MS: u64 = 5;
/// Streams open evenly over this time, so that a burst of new connections does
/// not distort the latency of tokens.
const STREAM_RAMP_UP_MS: u64 = 3_000;
const FIRST_TOKEN_TARGET_US: u64 = 1_200_000;

/// Size of the streaming load.
#[derive(Clone, Debug)]
pub struct DataPathSettings {
    /// Number of concurrent streams.
    pub streams: u32,
    /// Length of each stream in tokens, at 40 tokens per second.
    pub stream_tokens: u32,
}

impl Default for DataPathSettings {
    fn default() -> Self {
        Self { streams: 4_000, stream_tokens: 400 }
    }
}

/// Measured answers, directly from the stand-ins and through the host.
#[derive(Clone, Debug, Default)]
pub struct DataPathOutcome {
    /// Streams requested from the engine directly.
    pub direct: ClassTally,
    /// Streams requested through the host.
    pub through: ClassTally,
    /// Short requests sent to the plain service directly.
    pub direct_readings: ClassTally,
    /// Short requests sent through the host.
    pub through_readings: ClassTally,
    /// Tokens after the first of each stream through the host, per second of run time
    /// without the ramp-up.
    pub tokens_per_s: f64,
}

/// Measures short requests and streams, each directly and through the host.
pub async fn run(settings: &DataPathSettings) -> Result<DataPathOutcome, BenchError> {
    let experiment = experiment(settings.streams);
    let testbed =
        Testbed::start(TestbedSettings { experiment, ..TestbedSettings::default() }).await?;
    let host = testbed.fleet().layout().urls(&Name::from(REGION)).remove(0);
    let caller = Caller::new(keys::CALLER_KEY)?;
    // Upstreams serve at their root the paths that a host serves below `/s/SERVICE/`.
    let engine = testbed.engine_urls().remove(0);
    let plain = testbed.plain_urls().remove(0);
    let direct_readings = readings(&caller.direct(), &plain).await;
    let through_readings = readings(&caller, &host).await;
    let direct = streams(&caller.direct(), &engine, settings).await;
    let started = Instant::now();
    let through = streams(&caller, &host, settings).await;
    let streaming_s =
        (started.elapsed().as_millis() as u64).saturating_sub(STREAM_RAMP_UP_MS) as f64 / 1000.0;
    testbed.stop().await;
    let tokens_per_s = through.token_gaps.count() as f64 / streaming_s.max(1.0);
    Ok(DataPathOutcome { direct, through, direct_readings, through_readings, tokens_per_s })
}

async fn streams(caller: &Caller, url: &str, settings: &DataPathSettings) -> ClassTally {
    let interval = Duration::from_micros(
        STREAM_RAMP_UP_MS * MICROS_PER_MS / u64::from(settings.streams.max(1)),
    );
    let request = Arrival {
        answer_tokens: settings.stream_tokens,
        ..arrival(ClassKind::Question, MODEL_SERVICE)
    };
    send_all(caller, url, &request, u64::from(settings.streams), interval).await
}

async fn readings(caller: &Caller, url: &str) -> ClassTally {
    let request = arrival(ClassKind::Reading, PLAIN_SERVICE);
    send_all(caller, url, &request, READING_COUNT, Duration::from_millis(READING_INTERVAL_MS)).await
}

async fn send_all(
    caller: &Caller,
    url: &str,
    request: &Arrival,
    count: u64,
    interval: Duration,
) -> ClassTally {
    let (_end_tx, end) = tokio::sync::watch::channel(false);
    let started = Instant::now();
    let mut answers = JoinSet::new();
    for number in 0..count {
        let due = started + interval * number as u32;
        time::sleep_until(due).await;
        let (caller, url, end) = (caller.clone(), url.to_owned(), end.clone());
        let request = Arrival { number, ..request.clone() };
        answers.spawn(async move { caller.send(&url, &request, Instant::now(), end).await });
    }
    let mut tally = ClassTally::default();
    while let Some(answer) = answers.join_next().await {
        if let Ok(record) = answer {
            tally.add(&record, FIRST_TOKEN_TARGET_US);
            debug_assert!(record.status != AnswerStatus::Unfinished);
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
        link: LinkDirectionSettings::default(),
        services: vec![
            service(MODEL_SERVICE, ServiceKind::Model),
            service(PLAIN_SERVICE, ServiceKind::Plain),
        ],
        workers: vec![
            workers(MODEL_SERVICE, batch),
            workers(PLAIN_SERVICE, BatchSettings::default()),
        ],
        ..Experiment::default()
    }
}

impl DataPathOutcome {
    /// Report lines with the figures and whether each target is met.
    pub fn lines(&self) -> Vec<String> {
        let gap_p99_ms = |tally: &ClassTally| tally.token_gaps.percentile_ms(99.0);
        let answer_p99_ms = |tally: &ClassTally| tally.first_token.percentile_ms(99.0);
        let added_gap_ms = gap_p99_ms(&self.through) - gap_p99_ms(&self.direct);
        let added_ms = answer_p99_ms(&self.through_readings) - answer_p99_ms(&self.direct_readings);
        vec![
            format!(
                "streams: {} of {} complete through the host, {:.0} tokens per second",
                self.through.complete, self.through.sent, self.tokens_per_s
            ),
            format!(
                "between tokens, p99: {:.2} ms direct, {:.2} ms through, {added_gap_ms:.2} ms added: {}",
                gap_p99_ms(&self.direct),
                gap_p99_ms(&self.through),
                target_label(added_gap_ms <= 2.0 && self.tokens_per_s >= 160_000.0)
            ),
            format!(
                "short request, p99: {:.2} ms direct, {:.2} ms through, {added_ms:.2} ms added: {}",
                answer_p99_ms(&self.direct_readings),
                answer_p99_ms(&self.through_readings),
                target_label(added_ms <= 1.0)
            ),
        ]
    }

    /// Number of incomplete answers by kind of request; each key also lists the result
    /// codes of refusals.
    pub fn failures(&self) -> BTreeMap<String, u64> {
        let tallies = [
            ("direct", &self.direct),
            ("through", &self.through),
            ("direct readings", &self.direct_readings),
            ("through readings", &self.through_readings),
        ];
        let failures = tallies.into_iter().map(|(name, tally)| {
            (format!("{name}, refusals by code {:?}", tally.codes), tally.sent - tally.complete)
        });
        failures.collect()
    }
}

fn target_label(met: bool) -> &'static str {
    if met { "met" } else { "MISSED" }
}
