//! Drives the batch of an engine in real time.
//!
//! [`run`] starts a step, sleeps for as long as it takes and hands its tokens
//! to the answers that wait for them. Steps follow a schedule of their own, so
//! that late timers don't slow the engine down.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, mpsc};
use tokio::time::{self, Instant};

use super::batch::{Batch, SequenceRequest, Token};
use super::settings::EngineMode;

/// The schedule is not caught up beyond this.
const LARGEST_ARREARS: Duration = Duration::from_millis(50);
const MILLI: u64 = 1000;

/// State of an engine, shared by its tasks.
pub struct Engine {
    batch: Mutex<Batch>,
    streams: Mutex<BTreeMap<u64, mpsc::UnboundedSender<Token>>>,
    mode: Mutex<EngineMode>,
    work: Notify,
}

impl Engine {
    /// An idle engine.
    pub fn new(batch: Batch, mode: EngineMode) -> Self {
        Self {
            batch: Mutex::new(batch),
            streams: Mutex::new(BTreeMap::new()),
            mode: Mutex::new(mode),
            work: Notify::new(),
        }
    }

    /// Queues a request; `None` when the queue is full.
    pub fn submit(self: &Arc<Self>, request: SequenceRequest) -> Option<Answer> {
        let (tx, rx) = mpsc::unbounded_channel();
        // The stream is known before a step can make its first token.
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let id = self.with_batch(|batch| batch.submit(request))?;
        streams.insert(id, tx);
        drop(streams);
        self.work.notify_one();
        Some(Answer { id, tokens: rx, engine: Arc::clone(self) })
    }

    /// Works on the batch.
    pub fn with_batch<T>(&self, work: impl FnOnce(&mut Batch) -> T) -> T {
        work(&mut self.batch.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The present mode.
    pub fn mode(&self) -> EngineMode {
        self.mode.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Changes the mode.
    pub fn set_mode(&self, mode: EngineMode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    fn deliver(&self, tokens: Vec<Token>) {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        for token in tokens {
            if let Some(stream) = streams.get(&token.id) {
                let _ = stream.send(token);
            }
            if token.last {
                streams.remove(&token.id);
            }
        }
    }

    fn forget(&self, id: u64) {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
        self.with_batch(|batch| batch.cancel(id));
    }
}

/// The answer to one request; dropping it cancels the request.
pub struct Answer {
    id: u64,
    tokens: mpsc::UnboundedReceiver<Token>,
    engine: Arc<Engine>,
}

impl Answer {
    /// The next token, or `None` after the last.
    pub async fn next(&mut self) -> Option<Token> {
        self.tokens.recv().await
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.engine.forget(self.id);
    }
}

/// Runs steps until the task is dropped.
pub async fn run(engine: Arc<Engine>) {
    let mut due = Instant::now();
    loop {
        let Some(duration_us) = engine.with_batch(Batch::begin_step) else {
            engine.work.notified().await;
            due = Instant::now();
            continue;
        };
        let slow_milli = u64::from(engine.mode().slow_milli);
        let earliest = Instant::now().checked_sub(LARGEST_ARREARS).unwrap_or(due);
        due = due.max(earliest) + Duration::from_micros(duration_us * slow_milli / MILLI);
        time::sleep_until(due).await;
        let tokens = engine.with_batch(Batch::finish_step);
        engine.deliver(tokens);
    }
}
