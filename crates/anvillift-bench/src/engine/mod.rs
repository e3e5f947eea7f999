//! A stand-in for a model engine.
//!
//! It batches continuously, keeps a prefix cache of limited memory, reports
//! load with a lag and cache events late and with gaps, takes orders, and can
//! be made slow, failing or cut. Start at [`start`].

pub mod batch;
pub mod cache;
mod http;
pub mod orders;
pub mod prompt;
pub mod report;
pub mod runner;
mod settings;
mod stream;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{self, Instant};

pub use self::http::EngineReport;
pub use self::settings::{BatchSettings, EngineMode, EngineSettings};

use self::batch::Batch;
use self::http::Shared;
use self::report::Reporter;
use self::runner::Engine;
use crate::announce;
use crate::error::BenchError;
use crate::listener::{self, Serving};

const SAMPLE_INTERVAL_MS: u64 = 50;
const STOP_LIMIT_MS: u64 = 60_000;

/// An engine that runs in the background.
pub struct RunningEngine {
    /// Address it listens on.
    pub addr: SocketAddr,
    serving: Serving,
    shared: Arc<Shared>,
    steps: JoinHandle<()>,
    sampling: JoinHandle<()>,
    announcing: JoinHandle<Result<(), BenchError>>,
}

impl RunningEngine {
    /// Announces that it leaves, finishes what is in flight, stops.
    pub async fn stop(self) {
        self.shared.leaving.send_replace(true);
        let _ = self.announcing.await;
        self.serving.finish(Duration::from_millis(STOP_LIMIT_MS)).await;
        self.steps.abort();
        self.sampling.abort();
    }

    /// Stops at once, without a word; every connection is cut.
    pub async fn crash(self) {
        self.announcing.abort();
        self.steps.abort();
        self.sampling.abort();
        self.serving.abort().await;
    }

    /// Changes how it misbehaves.
    pub fn set_mode(&self, mode: EngineMode) {
        self.shared.engine.set_mode(mode);
    }

    /// What it did so far.
    pub fn report(&self) -> EngineReport {
        self.shared.report()
    }
}

/// Starts an engine; it listens and announces itself.
pub async fn start(settings: EngineSettings) -> Result<RunningEngine, BenchError> {
    let batch = Batch::new(settings.batch.clone(), settings.cache_blocks);
    let engine = Arc::new(Engine::new(batch, settings.mode.clone()));
    let (leaving_tx, leaving) = watch::channel(false);
    let shared = Arc::new(Shared::new(settings.clone(), Arc::clone(&engine), leaving_tx));
    let serving = listener::serve(&settings.listen, http::router(&shared))?;
    let addr = serving.addr;

    let started = Instant::now();
    let reporter = Reporter::new(settings.clone(), format!("http://{addr}"));
    let reporter = Arc::new(Mutex::new(reporter));
    let steps = tokio::spawn(runner::run(Arc::clone(&engine)));
    let sampling = tokio::spawn(sample(started, engine, Arc::clone(&reporter)));
    let orders = Arc::clone(&shared);
    let announcing = announce::run(settings.announce, leaving, move |sequence, leaving| {
        let models = orders.orders.lock().unwrap_or_else(PoisonError::into_inner).models.clone();
        let mut reporter = reporter.lock().unwrap_or_else(PoisonError::into_inner);
        reporter.announcement(elapsed_ms(started), sequence, leaving, models)
    });
    let announcing = tokio::spawn(announcing);
    Ok(RunningEngine { addr, serving, shared, steps, sampling, announcing })
}

async fn sample(started: Instant, engine: Arc<Engine>, reporter: Arc<Mutex<Reporter>>) {
    let mut ticks = time::interval(Duration::from_millis(SAMPLE_INTERVAL_MS));
    loop {
        ticks.tick().await;
        let mut reporter = reporter.lock().unwrap_or_else(PoisonError::into_inner);
        engine.with_batch(|batch| reporter.sample(elapsed_ms(started), batch));
    }
}

fn elapsed_ms(started: Instant) -> u64 {
    started.elapsed().as_millis() as u64
}
