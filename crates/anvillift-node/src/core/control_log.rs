//! The control log of a core host and the state that it yields.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvillift_consensus::RoleKind;
use anvillift_fleet::{ControlMachine, seed};
use anvillift_replication::{
    GroupDriver, GroupDriverSettings, GroupHandle, GroupMachine, GroupStatus, GroupTiming,
    OpenedGroup, ProposeError, ReplaceError,
};
use anvillift_schema::consensus::{ConsensusEnvelope, Voter};
use anvillift_schema::event::Event;
use anvillift_schema::fleet::{FleetCommand, FleetControl, FleetFrame};
use anvillift_schema::name::Name;
use anvillift_storage::{DataFolder, Io};
use snafu::ResultExt;
use tokio::sync::{mpsc, watch};
use tokio::{task, time};

use crate::error::{NodeError, StorageSnafu};
use crate::hub::Hub;
use crate::node::Node;

/// Name of the group.
const GROUP: &str = "control";
/// File that says which hosts form the group on the first start.
const FORMING_FILE: &str = "forming";
/// Entries between snapshots; entries hold whole configurations.
const SNAPSHOT_ENTRIES: u64 = 32;
/// A message crosses regions in tens of milliseconds, so a trial and a vote are
/// over within a step. Operators read rarely, and everybody waits for a leader
/// after a loss of power.
const TIMING: GroupTiming = GroupTiming {
    election_timeout_ms: 500,
    election_step_ms: 200,
    heartbeat_ms: 125,
    reads_by_lease: false,
};
/// Before a failed storage is opened again.
const REOPEN_AFTER: Duration = Duration::from_millis(700);

type Outgoing = (Name, ConsensusEnvelope);

/// The control log of a core host.
pub(crate) struct ControlLog {
    folder: DataFolder,
    node: Rc<Node>,
    forming: Vec<Name>,
    group: RefCell<GroupHandle>,
    machine: Arc<Mutex<ControlMachine>>,
    changes: watch::Sender<u64>,
    outgoing: mpsc::UnboundedSender<Outgoing>,
    unsent: RefCell<Option<mpsc::UnboundedReceiver<Outgoing>>>,
}

impl ControlLog {
    /// Starts the replica from what the disk holds.
    pub(crate) fn start(node: &Rc<Node>, folder: DataFolder) -> Result<Self, NodeError> {
        let forming = forming_hosts(node, &folder)?;
        let (outgoing, unsent) = mpsc::unbounded_channel();
        let (changes, _) = watch::channel(0);
        let machine = Arc::new(Mutex::new(ControlMachine::default()));
        let parts = Parts { node, folder: &folder, forming: &forming };
        let group = parts.start_group(&machine, &changes, &outgoing)?;
        Ok(Self {
            node: Rc::clone(node),
            group: RefCell::new(group),
            unsent: RefCell::new(Some(unsent)),
            folder,
            forming,
            machine,
            changes,
            outgoing,
        })
    }

    /// Sends the replica's messages over the links.
    pub(crate) fn send_over(&self, hub: Rc<Hub>) {
        let Some(mut unsent) = self.unsent.borrow_mut().take() else { return };
        task::spawn_local(async move {
            while let Some((to, envelope)) = unsent.recv().await {
                hub.send(&to, FleetFrame::Consensus(envelope));
            }
        });
    }

    pub(crate) fn receive(&self, from: Name, envelope: ConsensusEnvelope) {
        self.group().receive(from, envelope);
    }

    /// Commits a command.
    pub(crate) async fn propose(&self, command: &FleetCommand) -> Result<(), ProposeError> {
        let mut bytes = Vec::new();
        // Writing into memory can't fail.
        ciborium::into_writer(command, &mut bytes).ok();
        let group = self.group();
        group.propose(bytes).await.map(|_| ())
    }

    /// Waits until the state here holds every command acknowledged so far.
    pub(crate) async fn read_barrier(&self) -> Result<u64, ProposeError> {
        let group = self.group();
        group.read_barrier().await
    }

    /// The committed state, as far as it is known here.
    pub(crate) fn state(&self) -> FleetControl {
        lock(&self.machine).state().clone()
    }

    /// Tells of each change of the state.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    pub(crate) fn status(&self) -> GroupStatus {
        self.group().status()
    }

    /// Whether this replica leads.
    pub(crate) fn leads(&self) -> bool {
        self.status().role == RoleKind::Leader
    }

    pub(crate) async fn add(&self, replica: Voter) -> Result<(), ReplaceError> {
        let group = self.group();
        group.add_learner(replica).await
    }

    pub(crate) async fn remove(&self, replica: &Voter) -> Result<(), ReplaceError> {
        let group = self.group();
        group.remove(replica.clone()).await
    }

    /// Starts the replica again from its disk after a fault of the storage.
    pub(crate) async fn supervise(&self) {
        loop {
            let mut status = self.group().watch();
            let failed = status.wait_for(|status| status.failed).await.is_ok();
            if !failed && self.node.is_leaving() {
                return;
            }
            self.group().stop().await;
            time::sleep(REOPEN_AFTER).await;
            // What was applied may be ahead of the snapshot; it is applied again.
            *lock(&self.machine) = ControlMachine::default();
            let parts = Parts { node: &self.node, folder: &self.folder, forming: &self.forming };
            match parts.start_group(&self.machine, &self.changes, &self.outgoing) {
                Ok(group) => {
                    log::info!(event = Event::StorageReopened.number(); "the control log was opened again");
                    self.group.replace(group);
                }
                Err(error) => {
                    log::error!(event = Event::StorageFailed.number(); "the control log stays closed: {error}");
                }
            }
        }
    }

    /// Hands over leadership and closes the storage.
    pub(crate) async fn stop(&self) {
        let group = self.group();
        if self.leads() {
            group.step_down().await;
        }
        group.stop().await;
    }

    fn group(&self) -> GroupHandle {
        self.group.borrow().clone()
    }
}

/// What a replica is started from.
struct Parts<'a> {
    node: &'a Rc<Node>,
    folder: &'a DataFolder,
    forming: &'a [Name],
}

impl Parts<'_> {
    fn start_group(
        &self,
        machine: &Arc<Mutex<ControlMachine>>,
        changes: &watch::Sender<u64>,
        outgoing: &mpsc::UnboundedSender<Outgoing>,
    ) -> Result<GroupHandle, NodeError> {
        let group = Name::from(GROUP);
        let opened = self.folder.open_group(&group, Io::default()).context(StorageSnafu)?;
        let (storage, recovered) = opened;
        let me = self.node.me();
        let identity =
            Voter { host: me.name.clone(), storage_id: self.folder.storage_id().clone() };
        let settings = GroupDriverSettings {
            group,
            identity,
            voters: self.forming.to_vec(),
            storage: Some(OpenedGroup { storage, recovered }),
            timing: TIMING,
            snapshot_entries: SNAPSHOT_ENTRIES,
            seed: seed::of_host(&me.name, me.boot),
            ..GroupDriverSettings::default()
        };
        let outgoing = outgoing.clone();
        let send = Arc::new(move |to: Name, envelope| {
            // The receiver lives as long as the process.
            outgoing.send((to, envelope)).ok();
        });
        Ok(GroupDriver::start(settings, group_machine(machine, changes), send))
    }
}

fn group_machine(
    machine: &Arc<Mutex<ControlMachine>>,
    changes: &watch::Sender<u64>,
) -> GroupMachine {
    let (applied, saved, restored) = (machine.clone(), machine.clone(), machine.clone());
    let (after_apply, after_restore) = (changes.clone(), changes.clone());
    GroupMachine {
        apply: Box::new(move |index, command| {
            let outcome = lock(&applied).apply(index, command);
            log::info!(
                event = Event::ControlApplied.number(), index = index;
                "control command applied: {outcome}"
            );
            after_apply.send_replace(index);
            Vec::new()
        }),
        snapshot: Box::new(move || lock(&saved).snapshot()),
        restore: Box::new(move |bytes| {
            let mut machine = lock(&restored);
            if !machine.restore(bytes) {
                log::error!(event = Event::StorageFailed.number(); "a snapshot of control is unreadable");
            }
            after_restore.send_replace(machine.state().index);
        }),
    }
}

fn lock(machine: &Mutex<ControlMachine>) -> MutexGuard<'_, ControlMachine> {
    machine.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The hosts that form the group. They are noted on the disk, so that a
/// founding host that is restarted before the group is formed goes on.
fn forming_hosts(node: &Rc<Node>, folder: &DataFolder) -> Result<Vec<Name>, NodeError> {
    if node.settings.is_first_start {
        let names = node.settings.seed_names();
        folder.save(FORMING_FILE, &names).context(StorageSnafu)?;
        return Ok(names);
    }
    let noted: Option<Vec<Name>> = folder.load(FORMING_FILE).context(StorageSnafu)?;
    Ok(noted.unwrap_or_default())
}
