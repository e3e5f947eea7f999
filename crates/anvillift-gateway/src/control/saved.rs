//! Saves the configuration held, on hosts with a disk.
//!
//! A control host that restarts in a disconnected region reaches no leader from which it could
//! request the committed configuration. It continues with the one that it held before.

use std::sync::{Arc, Weak};
use std::time::Duration;

use anvillift_schema::configuration::{Configuration, ConfigurationUpdate};
use anvillift_schema::event::Event;
use tokio::time;

use crate::control::distribution;
use crate::gateway::Gateway;

const FILE_NAME: &str = "configuration";
/// Minimum time between two saves.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);

/// Restores the configuration that was held before a restart.
pub(super) fn restore(gateway: &Arc<Gateway>) {
    let Some(folder) = &gateway.control.folder else { return };
    match folder.load::<Configuration>(FILE_NAME) {
        Ok(Some(configuration)) => {
            let own = gateway.host().clone();
            distribution::receive_update(gateway, &own, ConfigurationUpdate::Whole(configuration));
        }
        Ok(None) => (),
        Err(error) => log_storage_error(&error),
    }
}

/// Saves each newer configuration until the task is aborted. One that could not be saved is saved
/// again after [`SAVE_INTERVAL`].
pub(super) async fn run(gateway: Weak<Gateway>) {
    let Some(changed) = gateway.upgrade().map(|gateway| gateway.control.changed.clone()) else {
        return;
    };
    loop {
        changed.notified().await;
        let Some(gateway) = gateway.upgrade() else { return };
        let saved = tokio::task::spawn_blocking(move || save_newest(&gateway)).await;
        time::sleep(SAVE_INTERVAL).await;
        if !saved.unwrap_or(false) {
            changed.notify_one();
        }
    }
}

/// Saves the configuration that is held now; revision 0 is the one of the settings and not saved.
/// Returns whether nothing is left to be saved.
pub(super) fn save_newest(gateway: &Arc<Gateway>) -> bool {
    let Some(folder) = &gateway.control.folder else { return true };
    let configuration = gateway.control.daemon_configuration().configuration().clone();
    if configuration.revision == 0 {
        return true;
    }
    let saved = folder.save(FILE_NAME, &*configuration);
    saved.inspect_err(log_storage_error).is_ok()
}

fn log_storage_error(error: &anvillift_storage::StorageError) {
    log::error!(
        event = Event::StorageFailed.number(), code = error.code().number();
        "cannot load or save the held configuration: {error}"
    );
}
