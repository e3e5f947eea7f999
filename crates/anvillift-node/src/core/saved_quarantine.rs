//! The quarantine in the data folder of a core host.
//!
//! All processes of the fleet may be killed at the same moment, and what is quarantined must
//! outlast that: otherwise a request that crashes workers would have to crash some more of them
//! before it is refused again. Each core saves what it knows by itself, since the quarantine
//! must hold without a majority as well. A change is saved on a thread of its own.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

use anvillift_fleet::Quarantine;
use anvillift_schema::event::Event;
use anvillift_schema::fleet::FleetQuarantine;
use anvillift_storage::DataFolder;
use serde::{Deserialize, Serialize};
use tokio::task;

use crate::core::Core;
use crate::node::Node;
use crate::quarantine::quarantine_frame;
use crate::{clock, off_thread};

/// Name of the file in the data folder.
const FILE: &str = "quarantine";

/// Content of the file.
#[derive(Deserialize, Serialize)]
struct SavedEntries {
    /// Time of saving, in milliseconds since the Unix epoch.
    saved_unix_ms: u64,
    entries: Vec<FleetQuarantine>,
}

/// Which entries are in the file.
pub(super) struct SavedQuarantine {
    folder: Arc<DataFolder>,
    saved: RefCell<BTreeSet<BTreeSet<u64>>>,
    is_saving: Cell<bool>,
}

impl SavedQuarantine {
    /// Loads what was saved before this process started into the view of the host. A file that
    /// can't be read counts as empty.
    pub(super) fn load(folder: Arc<DataFolder>, node: &Node) -> Self {
        let loaded = match folder.load::<SavedEntries>(FILE) {
            Ok(loaded) => loaded,
            Err(error) => {
                log::error!(
                    event = Event::QuarantineNotSaved.number();
                    "cannot load the quarantine; requests that crash workers may be sent again: {error}"
                );
                None
            }
        };
        if let Some(loaded) = loaded {
            let elapsed_ms = clock::unix_ms().saturating_sub(loaded.saved_unix_ms);
            let own_name = node.own_host().name;
            for entry in loaded.entries {
                let remaining_ms = entry.remaining_ms.saturating_sub(elapsed_ms);
                node.add_quarantine(&FleetQuarantine { remaining_ms, ..entry }, &own_name);
            }
        }
        let saved = RefCell::new(keys(&node.view.borrow().quarantine));
        Self { folder, saved, is_saving: Cell::new(false) }
    }
}

impl Core {
    /// Saves the quarantine if it has other entries than the file.
    pub(super) fn save_quarantine(self: &Rc<Self>) {
        let current = keys(&self.node.view.borrow().quarantine);
        if self.quarantine_file.is_saving.get() || *self.quarantine_file.saved.borrow() == current {
            return;
        }
        self.quarantine_file.is_saving.set(true);
        let core = Rc::clone(self);
        task::spawn_local(async move {
            core.write_quarantine(current).await;
            core.quarantine_file.is_saving.set(false);
        });
    }

    async fn write_quarantine(&self, written: BTreeSet<BTreeSet<u64>>) {
        let (folder, content) = (Arc::clone(&self.quarantine_file.folder), self.saved_entries());
        let saved = off_thread::result("quarantine", move || folder.save(FILE, &content)).await;
        let outcome = saved.map(|result| result.map_err(|error| error.to_string()));
        match outcome.unwrap_or_else(|error| Err(error.to_string())) {
            Ok(()) => drop(self.quarantine_file.saved.replace(written)),
            // It is tried again with the next housekeeping.
            Err(error) => log::error!(
                event = Event::QuarantineNotSaved.number();
                "cannot save the quarantine; it would not outlast a restart of all hosts: {error}"
            ),
        }
    }

    fn saved_entries(&self) -> SavedEntries {
        let view = self.node.view.borrow();
        let entries = view.quarantine.entries(clock::now_ms()).map(quarantine_frame).collect();
        SavedEntries { saved_unix_ms: clock::unix_ms(), entries }
    }
}

fn keys(quarantine: &Quarantine) -> BTreeSet<BTreeSet<u64>> {
    quarantine.iter(clock::now_ms()).map(|(features, _)| features.clone()).collect()
}
