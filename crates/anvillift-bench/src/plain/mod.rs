//! Stand-in for a plain service.
//!
//! [`start`] runs one in the background. It records every run of a command, so
//! tests can count runs by idempotency key and path, and its [`PlainFaults`] can
//! close connections, truncate answers or delay them.

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
pub use self::settings::{Fault, PlainFaults, PlainSettings};

use self::http::Shared;
use crate::announce;
use crate::engine::report;
use crate::error::BenchError;
use crate::listener::{self, RunningServer};

const STOP_LIMIT_MS: u64 = 60_000;

/// Handle of a plain service that runs in background tasks.
pub struct RunningPlain {
    /// Bound address of its HTTP server.
    pub addr: SocketAddr,
    server: RunningServer,
    shared: Arc<Shared>,
    leaving: watch::Sender<bool>,
    announcing_task: JoinHandle<Result<(), BenchError>>,
}

impl RunningPlain {
    /// Announces that the service leaves, finishes requests in flight for at most
    /// 60 s, and stops.
    pub async fn stop(self) {
        self.leaving.send_replace(true);
        let _ = self.announcing_task.await;
        self.server.finish(Duration::from_millis(STOP_LIMIT_MS)).await;
    }

    /// Stops at once without an announcement and closes every connection.
    pub async fn crash(self) {
        self.announcing_task.abort();
        self.server.abort().await;
    }

    /// Replaces the simulated faults.
    pub fn set_faults(&self, faults: PlainFaults) {
        self.shared.set_faults(faults);
    }

    /// Commands run and readings answered since the start.
    pub fn report(&self) -> RunReport {
        self.shared.report()
    }
}

/// Starts a plain service that listens and announces itself.
///
/// Fails when its address cannot be bound.
pub async fn start(settings: PlainSettings) -> Result<RunningPlain, BenchError> {
    let shared = Arc::new(Shared::new(settings.faults.clone()));
    let server = listener::serve(&settings.listen, http::router(&shared))?;
    let addr = server.addr;
    let (leaving_tx, leaving) = watch::channel(false);
    let announce_settings = settings.announce.clone();
    let template = Announcement {
        upstream: settings.name,
        incarnation: report::new_incarnation(),
        service: settings.service,
        url: format!("http://{addr}"),
        ..Announcement::default()
    };
    let load_source = Arc::clone(&shared);
    let announcing = announce::run(announce_settings, leaving, move |sequence, leaving| {
        Announcement { sequence, leaving, load: load_source.load(), ..template.clone() }
    });
    let announcing_task = tokio::spawn(announcing);
    Ok(RunningPlain { addr, server, shared, leaving: leaving_tx, announcing_task })
}
