//! The thread that runs one replica.
//!
//! It receives [`Input`]s from a channel, passes them to the replica, and has the
//! [`Performer`] carry out the returned effects. After each batch it publishes
//! the status of the replica. After a storage fault the replica stops, and a new one continues
//! from the storage once that can be opened again.

mod reopening;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};

use anvillift_consensus::{Effect, Replica, RoleKind, Snapshot};
use anvillift_schema::consensus::SnapshotMeta;
use anvillift_schema::event::Event;
use anvillift_storage::StorageError;
use rustix::time::ClockId;
use tokio::sync::{oneshot, watch};

use crate::error::ProposeError;
use crate::handle::GroupHandle;
use crate::input::Input;
use crate::machine::GroupMachine;
use crate::membership_error::MembershipError;
use crate::performer::Performer;
use crate::replica_source::ReplicaSource;
use crate::requests::PendingRequest;
use crate::settings::{GroupDriverSettings, SendFn};
use crate::status::GroupStatus;

/// Interval between ticks of a replica.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of inputs that are handled before a sync.
const MAX_BATCH_INPUTS: usize = 1_024;
/// Maximum number of commands and reads that wait for their answer; more are
/// rejected as busy.
const MAX_PENDING_REQUESTS: usize = 10_000;

/// Runs the replica of one group on a thread of its own.
pub struct GroupDriver {
    replica: Replica,
    source: ReplicaSource,
    performer: Performer,
    inputs: Receiver<Input>,
    queued: Arc<AtomicUsize>,
    status: watch::Sender<GroupStatus>,
    tick_due: Instant,
    snapshot_entries: u64,
    snapshot_bytes: usize,
    snapshot_index: u64,
    /// Time at which failed storage is opened again; `None` while the replica runs.
    reopen_due: Option<Instant>,
    stopping: Option<oneshot::Sender<()>>,
}

impl GroupDriver {
    /// Starts the replica of a group with the state from its storage, or empty if
    /// it has none. A snapshot is restored into the state machine before this
    /// returns. If the storage cannot be opened, the replica starts once it can.
    pub fn start(
        settings: GroupDriverSettings,
        machine: GroupMachine,
        send: SendFn,
    ) -> GroupHandle {
        let group = settings.group.clone();
        let (snapshot_entries, snapshot_bytes) =
            (settings.snapshot_entries, settings.snapshot_bytes);
        let mut source = ReplicaSource::new(settings);
        let replica = source.empty_replica();
        let (tx, inputs) = mpsc::channel();
        let queued = Arc::new(AtomicUsize::new(0));
        let (status, status_receiver) = watch::channel(GroupStatus::new(replica.status(), false));
        let mut driver = Self {
            replica,
            source,
            performer: Performer::new(group.clone(), machine, send),
            inputs,
            queued: Arc::clone(&queued),
            status,
            tick_due: Instant::now(),
            snapshot_entries,
            snapshot_bytes,
            snapshot_index: 0,
            reopen_due: None,
            stopping: None,
        };
        if let Err(error) = driver.open() {
            driver.fail(&error);
        }
        driver.publish();
        let thread = thread::Builder::new().name(format!("group-{group}"));
        if let Err(error) = thread.spawn(|| driver.run()) {
            log::error!(
                event = Event::StorageFailed.number();
                "could not start the driver thread of a group: {error}"
            );
        }
        GroupHandle::new(tx, queued, status_receiver)
    }

    fn run(mut self) {
        while self.stopping.is_none() {
            let wait = self.tick_due.saturating_duration_since(Instant::now());
            let first = match self.inputs.recv_timeout(wait) {
                Ok(input) => Some(input),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => break,
            };
            if let Err(error) = self.run_batch(first) {
                self.fail(&error);
            }
            self.reopen_if_due();
            self.publish();
        }
        self.performer.abort();
        let stopping = self.stopping.take();
        // The storage must be closed before the stop is reported, so that the
        // caller can open it again.
        drop(self);
        if let Some(reply) = stopping {
            reply.send(()).ok();
        }
    }

    /// Handles the queued inputs and a due tick, performs and syncs their
    /// effects, and takes a snapshot if one is due.
    fn run_batch(&mut self, first: Option<Input>) -> Result<(), StorageError> {
        let mut input = first;
        let mut handled = 0;
        while let Some(next) = input.take() {
            self.queued.fetch_sub(1, Ordering::Relaxed);
            let effects = self.handle_input(next);
            self.perform(effects)?;
            handled += 1;
            if handled < MAX_BATCH_INPUTS {
                input = self.inputs.try_recv().ok();
            }
        }
        if Instant::now() >= self.tick_due {
            self.tick_due = Instant::now() + TICK_INTERVAL;
            let now_ms = self.now_ms();
            let effects = if self.is_failed() { Vec::new() } else { self.replica.tick(now_ms) };
            self.perform(effects)?;
        }
        self.sync_until_idle()?;
        self.snapshot_if_due()
    }

    fn perform(&mut self, effects: Vec<Effect>) -> Result<(), StorageError> {
        if self.is_failed() { Ok(()) } else { self.performer.perform(effects) }
    }

    /// Syncs and reports the durable index to the replica until no effects are
    /// left.
    fn sync_until_idle(&mut self) -> Result<(), StorageError> {
        while !self.is_failed() {
            let Some(index) = self.performer.flush()? else { break };
            let effects = self.replica.synced(self.now_ms(), index);
            self.perform(effects)?;
        }
        Ok(())
    }

    fn handle_input(&mut self, input: Input) -> Vec<Effect> {
        let now_ms = self.now_ms();
        match input {
            Input::Stop { reply } => {
                self.stopping = Some(reply);
                Vec::new()
            }
            _ if self.is_failed() => {
                input.reject();
                Vec::new()
            }
            Input::Receive { from, envelope } => self.replica.receive(now_ms, &from, envelope),
            Input::Propose { command, reply } => {
                let propose = |replica: &mut Replica, id| replica.propose(now_ms, id, command);
                self.submit_request(PendingRequest::Propose(reply), propose)
            }
            Input::Read { reply } => {
                let read = |replica: &mut Replica, id| replica.read_barrier(now_ms, id);
                self.submit_request(PendingRequest::Read(reply), read)
            }
            Input::AddLearner { learner, reply } => {
                let added = self.replica.add_learner(now_ms, learner);
                let (effects, result) = split_result(added);
                reply.send(result).ok();
                effects
            }
            Input::Remove { replica, reply } => {
                let removed = self.replica.remove_replica(now_ms, &replica);
                let (effects, result) = split_result(removed);
                reply.send(result).ok();
                effects
            }
            Input::StepDown => self.replica.transfer_leadership(now_ms),
        }
    }

    fn submit_request(
        &mut self,
        pending: PendingRequest,
        submit: impl FnOnce(&mut Replica, u64) -> Result<Vec<Effect>, anvillift_consensus::ProposeError>,
    ) -> Vec<Effect> {
        let id = self.performer.requests.add(pending);
        if self.performer.requests.len() > MAX_PENDING_REQUESTS {
            self.performer.requests.reject(id, &ProposeError::Busy);
            return Vec::new();
        }
        submit(&mut self.replica, id).unwrap_or_else(|error| {
            self.performer.requests.reject(id, &ProposeError::from(error));
            Vec::new()
        })
    }

    fn snapshot_if_due(&mut self) -> Result<(), StorageError> {
        let index = self.replica.applied_index();
        let has_many_entries = index >= self.snapshot_index + self.snapshot_entries;
        let has_many_bytes = index > self.snapshot_index
            && self.replica.bytes_after(self.snapshot_index) >= self.snapshot_bytes;
        if self.is_failed() || !(has_many_entries || has_many_bytes) {
            return Ok(());
        }
        // After a storage fault the state machine is ahead of the replica until the log has been
        // replayed.
        if self.performer.applied_index() > index {
            return Ok(());
        }
        let Some(term) = self.replica.term_at(index) else { return Ok(()) };
        let voters = self.replica.voters_at(index).clone();
        let data = Arc::new((self.performer.machine.snapshot)());
        let snapshot = Snapshot { meta: SnapshotMeta { index, term, voters }, data };
        self.performer.save_snapshot(&snapshot)?;
        self.replica.compact(snapshot);
        self.snapshot_index = index;
        let group = &self.performer.group;
        log::info!(
            event = Event::SnapshotTaken.number(), group = group.as_str();
            "took a snapshot of group {group} at index {index}"
        );
        Ok(())
    }

    fn publish(&mut self) {
        let mut status = GroupStatus::new(self.replica.status(), self.is_failed());
        let (role_before, term_before, leader_since) = {
            let published = self.status.borrow();
            (published.role, published.term, published.leader_since)
        };
        if status.role == RoleKind::Leader {
            let unchanged_since = leader_since.filter(|_| term_before == status.term);
            status.leader_since = unchanged_since.or_else(|| Some(Instant::now()));
        }
        let group = &self.performer.group;
        let (is_leader, was_leader) =
            (status.role == RoleKind::Leader, role_before == RoleKind::Leader);
        let term = status.term;
        if is_leader && !was_leader {
            log::info!(
                event = Event::LeaderElected.number(), group = group.as_str();
                "this replica became leader of group {group} in term {term}"
            );
        } else if was_leader && !is_leader {
            log::info!(
                event = Event::LeaderLost.number(), group = group.as_str();
                "this replica is no longer leader of group {group}; the current term is {term}"
            );
        }
        self.status.send_if_modified(|published| {
            let is_changed = *published != status;
            *published = status;
            is_changed
        });
    }

    /// Milliseconds of a clock that includes the time for which the process or
    /// the machine was suspended, so that a lease that expired in the meantime is
    /// seen as expired.
    fn now_ms(&self) -> u64 {
        let now = rustix::time::clock_gettime(ClockId::Boottime);
        Duration::new(now.tv_sec as u64, now.tv_nsec as u32).as_millis() as u64
    }
}

fn split_result(
    changed: Result<Vec<Effect>, anvillift_consensus::MembershipChangeError>,
) -> (Vec<Effect>, Result<(), MembershipError>) {
    match changed {
        Ok(effects) => (effects, Ok(())),
        Err(error) => (Vec::new(), Err(MembershipError::from(error))),
    }
}
