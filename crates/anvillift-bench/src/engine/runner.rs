//! Executes the batch of an engine in real time.
//!
//! [`run`] starts a step, sleeps for its duration and sends its tokens to the
//! waiting [`Answer`]s. Each step is due at a time computed from the step before
//! it, so timers that fire late do not lower the token rate.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, mpsc};
use tokio::time::{self, Instant};

use super::batch::{Batch, SequenceRequest, Token};
use super::settings::EngineFaults;

/// Largest lag of the steps behind their schedule. A schedule that lags further is moved
/// forward, so that no burst of steps follows.
const MAX_SCHEDULE_LAG: Duration = Duration::from_millis(50);
const MILLI: u64 = 1000;

/// Batch, open answers and simulated faults of an engine, shared by its tasks.
pub struct Engine {
    batch: Mutex<Batch>,
    streams: Mutex<BTreeMap<u64, mpsc::UnboundedSender<Token>>>,
    faults: Mutex<EngineFaults>,
    work_available: Notify,
}

impl Engine {
    /// Creates an engine without requests.
    pub fn new(batch: Batch, faults: EngineFaults) -> Self {
        Self {
            batch: Mutex::new(batch),
            streams: Mutex::new(BTreeMap::new()),
            faults: Mutex::new(faults),
            work_available: Notify::new(),
        }
    }

    /// Queues a request; `None` when the queue is full.
    pub fn submit(self: &Arc<Self>, request: SequenceRequest) -> Option<Answer> {
        let (tx, rx) = mpsc::unbounded_channel();
        // The lock is held until the stream is registered, so a step cannot deliver its
        // first token before that.
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let id = self.with_batch(|batch| batch.submit(request))?;
        streams.insert(id, tx);
        drop(streams);
        self.work_available.notify_one();
        Some(Answer { id, tokens: rx, engine: Arc::clone(self) })
    }

    /// Calls `work` with the batch locked.
    pub fn with_batch<T>(&self, work: impl FnOnce(&mut Batch) -> T) -> T {
        work(&mut self.batch.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Copy of the current faults.
    pub fn faults(&self) -> EngineFaults {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the faults; they apply from the next request or step on.
    pub fn set_faults(&self, faults: EngineFaults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    fn deliver(&self, tokens: Vec<Token>) {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        for token in tokens {
            if let Some(stream) = streams.get(&token.id) {
                let _ = stream.send(token);
            }
            if token.is_last {
                streams.remove(&token.id);
            }
        }
    }

    fn cancel(&self, id: u64) {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
        self.with_batch(|batch| batch.cancel(id));
    }
}

/// Receiver of the tokens of one request; dropping it cancels the request.
pub struct Answer {
    id: u64,
    tokens: mpsc::UnboundedReceiver<Token>,
    engine: Arc<Engine>,
}

impl Answer {
    /// Waits for the next token; `None` after the final one.
    pub async fn next(&mut self) -> Option<Token> {
        self.tokens.recv().await
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.engine.cancel(self.id);
    }
}

/// Executes steps until the task is aborted; waits while the batch is idle.
pub async fn run(engine: Arc<Engine>) {
    let mut due = Instant::now();
    loop {
        let Some(duration_us) = engine.with_batch(Batch::begin_step) else {
            engine.work_available.notified().await;
            due = Instant::now();
            continue;
        };
        let slow_milli = u64::from(engine.faults().slow_milli);
        let earliest = Instant::now().checked_sub(MAX_SCHEDULE_LAG).unwrap_or(due);
        due = due.max(earliest) + Duration::from_micros(duration_us * slow_milli / MILLI);
        time::sleep_until(due).await;
        let tokens = engine.with_batch(Batch::finish_step);
        engine.deliver(tokens);
    }
}
