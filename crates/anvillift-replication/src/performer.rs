//! Performs the effects of a replica in their order.
//!
//! Appended entries are synced once per batch. Effects that come after an append
//! are deferred until that sync, except the messages by which a leader
//! replicates: the leader does not count its own copy before the sync.

use std::mem;
use std::time::Instant;

use anvillift_consensus::{Effect, Snapshot};
use anvillift_schema::consensus::{ConsensusEnvelope, Entry, SnapshotMeta};
use anvillift_schema::event::Event;
use anvillift_schema::name::Name;
use anvillift_storage::{GroupStorage, StorageError};

use crate::machine::GroupMachine;
use crate::requests::Requests;
use crate::settings::SendFn;

/// Performs the effects of one replica on its storage, state machine and pending
/// requests, and sends its messages to the other hosts.
pub(crate) struct Performer {
    pub(crate) group: Name,
    pub(crate) storage: Option<GroupStorage>,
    pub(crate) machine: GroupMachine,
    pub(crate) requests: Requests,
    pub(crate) send: SendFn,
    /// Effects that are performed after the next sync.
    deferred: Vec<Effect>,
    unsynced_index: Option<u64>,
    /// Highest log index in the state of the machine.
    applied_index: u64,
    last_answer: Vec<u8>,
}

impl Performer {
    /// Creates a performer without storage.
    pub(crate) fn new(group: Name, machine: GroupMachine, send: SendFn) -> Self {
        Self {
            group,
            storage: None,
            machine,
            requests: Requests::default(),
            send,
            deferred: Vec::new(),
            unsynced_index: None,
            applied_index: 0,
            last_answer: Vec::new(),
        }
    }

    /// Performs effects, and defers those that have to wait for a sync.
    pub(crate) fn perform(&mut self, effects: Vec<Effect>) -> Result<(), StorageError> {
        for effect in effects {
            match effect {
                Effect::Append { entries } => self.append(entries),
                Effect::SaveVote { vote } => {
                    if let Some(storage) = &mut self.storage {
                        storage.save_vote(&vote)?;
                    }
                }
                Effect::InstallSnapshot { .. } | Effect::RefetchDone => {
                    self.flush()?;
                    self.perform_now(effect)?;
                }
                effect if self.unsynced_index.is_none() || effect.can_precede_append() => {
                    self.perform_now(effect)?;
                }
                effect => self.deferred.push(effect),
            }
        }
        Ok(())
    }

    fn append(&mut self, entries: Vec<Entry>) {
        self.unsynced_index = entries.last().map(|entry| entry.index);
        if let Some(storage) = &mut self.storage {
            storage.append(entries);
        }
    }

    /// Syncs the appended entries and performs the deferred effects. Returns the
    /// index up to which the log became durable, or `None` if nothing was
    /// appended.
    pub(crate) fn flush(&mut self) -> Result<Option<u64>, StorageError> {
        let synced_index = self.unsynced_index.take();
        if let (Some(storage), Some(_)) = (&mut self.storage, synced_index) {
            let started = Instant::now();
            storage.sync()?;
            metrics::histogram!("anvillift_group_sync_seconds", "group" => self.group.to_string())
                .record(started.elapsed().as_secs_f64());
        }
        for effect in mem::take(&mut self.deferred) {
            self.perform_now(effect)?;
        }
        Ok(synced_index)
    }

    fn perform_now(&mut self, effect: Effect) -> Result<(), StorageError> {
        match effect {
            Effect::Send { to, envelope } => self.send_message(to, envelope),
            // A replica that continues after a storage fault replays what the machine has applied.
            Effect::Apply { index, .. } if index <= self.applied_index => (),
            Effect::Apply { index, command } => {
                self.last_answer = (self.machine.apply)(index, &command);
                self.applied_index = index;
            }
            Effect::Answer { request_id, result } => {
                let answer = &mut self.last_answer;
                self.requests.answer(request_id, result, || mem::take(answer));
            }
            Effect::InstallSnapshot { meta, data } => {
                if let Some(storage) = &mut self.storage {
                    storage.save_snapshot(&meta, &data, true)?;
                }
                if self.restore(&meta, &data) {
                    let group = &self.group;
                    log::info!(
                        event = Event::SnapshotInstalled.number(), group = group.as_str();
                        "installed a snapshot of group {group} at index {}", meta.index
                    );
                }
            }
            Effect::RefetchDone => {
                if let Some(storage) = &mut self.storage {
                    storage.finish_refetch()?;
                }
            }
            // `perform` handles these itself.
            Effect::Append { .. } | Effect::SaveVote { .. } => (),
        }
        Ok(())
    }

    fn send_message(&self, to: Name, envelope: ConsensusEnvelope) {
        (self.send)(to, envelope);
    }

    /// Restores a snapshot into the state machine, unless its state is as new. Returns whether it
    /// was restored.
    pub(crate) fn restore(&mut self, meta: &SnapshotMeta, data: &[u8]) -> bool {
        if meta.index <= self.applied_index {
            return false;
        }
        (self.machine.restore)(data);
        self.applied_index = meta.index;
        true
    }

    /// Highest log index in the state of the machine.
    pub(crate) fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Makes a snapshot of the local state machine durable.
    pub(crate) fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        let Some(storage) = &mut self.storage else { return Ok(()) };
        storage.save_snapshot(&snapshot.meta, &snapshot.data, false)
    }

    /// Removes from failed storage what was written without a successful sync, and closes it.
    pub(crate) fn discard_unsynced(&mut self) -> Result<(), StorageError> {
        if let Some(storage) = &mut self.storage {
            storage.discard_unsynced()?;
        }
        self.storage = None;
        Ok(())
    }

    /// Drops the deferred effects and fails the pending requests. Called after a
    /// fault or on a stop, when entries before these effects may not be durable.
    pub(crate) fn abort(&mut self) {
        self.deferred.clear();
        self.unsynced_index = None;
        self.requests.fail_all();
    }
}
