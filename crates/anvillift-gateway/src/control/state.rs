//! State of the configuration and of the control log on a host.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use anvillift_control::{ControlMachine, DaemonConfiguration};
use anvillift_replication::GroupHandle;
use anvillift_schema::name::Name;
use anvillift_schema::settings::HostSettings;
use anvillift_storage::{DataFolder, StorageError};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// A host that requested the configuration, with the revision that it has.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Subscriber {
    pub(crate) revision: u64,
    pub(crate) requested_ms: u64,
}

/// The configuration held, the replica of the control log and the tasks of both.
#[derive(Debug)]
pub(crate) struct Control {
    /// The data folder of a host with a disk.
    pub(crate) folder: Option<Arc<DataFolder>>,
    /// The replicated state machine; it stays empty on hosts that are not control hosts.
    pub(crate) machine: Arc<Mutex<ControlMachine>>,
    /// Notified when the state machine has a newer configuration.
    pub(crate) applied: Arc<Notify>,
    /// Notified when the configuration in force has changed.
    pub(crate) changed: Arc<Notify>,
    daemon_configuration: Mutex<DaemonConfiguration>,
    applying: Mutex<()>,
    subscribers: Mutex<BTreeMap<Name, Subscriber>>,
    /// Highest fencing number that was sent or promised, by upstream.
    fences: Mutex<BTreeMap<Name, u64>>,
    handle: Mutex<Option<GroupHandle>>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Control {
    /// Opens the data folder, if the settings name one.
    pub(crate) fn open(settings: &HostSettings) -> Result<Self, StorageError> {
        let folder = match &settings.storage {
            Some(storage) => Some(Arc::new(DataFolder::open(Path::new(&storage.folder))?)),
            None => None,
        };
        Ok(Self {
            folder,
            machine: Arc::default(),
            applied: Arc::default(),
            changed: Arc::default(),
            daemon_configuration: Mutex::default(),
            applying: Mutex::default(),
            subscribers: Mutex::default(),
            fences: Mutex::default(),
            handle: Mutex::default(),
            tasks: Mutex::default(),
        })
    }

    /// Id of the data folder; `None` on a host without a disk.
    pub(crate) fn storage_id(&self) -> Option<&Name> {
        self.folder.as_ref().map(|folder| folder.storage_id())
    }

    pub(crate) fn machine(&self) -> MutexGuard<'_, ControlMachine> {
        lock(&self.machine)
    }

    pub(crate) fn daemon_configuration(&self) -> MutexGuard<'_, DaemonConfiguration> {
        lock(&self.daemon_configuration)
    }

    /// Lock that is held while a configuration is put in force.
    pub(crate) fn applying(&self) -> MutexGuard<'_, ()> {
        lock(&self.applying)
    }

    pub(crate) fn subscribers(&self) -> MutexGuard<'_, BTreeMap<Name, Subscriber>> {
        lock(&self.subscribers)
    }

    pub(crate) fn fences(&self) -> MutexGuard<'_, BTreeMap<Name, u64>> {
        lock(&self.fences)
    }

    /// This host's replica of the control log; `None` on hosts without one.
    pub(crate) fn handle(&self) -> Option<GroupHandle> {
        lock(&self.handle).clone()
    }

    pub(crate) fn set_handle(&self, handle: GroupHandle) {
        *lock(&self.handle) = Some(handle);
    }

    /// Adds a task that is aborted when control ends.
    pub(crate) fn add_task(&self, task: JoinHandle<()>) {
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
