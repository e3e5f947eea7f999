//! Groups of drivers in one process, which exchange messages through their
//! handles.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use anvillift_consensus::RoleKind;
use anvillift_replication::{
    GroupDriver, GroupDriverSettings, GroupHandle, GroupMachine, GroupTiming, OpenedGroup, SendFn,
    StorageOpener,
};
use anvillift_schema::consensus::Voter;
use anvillift_schema::name::Name;
use anvillift_storage::{DataFolder, StorageIo};
use tempfile::TempDir;

const DEADLINE: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Commands applied by one host.
pub(crate) type Applied = Arc<Mutex<Vec<Vec<u8>>>>;

/// Handle and observable state of a running host.
pub(crate) struct Member {
    pub(crate) handle: GroupHandle,
    pub(crate) applied: Applied,
    pub(crate) storage_id: Name,
    folder: Option<Arc<DataFolder>>,
}

/// Running hosts by name, and the handles through which messages reach them.
#[derive(Default)]
pub(crate) struct Group {
    pub(crate) members: BTreeMap<Name, Member>,
    names: Vec<Name>,
    handles: Arc<Mutex<BTreeMap<Name, GroupHandle>>>,
    starts: u64,
}

pub(crate) fn host(number: usize) -> Name {
    Name::from(format!("host-{number}"))
}

/// Waits until a condition returns a value, and fails after `DEADLINE`.
pub(crate) async fn eventually<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + DEADLINE;
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(Instant::now() < deadline, "{what} did not happen within {DEADLINE:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

impl Group {
    pub(crate) fn new(size: usize) -> Self {
        Self { names: (0..size).map(host).collect(), ..Self::default() }
    }

    /// Starts a host, with storage on disk if a folder is given.
    pub(crate) fn start(&mut self, name: &Name, folder: Option<PathBuf>) {
        self.start_with(name, folder, StorageIo::default);
    }

    /// Starts a host whose storage uses the given I/O each time it is opened.
    pub(crate) fn start_with(
        &mut self,
        name: &Name,
        folder: Option<PathBuf>,
        io: impl Fn() -> StorageIo + Send + 'static,
    ) {
        self.starts += 1;
        let folder =
            folder.map(|path| Arc::new(DataFolder::open(&path).expect("the folder opens")));
        let opener = folder.clone().map(|folder| {
            StorageOpener::new(move || {
                let (storage, recovered) = folder.open_group(&Name::from("group"), io())?;
                let storage_id = folder.storage_id().clone();
                Ok(OpenedGroup { storage_id, storage, recovered })
            })
        });
        let storage_id = match &folder {
            Some(folder) => folder.storage_id().clone(),
            None => Name::from(format!("memory-{}", self.starts)),
        };
        let applied = Applied::default();
        let settings = GroupDriverSettings {
            group: Name::from("group"),
            identity: Voter { host: name.clone(), storage_id: storage_id.clone() },
            voters: self.names.clone(),
            replace_restarted_hosts: opener.is_none(),
            storage: opener,
            timing: GroupTiming {
                election_timeout_ms: 300,
                heartbeat_ms: 50,
                ..GroupTiming::default()
            },
            snapshot_entries: 50,
            snapshot_bytes: usize::MAX,
            seed: self.starts,
        };
        let handle = GroupDriver::start(settings, machine(&applied), self.sender(name));
        lock(&self.handles).insert(name.clone(), handle.clone());
        self.members.insert(name.clone(), Member { handle, applied, storage_id, folder });
    }

    fn sender(&self, from: &Name) -> SendFn {
        let (handles, from) = (Arc::clone(&self.handles), from.clone());
        Arc::new(move |to, envelope| {
            if let Some(handle) = lock(&handles).get(&to) {
                handle.receive(from.clone(), envelope);
            }
        })
    }

    pub(crate) async fn stop(&mut self, name: &Name) {
        lock(&self.handles).remove(name);
        let member = self.members.remove(name).expect("a running host");
        member.handle.stop().await;
        drop(member.folder);
    }

    /// Waits for a leader on whose term all running hosts agree, and returns it.
    pub(crate) async fn leader(&self) -> Name {
        eventually("an election", || {
            let mut leaders = self
                .members
                .iter()
                .filter(|(_, member)| member.handle.status().role == RoleKind::Leader);
            let (name, leader) = leaders.next()?;
            let term = leader.handle.status().term;
            let is_agreed = self.members.values().all(|member| member.handle.status().term <= term);
            (leaders.next().is_none() && is_agreed).then(|| name.clone())
        })
        .await
    }

    /// Proposes a command to the current leader, and repeats this until it is
    /// committed.
    pub(crate) async fn propose(&self, command: &str) -> Vec<u8> {
        let deadline = Instant::now() + DEADLINE;
        loop {
            let leader = self.leader().await;
            let handle = &self.members[&leader].handle;
            match handle.propose(command.as_bytes().to_vec()).await {
                Ok(answer) => return answer,
                Err(error) => assert!(Instant::now() < deadline, "{command}: {error}"),
            }
        }
    }

    /// Waits until a host has applied a command.
    pub(crate) async fn wait_until_applied(&self, name: &Name, command: &str) {
        let applied = &self.members[name].applied;
        eventually("the command", || {
            lock(applied).iter().any(|other| other == command.as_bytes()).then_some(())
        })
        .await;
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// State machine that stores the commands and answers each with the number of
/// commands so far.
fn machine(applied: &Applied) -> GroupMachine {
    let (apply, snapshot, restore) =
        (Arc::clone(applied), Arc::clone(applied), Arc::clone(applied));
    GroupMachine {
        apply: Box::new(move |_, command| {
            let mut applied = lock(&apply);
            applied.push(command.to_vec());
            applied.len().to_string().into_bytes()
        }),
        snapshot: Box::new(move || {
            let mut bytes = Vec::new();
            ciborium::into_writer(&*lock(&snapshot), &mut bytes).expect("encodes");
            bytes
        }),
        restore: Box::new(move |bytes| {
            *lock(&restore) = ciborium::from_reader(bytes).expect("decodes");
        }),
    }
}

pub(crate) fn folder_of(root: &Path, name: &Name) -> Option<PathBuf> {
    Some(root.join(name.as_str()))
}

/// Folder of a file system in memory, on machines that have one.
const MEMORY_FOLDER: &str = "/dev/shm";

/// A temporary folder, in memory if possible: the disk of the machine, which tests share with other
/// work, may stand still for longer than hosts wait for each other.
pub(crate) fn memory_folder() -> TempDir {
    let folder = tempfile::tempdir_in(MEMORY_FOLDER).or_else(|_| tempfile::tempdir());
    folder.expect("a folder")
}
