//! Replicas of ledger groups on this host.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use anvillift_ledger::machine::{Machine, MachineSettings};
use anvillift_replication::{
    GroupDriver, GroupDriverSettings, GroupHandle, GroupMachine, GroupTiming, OpenedGroup, SendFn,
    StorageOpener,
};
use anvillift_schema::consensus::Voter;
use anvillift_schema::event::Event;
use anvillift_schema::link::PeerMessage;
use anvillift_schema::name::Name;
use anvillift_storage::{DataFolder, StorageError, StorageIo};
use uuid::Uuid;

use crate::gateway::Gateway;

/// Number of heartbeats that a leader sends in the shortest election timeout.
const HEARTBEATS_PER_ELECTION_TIMEOUT: u64 = 5;
/// Name of the ledger folder inside the data folder.
const LEDGERS_FOLDER: &str = "ledgers";

/// Replicas on this host, by the name of their group.
#[derive(Debug)]
pub(super) struct Groups {
    handles: BTreeMap<Name, GroupHandle>,
}

/// Name of the ledger group of a home region.
pub(super) fn group_name(home: &Name) -> Name {
    Name::from(format!("ledger-{home}"))
}

impl Groups {
    /// Starts a replica of each group in which this host votes.
    pub(super) fn start(gateway: &Arc<Gateway>) -> Self {
        let ledgers = gateway.settings.ledgers.iter();
        let own = ledgers.filter(|(_, group)| group.voters.contains(gateway.host()));
        let folder = LedgerFolder::of(gateway).map(|folder| Arc::new(Mutex::new(folder)));
        let handles = own.map(|(home, group)| {
            let group_name = group_name(home);
            let opener = folder.clone().map(|folder| opener(folder, group_name.clone()));
            let handle = start_group(gateway, &group_name, &group.voters, opener);
            (group_name, handle)
        });
        Self { handles: handles.collect() }
    }

    pub(super) fn get(&self, group: &Name) -> Option<&GroupHandle> {
        self.handles.get(group)
    }

    pub(super) fn all(&self) -> impl Iterator<Item = &GroupHandle> {
        self.handles.values()
    }

    /// Hands over leadership of each group and stops its replica.
    pub(super) async fn stop(&self) {
        for handle in self.handles.values() {
            let _ = tokio::time::timeout(STEP_DOWN_TIMEOUT, handle.step_down()).await;
            handle.stop().await;
        }
    }
}

const STEP_DOWN_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// The folder of the ledgers inside the data folder, opened when the first ledger is.
struct LedgerFolder {
    path: PathBuf,
    opened: Option<DataFolder>,
}

impl LedgerFolder {
    /// The folder that the settings name; `None` if the ledgers are kept in memory.
    fn of(gateway: &Gateway) -> Option<Self> {
        let storage = gateway.settings.storage.as_ref()?;
        Some(Self { path: Path::new(&storage.folder).join(LEDGERS_FOLDER), opened: None })
    }

    /// Opens the log of a ledger, and the folder if it isn't open yet. Both are tried again after
    /// an error: a ledger that was kept in memory instead would forget its commands.
    fn open_group(&mut self, group: &Name) -> Result<OpenedGroup, StorageError> {
        let folder = match &mut self.opened {
            Some(folder) => folder,
            opened => opened.insert(DataFolder::open(&self.path)?),
        };
        let (storage, recovered) = folder.open_group(group, StorageIo::default())?;
        Ok(OpenedGroup { storage_id: folder.storage_id().clone(), storage, recovered })
    }
}

fn opener(folder: Arc<Mutex<LedgerFolder>>, group: Name) -> StorageOpener {
    StorageOpener::new(move || folder.lock().expect("lock").open_group(&group))
}

fn start_group(
    gateway: &Arc<Gateway>,
    group: &Name,
    voters: &[Name],
    opener: Option<StorageOpener>,
) -> GroupHandle {
    // A ledger that is kept in memory is a new replica after each start.
    let storage_id = Name::from(Uuid::new_v4().to_string());
    let election_timeout_ms = gateway.settings.timing.election_timeout_ms;
    let settings = GroupDriverSettings {
        group: group.clone(),
        identity: Voter { host: gateway.host().clone(), storage_id },
        voters: voters.to_vec(),
        storage: opener,
        timing: GroupTiming {
            election_timeout_ms,
            heartbeat_ms: (election_timeout_ms / HEARTBEATS_PER_ELECTION_TIMEOUT).max(1),
            ..GroupTiming::default()
        },
        replace_restarted_hosts: true,
        seed: Uuid::new_v4().as_u64_pair().0,
        ..GroupDriverSettings::default()
    };
    GroupDriver::start(settings, machine(), sender(gateway))
}

fn machine() -> GroupMachine {
    let machine = Arc::new(Mutex::new(Machine::new(MachineSettings::default())));
    let (applied, restored) = (machine.clone(), machine.clone());
    GroupMachine {
        apply: Box::new(move |_, command| applied.lock().expect("lock").apply_bytes(command)),
        snapshot: Box::new(move || machine.lock().expect("lock").snapshot()),
        restore: Box::new(move |snapshot| {
            if let Err(error) = restored.lock().expect("lock").restore(snapshot) {
                log::error!(
                    event = Event::StorageFailed.number();
                    "cannot restore the ledger snapshot: {error}"
                );
            }
        }),
    }
}

fn sender(gateway: &Arc<Gateway>) -> SendFn {
    let gateway = Arc::downgrade(gateway);
    Arc::new(move |to, envelope| {
        if let Some(gateway) = gateway.upgrade() {
            gateway.mesh().send(&to, PeerMessage::Consensus(envelope));
        }
    })
}
