//! Performs the effects of a replica in their order.
//!
//! Entries are synced once for all the effects at hand; what follows them in
//! the list is held back until then, but for messages of a leader, which does
//! not count itself before the sync.

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

/// Storage, machine, requests and peers of one replica.
pub(crate) struct Performer {
    pub(crate) group: Name,
    pub(crate) storage: Option<GroupStorage>,
    pub(crate) machine: GroupMachine,
    pub(crate) requests: Requests,
    pub(crate) send: SendFn,
    /// Effects that wait for the next sync.
    held: Vec<Effect>,
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
            held: Vec::new(),
            unsynced_index: None,
            last_answer: Vec::new(),
        }
    }

    /// Performs effects; those that wait for a sync are held back.
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
                    self.perform_one(effect)?;
                }
                effect if self.unsynced_index.is_none() || effect.can_precede_append() => {
                    self.perform_one(effect)?;
                }
                effect => self.held.push(effect),
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

    /// Syncs what was appended and performs what waited for it; gives the
    /// index up to which the log is now durable, if that is news.
    pub(crate) fn flush(&mut self) -> Result<Option<u64>, StorageError> {
        let synced_index = self.unsynced_index.take();
        if let (Some(storage), Some(_)) = (&mut self.storage, synced_index) {
            let started = Instant::now();
            storage.sync()?;
            metrics::histogram!("anvillift_group_sync_seconds", "group" => self.group.to_string())
                .record(started.elapsed().as_secs_f64());
        }
        for effect in mem::take(&mut self.held) {
            self.perform_one(effect)?;
        }
        Ok(synced_index)
    }

    fn perform_one(&mut self, effect: Effect) -> Result<(), StorageError> {
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
                        "installed a snapshot of group {group} at {}", meta.index
                    );
                }
            }
            Effect::RefetchDone => {
                if let Some(storage) = &mut self.storage {
                    storage.finish_refetch()?;
                }
            }
            // Handled in order by `perform`.
            Effect::Append { .. } | Effect::SaveVote { .. } => (),
        }
        Ok(())
    }

    fn send_message(&self, to: Name, envelope: ConsensusEnvelope) {
        (self.send)(to, envelope);
    }

    /// Makes a snapshot of the own machine durable.
    pub(crate) fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        let Some(storage) = &mut self.storage else { return Ok(()) };
        storage.save_snapshot(&snapshot.meta, &snapshot.data, false)
    }

    /// Drops what was held back, since it must not be told any more.
    pub(crate) fn abandon(&mut self) {
        self.held.clear();
        self.requests.end_all();
    }
}
