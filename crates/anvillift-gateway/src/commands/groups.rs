//! Replicas of ledger groups on this host.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::{Arc, Mutex};

use anvillift_ledger::machine::{Machine, MachineSettings};
use anvillift_replication::{
    GroupDriver, GroupDriverSettings, GroupHandle, GroupMachine, GroupTiming, OpenedGroup, SendFn,
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
    /// Holds the lock on the folder.
    _folder: Option<DataFolder>,
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
        let own: Vec<_> = own.collect();
        let folder = if own.is_empty() { None } else { open_folder(gateway) };
        let handles = own.into_iter().map(|(home, group)| {
            let group_name = group_name(home);
            let handle = start_group(gateway, &group_name, &group.voters, folder.as_ref());
            (group_name, handle)
        });
        Self { handles: handles.collect(), _folder: folder }
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

/// Opens the folder of the ledgers. `None` if the settings name no data folder or the folder cannot
/// be opened; the ledgers are then kept in memory.
fn open_folder(gateway: &Gateway) -> Option<DataFolder> {
    let storage = gateway.settings.storage.as_ref()?;
    let path = Path::new(&storage.folder).join(LEDGERS_FOLDER);
    let opened = std::fs::create_dir_all(&path).map_err(|error| error.to_string());
    let opened = opened.and_then(|()| DataFolder::open(&path).map_err(|error| error.to_string()));
    opened
        .inspect_err(|error| {
            log::error!(
                event = Event::StorageFailed.number();
                "cannot use the ledger folder, keeping the ledgers in memory: {error}"
            );
        })
        .ok()
}

fn start_group(
    gateway: &Arc<Gateway>,
    group: &Name,
    voters: &[Name],
    folder: Option<&DataFolder>,
) -> GroupHandle {
    let opened = folder.and_then(|folder| open_group(folder, group));
    let storage_id = match (&opened, folder) {
        (Some(_), Some(folder)) => folder.storage_id().clone(),
        _ => Name::from(Uuid::new_v4().to_string()),
    };
    let election_timeout_ms = gateway.settings.timing.election_timeout_ms;
    let settings = GroupDriverSettings {
        group: group.clone(),
        identity: Voter { host: gateway.host().clone(), storage_id },
        voters: voters.to_vec(),
        storage: opened,
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

fn open_group(folder: &DataFolder, group: &Name) -> Option<OpenedGroup> {
    let opened: Result<_, StorageError> = folder.open_group(group, StorageIo::default());
    match opened {
        Ok((storage, recovered)) => Some(OpenedGroup { storage, recovered }),
        Err(error) => {
            log::error!(
                event = Event::StorageFailed.number();
                "cannot open the log of ledger {group}, keeping the ledger in memory: {error}"
            );
            None
        }
    }
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
