//! A stand-in for a plain service.
//!
//! It counts how often each command ran, by idempotency key and path, and can
//! be told to cut connections or to answer slowly. Start at [`start`].

mod http;
mod runs;
mod settings;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvillift_schema::upstream::Announcement;
use tokio::sync::watch;
use tokio::task::JoinHandle;

pub use self::runs::{Run, RunReport};
pub use self::settings::{Fault, PlainMode, PlainSettings};

use self::http::Shared;
use crate::announce;
use crate::engine::report;
use crate::error::BenchError;
use crate::listener::{self, Serving};

const STOP_LIMIT_MS: u64 = 60_000;

/// A plain service that runs in the background.
pub struct RunningPlain {
    /// Address it listens on.
    pub addr: SocketAddr,
    serving: Serving,
    shared: Arc<Shared>,
    leaving: watch::Sender<bool>,
    announcing: JoinHandle<Result<(), BenchError>>,
}

impl RunningPlain {
    /// Announces that it leaves, finishes what is in flight, stops.
    pub async fn stop(self) {
        self.leaving.send_replace(true);
        let _ = self.announcing.await;
        self.serving.finish(Duration::from_millis(STOP_LIMIT_MS)).await;
    }

    /// Stops at once, without a word; every connection is cut.
    pub async fn crash(self) {
        self.announcing.abort();
        self.serving.abort().await;
    }

    /// Changes how it misbehaves.
    pub fn set_mode(&self, mode: PlainMode) {
        self.shared.set_mode(mode);
    }

    /// What ran so far.
    pub fn report(&self) -> RunReport {
        self.shared.report()
    }
}

/// Starts a plain service; it listens and announces itself.
pub async fn start(settings: PlainSettings) -> Result<RunningPlain, BenchError> {
    let shared = Arc::new(Shared::new(settings.mode.clone()));
    let serving = listener::serve(&settings.listen, http::router(&shared))?;
    let addr = serving.addr;
    let (leaving_tx, leaving) = watch::channel(false);
    let hosts = settings.announce.clone();
    let own = Announcement {
        upstream: settings.name,
        incarnation: report::new_incarnation(),
        service: settings.service,
        url: format!("http://{addr}"),
        ..Announcement::default()
    };
    let load_of = Arc::clone(&shared);
    let announcing = announce::run(hosts, leaving, move |sequence, leaving| Announcement {
        sequence,
        leaving,
        load: load_of.load(),
        ..own.clone()
    });
    let announcing = tokio::spawn(announcing);
    Ok(RunningPlain { addr, serving, shared, leaving: leaving_tx, announcing })
}
