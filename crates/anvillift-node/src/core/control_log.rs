//! Replica of the control log on a core host, and the control state that results
//! from its committed commands.
//!
//! The replica runs on a thread of its own. Its messages are queued and sent over
//! the links; each applied command is published through a watch channel.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use anvillift_consensus::RoleKind;
use anvillift_fleet::{ControlMachine, Outcome, seed};
use anvillift_replication::{
    GroupDriver, GroupDriverSettings, GroupHandle, GroupMachine, GroupStatus, GroupTiming,
    MembershipError, OpenedGroup, ProposeError, StorageOpener,
};
use anvillift_schema::consensus::{ConsensusEnvelope, Voter};
use anvillift_schema::event::Event;
use anvillift_schema::fleet::{
    FleetCommand, FleetControl, FleetFrame, FleetTrialRecord, GrantTrial,
};
use anvillift_schema::name::Name;
use anvillift_storage::{DataFolder, StorageIo};
use snafu::ResultExt;
use tokio::sync::{mpsc, watch};
use tokio::task;

use crate::error::{NodeError, StorageSnafu};
use crate::hub::Hub;
use crate::node::Node;

/// Name of the consensus group, under which its log is stored.
const GROUP_NAME: &str = "control";
/// File in the data folder with the hosts that form the group at the first start
/// of the fleet.
const FOUNDERS_FILE: &str = "forming";
/// Entries between two snapshots. The number is low because an entry may hold an
/// entire configuration.
const SNAPSHOT_ENTRIES: u64 = 32;
/// Timeouts of the control group. A message between regions takes tens of
/// milliseconds, so a pre-vote and a vote complete within one
/// `election_step_ms`. The timeouts are short because every host waits for a
/// leader after a power loss. Reads by lease are off: operators read rarely, so
/// the round trip of a read barrier is affordable.
const TIMING: GroupTiming = GroupTiming {
    election_timeout_ms: 500,
    election_step_ms: 200,
    heartbeat_ms: 125,
    lease_reads: false,
};

/// Answer of the state machine to a [`GrantTrial`] that it accepts.
const TRIAL_GRANTED: u8 = 1;

type Outgoing = (Name, ConsensusEnvelope);

/// Replica of the control log.
pub(crate) struct ControlLog {
    group: GroupHandle,
    machine: Arc<Mutex<ControlMachine>>,
    /// Index of the last applied command.
    changes: watch::Sender<u64>,
    /// Taken by the task that sends the messages.
    outgoing_receiver: RefCell<Option<mpsc::UnboundedReceiver<Outgoing>>>,
}

impl ControlLog {
    /// Opens the storage and starts the replica from the recovered log.
    pub(crate) fn start(node: &Node, folder: Arc<DataFolder>) -> Result<Self, NodeError> {
        let founders = founder_names(node, &folder)?;
        let (outgoing, outgoing_receiver) = mpsc::unbounded_channel();
        let (changes, _) = watch::channel(0);
        let machine = Arc::new(Mutex::new(ControlMachine::default()));
        let send = Arc::new(move |to: Name, envelope| {
            // Sending can't fail: the receiver lives as long as the process.
            outgoing.send((to, envelope)).ok();
        });
        let settings = group_settings(node, folder, founders);
        let group = GroupDriver::start(settings, group_machine(&machine, &changes), send);
        Ok(Self {
            group,
            outgoing_receiver: RefCell::new(Some(outgoing_receiver)),
            machine,
            changes,
        })
    }

    /// Starts a task that sends the replica's messages over the links.
    pub(crate) fn send_messages_over(&self, hub: Rc<Hub>) {
        let Some(mut outgoing_receiver) = self.outgoing_receiver.borrow_mut().take() else {
            return;
        };
        task::spawn_local(async move {
            while let Some((to, envelope)) = outgoing_receiver.recv().await {
                hub.send(&to, FleetFrame::Consensus(envelope));
            }
        });
    }

    pub(crate) fn receive(&self, from: Name, envelope: ConsensusEnvelope) {
        self.group.receive(from, envelope);
    }

    /// Proposes a command and waits until it is committed. Fails if this replica
    /// is not the leader.
    pub(crate) async fn propose(&self, command: &FleetCommand) -> Result<(), ProposeError> {
        self.propose_and_apply(command).await.map(|_| ())
    }

    /// Proposes a trial and waits until it is committed. Returns whether it was granted: another
    /// leader may have granted the same one before.
    pub(crate) async fn propose_trial(&self, grant: GrantTrial) -> Result<bool, ProposeError> {
        let answer = self.propose_and_apply(&FleetCommand::GrantTrial(grant)).await?;
        Ok(answer == [TRIAL_GRANTED])
    }

    async fn propose_and_apply(&self, command: &FleetCommand) -> Result<Vec<u8>, ProposeError> {
        let mut bytes = Vec::new();
        // Writing to a vector can't fail.
        ciborium::into_writer(command, &mut bytes).ok();
        self.group.propose(bytes).await
    }

    /// The trials of a set of quarantined features after the last command applied here.
    pub(crate) fn trial_record(&self, parts: &[u64]) -> FleetTrialRecord {
        lock(&self.machine).trial_record(parts)
    }

    /// Waits until the local state includes every command acknowledged so far.
    pub(crate) async fn read_barrier(&self) -> Result<u64, ProposeError> {
        self.group.read_barrier().await
    }

    /// The state after the last command applied here, which may lag behind the
    /// leader's.
    pub(crate) fn state(&self) -> FleetControl {
        lock(&self.machine).state().clone()
    }

    /// The state after the last command applied here, if its index is higher than `index`.
    pub(crate) fn state_after(&self, index: u64) -> Option<FleetControl> {
        let machine = lock(&self.machine);
        Some(machine.state()).filter(|state| state.index > index).cloned()
    }

    /// Version of the configuration in the state after the last command applied here.
    pub(crate) fn version(&self) -> u64 {
        lock(&self.machine).state().version
    }

    /// Subscribes to changes of the state; the value is the applied index.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    pub(crate) fn status(&self) -> GroupStatus {
        self.group.status()
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.status().role == RoleKind::Leader
    }

    pub(crate) async fn add_learner(&self, replica: Voter) -> Result<(), MembershipError> {
        self.group.add_learner(replica).await
    }

    pub(crate) async fn remove_replica(&self, replica: &Voter) -> Result<(), MembershipError> {
        self.group.remove_replica(replica.clone()).await
    }

    /// Transfers leadership if this replica leads.
    pub(crate) async fn hand_over(&self) {
        if self.is_leader() {
            self.group.step_down().await;
        }
    }

    /// Transfers leadership if this replica leads, and closes the storage.
    pub(crate) async fn stop(&self) {
        self.hand_over().await;
        self.group.stop().await;
    }
}

fn group_settings(
    node: &Node,
    folder: Arc<DataFolder>,
    founders: Vec<Name>,
) -> GroupDriverSettings {
    let own_host = node.own_host();
    let storage_id = folder.storage_id().clone();
    let opener = StorageOpener::new(move || {
        let group = Name::from(GROUP_NAME);
        let (storage, recovered) = folder.open_group(&group, StorageIo::default())?;
        Ok(OpenedGroup { storage_id: folder.storage_id().clone(), storage, recovered })
    });
    GroupDriverSettings {
        group: Name::from(GROUP_NAME),
        identity: Voter { host: own_host.name.clone(), storage_id },
        voters: founders,
        storage: Some(opener),
        timing: TIMING,
        snapshot_entries: SNAPSHOT_ENTRIES,
        seed: seed::of_host(&own_host.name, own_host.boot),
        ..GroupDriverSettings::default()
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
            // The answer to the host that proposed the command.
            if outcome == Outcome::Granted { vec![TRIAL_GRANTED] } else { Vec::new() }
        }),
        snapshot: Box::new(move || lock(&saved).snapshot()),
        restore: Box::new(move |bytes| {
            let mut machine = lock(&restored);
            if !machine.restore(bytes) {
                log::error!(event = Event::StorageFailed.number(); "control snapshot can't be decoded; the state is unchanged");
            }
            after_restore.send_replace(machine.state().index);
        }),
    }
}

fn lock(machine: &Mutex<ControlMachine>) -> MutexGuard<'_, ControlMachine> {
    machine.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Names of the hosts that form the group. They are saved to disk, so that a
/// founding host that restarts before the group has formed still takes part in
/// forming it.
fn founder_names(node: &Node, folder: &DataFolder) -> Result<Vec<Name>, NodeError> {
    if node.settings.is_first_start {
        let names = node.settings.seed_names();
        folder.save(FOUNDERS_FILE, &names).context(StorageSnafu)?;
        return Ok(names);
    }
    let saved_names: Option<Vec<Name>> = folder.load(FOUNDERS_FILE).context(StorageSnafu)?;
    Ok(saved_names.unwrap_or_default())
}
