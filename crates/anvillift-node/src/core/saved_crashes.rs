//! Crashes of workers in the data folder of a core host.
//!
//! Entry hosts report the crashes that they have seen again to a core that was restarted, unless
//! they have been restarted as well. The file keeps what is known when all processes of the
//! fleet are killed before a decision. Each core saves what it knows by itself, as with the
//! [quarantine](super::saved_quarantine).

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anvillift_fleet::{ConfirmedCrash, CrashEvidence, RequestFeatures};
use anvillift_schema::event::Event;
use anvillift_schema::fleet::{FleetCrash, FleetCrashedRequest, FleetServedPart};
use anvillift_storage::DataFolder;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time;

use crate::core::Core;
use crate::core::crashes::confirmed_crash;
use crate::{clock, off_thread};

/// Name of the file in the data folder.
const FILE: &str = "crashes";
/// Shortest time between two times of saving.
const SAVE_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after which crashes that could not be saved are saved again.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Content of the file.
#[derive(Deserialize, Serialize)]
struct SavedEvidence {
    /// Time of saving, in milliseconds since the Unix epoch.
    saved_unix_ms: u64,
    crashes: Vec<FleetCrash>,
    /// When features of these crashes were last served.
    served: Vec<FleetServedPart>,
}

/// Where crashes are saved, and whether they have to be.
pub(super) struct SavedCrashes {
    folder: Arc<DataFolder>,
    due: Notify,
}

impl SavedCrashes {
    pub(super) fn new(folder: Arc<DataFolder>) -> Self {
        Self { folder, due: Notify::new() }
    }

    /// Loads what was saved before this process started. A file that can't be read counts as
    /// empty.
    pub(super) fn load(&self) -> CrashEvidence {
        let mut evidence = CrashEvidence::default();
        match self.folder.load::<SavedEvidence>(FILE) {
            Ok(Some(saved)) => restore(&mut evidence, saved),
            Ok(None) => (),
            Err(error) => log::error!(
                event = Event::QuarantineNotSaved.number();
                "cannot load the crashes; requests that crash workers may be sent again: {error}"
            ),
        }
        evidence
    }

    /// Makes [`Core::save_crashes`] save the crashes.
    pub(super) fn save_soon(&self) {
        self.due.notify_one();
    }
}

impl Core {
    /// Saves the crashes whenever there are new ones, one file at a time.
    pub(super) async fn save_crashes(self: Rc<Self>) {
        loop {
            self.crash_file.due.notified().await;
            match self.write_crashes().await {
                Ok(()) => time::sleep(SAVE_INTERVAL).await,
                Err(error) => {
                    log::error!(
                        event = Event::QuarantineNotSaved.number();
                        "cannot save the crashes; they would not outlast a restart of all hosts: {error}"
                    );
                    time::sleep(RETRY_DELAY).await;
                    self.crash_file.save_soon();
                }
            }
        }
    }

    async fn write_crashes(&self) -> Result<(), String> {
        let folder = Arc::clone(&self.crash_file.folder);
        let content = saved_evidence(&self.crash_evidence.borrow());
        let saved = off_thread::result("crashes", move || folder.save(FILE, &content)).await;
        let outcome = saved.map(|result| result.map_err(|error| error.to_string()));
        outcome.unwrap_or_else(|error| Err(error.to_string()))
    }
}

fn restore(evidence: &mut CrashEvidence, saved: SavedEvidence) {
    let now_ms = clock::now_ms();
    let elapsed_ms = clock::unix_ms().saturating_sub(saved.saved_unix_ms);
    let saved_ms = now_ms.saturating_sub(elapsed_ms);
    let crashes = saved.crashes.iter().map(|crash| confirmed_crash(saved_ms, crash));
    evidence.restore(now_ms, crashes);
    for served in saved.served {
        evidence.record_served(served.part, saved_ms.saturating_sub(served.age_ms));
    }
}

fn saved_evidence(evidence: &CrashEvidence) -> SavedEvidence {
    let now_ms = clock::now_ms();
    let served = |(part, served_ms): (u64, u64)| FleetServedPart {
        part,
        age_ms: now_ms.saturating_sub(served_ms),
    };
    SavedEvidence {
        saved_unix_ms: clock::unix_ms(),
        crashes: evidence.crashes().map(|crash| saved_crash(now_ms, crash)).collect(),
        served: evidence.served().map(served).collect(),
    }
}

/// A crash in the form in which entry hosts report it, with everything that is known of it.
fn saved_crash(now_ms: u64, crash: ConfirmedCrash) -> FleetCrash {
    let parts = crash.requests.iter().flat_map(|request| request.parts.iter().copied());
    let request = |request: &RequestFeatures| {
        let fingerprint = request.fingerprint?;
        Some(FleetCrashedRequest {
            parts: request.parts.iter().copied().collect(),
            content: fingerprint.content,
            of_caller: fingerprint.of_caller,
        })
    };
    FleetCrash {
        worker: crash.worker.id,
        born_ms: crash.worker.born_ms,
        age_ms: now_ms.saturating_sub(crash.at_ms),
        is_given_up: crash.is_given_up,
        parts: parts.collect(),
        requests: crash.requests.iter().filter_map(request).collect(),
    }
}
