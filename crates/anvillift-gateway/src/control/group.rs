//! The replica of the control log, on hosts with a disk.

use std::sync::{Arc, Weak};

use anvillift_control::{ControlMachine, encode};
use anvillift_replication::{
    GroupDriver, GroupDriverSettings, GroupHandle, GroupMachine, GroupTiming, OpenedGroup, SendFn,
    StorageOpener,
};
use anvillift_schema::configuration::ControlCommand;
use anvillift_schema::consensus::Voter;
use anvillift_schema::link::PeerMessage;
use anvillift_schema::name::Name;
use anvillift_storage::StorageIo;

use anvillift_consensus::RoleKind;

use crate::control::state::lock;
use crate::control::{GROUP, distribution};
use crate::gateway::Gateway;

/// Number of heartbeats that a leader sends in one election timeout.
const HEARTBEATS_PER_ELECTION_TIMEOUT: u64 = 5;

/// Starts the replica if this host has a disk and the settings name voters of control.
pub(super) fn start(gateway: &Arc<Gateway>) {
    let voters = &gateway.settings.control.voters;
    let (Some(folder), Some(storage)) = (&gateway.control.folder, &gateway.settings.storage) else {
        return;
    };
    if voters.is_empty() {
        return;
    }
    let opened_folder = Arc::clone(folder);
    let opener = StorageOpener::new(move || {
        let group = Name::from(GROUP);
        let (storage, recovered) = opened_folder.open_group(&group, StorageIo::default())?;
        Ok(OpenedGroup { storage_id: opened_folder.storage_id().clone(), storage, recovered })
    });
    let election_timeout_ms = gateway.settings.timing.election_timeout_ms;
    let settings = GroupDriverSettings {
        group: Name::from(GROUP),
        identity: Voter { host: gateway.host().clone(), storage_id: folder.storage_id().clone() },
        voters: voters.clone(),
        storage: Some(opener),
        timing: GroupTiming {
            election_timeout_ms,
            heartbeat_ms: election_timeout_ms / HEARTBEATS_PER_ELECTION_TIMEOUT,
            ..GroupTiming::default()
        },
        snapshot_entries: storage.snapshot_entries,
        seed: rand::random(),
        ..GroupDriverSettings::default()
    };
    let handle = GroupDriver::start(settings, machine(gateway), sender(gateway));
    gateway.control.set_handle(handle.clone());
    gateway.control.add_task(tokio::spawn(publish_applied(Arc::downgrade(gateway))));
    gateway.control.add_task(tokio::spawn(seed_configuration(Arc::downgrade(gateway), handle)));
}

fn machine(gateway: &Arc<Gateway>) -> GroupMachine {
    let control = &gateway.control;
    let (applied, restored) = (control.machine.clone(), control.machine.clone());
    let (notify, notify_restored) = (control.applied.clone(), control.applied.clone());
    let read = control.machine.clone();
    GroupMachine {
        apply: Box::new(move |index, command| {
            let answer = lock(&applied).apply(index, command);
            notify.notify_one();
            encode(&answer)
        }),
        snapshot: Box::new(move || lock(&read).snapshot()),
        restore: Box::new(move |bytes| {
            if let Some(machine) = ControlMachine::restore(bytes) {
                *lock(&restored) = machine;
                notify_restored.notify_one();
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

/// Puts in force each configuration that the state machine has applied.
async fn publish_applied(gateway: Weak<Gateway>) {
    let Some(applied) = gateway.upgrade().map(|gateway| gateway.control.applied.clone()) else {
        return;
    };
    loop {
        applied.notified().await;
        let Some(gateway) = gateway.upgrade() else { return };
        let own_revision = gateway.control.daemon_configuration().revision();
        let update = gateway.control.machine().update_after(own_revision);
        if let Some(update) = update {
            let own = gateway.host().clone();
            distribution::receive_update(&gateway, &own, update);
        }
    }
}

/// Seeds an empty control log with the configuration of the settings. Only the leader does this,
/// after it has caught up with the log.
async fn seed_configuration(gateway: Weak<Gateway>, handle: GroupHandle) {
    let mut status = handle.watch();
    loop {
        if status.wait_for(|status| status.role == RoleKind::Leader).await.is_err() {
            return;
        }
        let Some(gateway) = gateway.upgrade() else { return };
        let is_caught_up = handle.read_barrier().await.is_ok();
        if gateway.control.machine().is_seeded() {
            return;
        }
        if is_caught_up {
            let configuration = gateway.seed.as_deref().cloned().unwrap_or_default();
            let seed = encode(&ControlCommand::Seed(configuration));
            handle.propose(seed).await.ok();
        }
        drop(gateway);
        if is_caught_up && status.changed().await.is_err() {
            return;
        }
    }
}
