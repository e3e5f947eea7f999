//! The configuration held, saved on hosts with a disk.
//!
//! A control host that restarts in a cut-off region has no leader to tell it
//! what is committed; it goes on by the configuration that it held.

use std::sync::{Arc, Weak};
use std::time::Duration;

use anvillift_schema::configuration::{Configuration, ConfigurationUpdate};
use anvillift_schema::event::Event;
use tokio::time;

use crate::control::distribution;
use crate::gateway::Gateway;

const FILE: &str = "configuration";
/// Shortest time between two saves.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);

/// Takes over what was held before a restart.
pub(super) fn take_over(gateway: &Arc<Gateway>) {
    let Some(folder) = &gateway.control.folder else { return };
    match folder.load::<Configuration>(FILE) {
        Ok(Some(configuration)) => {
            let own = gateway.host().clone();
            distribution::take(gateway, &own, ConfigurationUpdate::Whole(configuration));
        }
        Ok(None) => (),
        Err(error) => log_fault(&error),
    }
}

/// Saves each newer configuration until the task is aborted.
pub(super) async fn run(gateway: Weak<Gateway>) {
    let Some(changed) = gateway.upgrade().map(|gateway| gateway.control.changed.clone()) else {
        return;
    };
    loop {
        changed.notified().await;
        let Some(gateway) = gateway.upgrade() else { return };
        tokio::task::spawn_blocking(move || save_newest(&gateway)).await.ok();
        time::sleep(SAVE_INTERVAL).await;
    }
}

/// Saves the configuration that is held now.
pub(super) fn save_newest(gateway: &Arc<Gateway>) {
    let Some(folder) = &gateway.control.folder else { return };
    let configuration = gateway.control.held().configuration().clone();
    if configuration.revision == 0 {
        return;
    }
    if let Err(error) = folder.save(FILE, &*configuration) {
        log_fault(&error);
    }
}

fn log_fault(error: &anvillift_storage::StorageError) {
    log::error!(
        event = Event::StorageFailed.number(), code = error.code().number();
        "the held configuration: {error}"
    );
}
