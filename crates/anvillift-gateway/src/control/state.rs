//! What control keeps on a host.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use anvillift_control::{ControlMachine, HeldConfiguration};
use anvillift_replication::GroupHandle;
use anvillift_schema::name::Name;
use anvillift_schema::settings::HostSettings;
use anvillift_storage::{DataFolder, StorageError};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// A host that asked for the configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Subscriber {
    pub(crate) revision: u64,
    pub(crate) asked_ms: u64,
}

/// Control's part of a gateway.
#[derive(Debug)]
pub(crate) struct Control {
    /// The data folder of a host with a disk.
    pub(crate) folder: Option<DataFolder>,
    /// The machine of a control host.
    pub(crate) machine: Arc<Mutex<ControlMachine>>,
    /// Told when the machine has a newer configuration.
    pub(crate) applied: Arc<Notify>,
    /// Told when the configuration in force has changed.
    pub(crate) changed: Arc<Notify>,
    held: Mutex<HeldConfiguration>,
    applying: Mutex<()>,
    subscribers: Mutex<BTreeMap<Name, Subscriber>>,
    /// Highest fencing number passed on, by upstream.
    fences: Mutex<BTreeMap<Name, u64>>,
    handle: Mutex<Option<GroupHandle>>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Control {
    /// Opens the data folder, if the host has a disk.
    pub(crate) fn open(settings: &HostSettings) -> Result<Self, StorageError> {
        let folder = match &settings.storage {
            Some(storage) => Some(DataFolder::open(Path::new(&storage.folder))?),
            None => None,
        };
        Ok(Self {
            folder,
            machine: Arc::default(),
            applied: Arc::default(),
            changed: Arc::default(),
            held: Mutex::default(),
            applying: Mutex::default(),
            subscribers: Mutex::default(),
            fences: Mutex::default(),
            handle: Mutex::default(),
            tasks: Mutex::default(),
        })
    }

    /// Id of the data folder.
    pub(crate) fn storage_id(&self) -> Option<&Name> {
        self.folder.as_ref().map(DataFolder::storage_id)
    }

    pub(crate) fn machine(&self) -> MutexGuard<'_, ControlMachine> {
        lock(&self.machine)
    }

    pub(crate) fn held(&self) -> MutexGuard<'_, HeldConfiguration> {
        lock(&self.held)
    }

    /// Held while a configuration is put in force.
    pub(crate) fn applying(&self) -> MutexGuard<'_, ()> {
        lock(&self.applying)
    }

    pub(crate) fn subscribers(&self) -> MutexGuard<'_, BTreeMap<Name, Subscriber>> {
        lock(&self.subscribers)
    }

    pub(crate) fn fences(&self) -> MutexGuard<'_, BTreeMap<Name, u64>> {
        lock(&self.fences)
    }

    /// The own replica of the control log.
    pub(crate) fn handle(&self) -> Option<GroupHandle> {
        lock(&self.handle).clone()
    }

    pub(crate) fn set_handle(&self, handle: GroupHandle) {
        *lock(&self.handle) = Some(handle);
    }

    /// Keeps a task until control ends.
    pub(crate) fn keep(&self, task: JoinHandle<()>) {
        lock(&self.tasks).push(task);
    }

    pub(crate) fn end_tasks(&self) {
        lock(&self.tasks).drain(..).for_each(|task| task.abort());
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        self.end_tasks();
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
