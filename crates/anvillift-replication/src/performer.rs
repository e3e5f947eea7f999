//! Performs the effects of a replica in their order.
//!
//! Appended entries are synced once per batch. Effects that come after an append
//! are deferred until that sync, except the messages by which a leader
//! replicates: the leader does not count its own copy before the sync.

use std::mem;
use std::time::Instant;

use anvillift_consensus::{Effect, Snapshot};
use anvillift_schema::consensus::{ConsensusEnvelope, Entry};
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
    last_answer: Vec<u8>,
}

impl Performer {
    pub(crate) fn new(
        group: Name,
        storage: Option<GroupStorage>,
        machine: GroupMachine,
        send: SendFn,
    ) -> Self {
        Self {
            group,
            storage,
            machine,
            requests: Requests::default(),
            send,
            deferred: Vec::new(),
            unsynced_index: None,
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
            Effect::Apply { index, command } => {
                self.last_answer = (self.machine.apply)(index, &command);
            }
            Effect::Answer { request_id, result } => {
                let answer = &mut self.last_answer;
                self.requests.answer(request_id, result, || mem::take(answer));
            }
            Effect::InstallSnapshot { meta, data } => {
                if let Some(storage) = &mut self.storage {
                    storage.save_snapshot(&meta, &data, true)?;
                }
                if meta.index > 0 {
                    (self.machine.restore)(&data);
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

    /// Makes a snapshot of the local state machine durable.
    pub(crate) fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        let Some(storage) = &mut self.storage else { return Ok(()) };
        storage.save_snapshot(&snapshot.meta, &snapshot.data, false)
    }

    /// Drops the deferred effects and fails the pending requests. Called after a
    /// fault or on a stop, when entries before these effects may not be durable.
    pub(crate) fn abort(&mut self) {
        self.deferred.clear();
        self.requests.fail_all();
    }
}
