//! Stand-in for a model engine.
//!
//! [`start`] runs one in the background. `http` queues requests in a
//! [`batch`], [`runner`] executes its steps in real time, and [`report`]
//! delays load samples and cache events by a lag and drops some cache events. The
//! engine accepts orders, and its [`EngineFaults`] can slow it down, fail requests
//! or interrupt streams.

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
pub use self::settings::{BatchSettings, EngineFaults, EngineSettings};

use self::batch::Batch;
use self::http::Shared;
use self::report::Reporter;
use self::runner::Engine;
use crate::announce;
use crate::error::BenchError;
use crate::listener::{self, RunningServer};

const SAMPLE_INTERVAL_MS: u64 = 50;
const STOP_LIMIT_MS: u64 = 60_000;

/// Handle of an engine that runs in background tasks.
pub struct RunningEngine {
    /// Bound address of its HTTP server.
    pub addr: SocketAddr,
    server: RunningServer,
    shared: Arc<Shared>,
    step_task: JoinHandle<()>,
    sampling_task: JoinHandle<()>,
    announcing_task: JoinHandle<Result<(), BenchError>>,
}

impl RunningEngine {
    /// Announces that the engine leaves, finishes requests in flight for at most
    /// 60 s, and stops.
    pub async fn stop(self) {
        self.shared.leaving.send_replace(true);
        let _ = self.announcing_task.await;
        self.server.finish(Duration::from_millis(STOP_LIMIT_MS)).await;
        self.step_task.abort();
        self.sampling_task.abort();
    }

    /// Stops at once without an announcement and closes every connection.
    pub async fn crash(self) {
        self.announcing_task.abort();
        self.step_task.abort();
        self.sampling_task.abort();
        self.server.abort().await;
    }

    /// Replaces the simulated faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.engine.set_faults(faults);
    }

    /// Counters since the start and the current state.
    pub fn report(&self) -> EngineReport {
        self.shared.report()
    }
}

/// Starts an engine that listens and announces itself.
///
/// Fails when its address cannot be bound.
pub async fn start(settings: EngineSettings) -> Result<RunningEngine, BenchError> {
    let batch = Batch::new(settings.batch.clone(), settings.cache_blocks);
    let engine = Arc::new(Engine::new(batch, settings.faults.clone()));
    let (leaving_tx, leaving) = watch::channel(false);
    let shared = Arc::new(Shared::new(settings.clone(), Arc::clone(&engine), leaving_tx));
    let server = listener::serve(&settings.listen, http::router(&shared))?;
    let addr = server.addr;

    let started = Instant::now();
    let reporter = Reporter::new(settings.clone(), format!("http://{addr}"));
    let reporter = Arc::new(Mutex::new(reporter));
    let step_task = tokio::spawn(runner::run(Arc::clone(&engine)));
    let sampling_task = tokio::spawn(sample(started, engine, Arc::clone(&reporter)));
    let order_source = Arc::clone(&shared);
    let announcing = announce::run(settings.announce, leaving, move |sequence, leaving| {
        let models =
            order_source.orders.lock().unwrap_or_else(PoisonError::into_inner).models.clone();
        let mut reporter = reporter.lock().unwrap_or_else(PoisonError::into_inner);
        reporter.announcement(elapsed_ms(started), sequence, leaving, models)
    });
    let announcing_task = tokio::spawn(announcing);
    Ok(RunningEngine { addr, server, shared, step_task, sampling_task, announcing_task })
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
