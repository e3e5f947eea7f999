//! The thread that runs one replica.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};

use anvillift_consensus::{Effect, RecoveredState, Replica, ReplicaSettings, RoleKind, Snapshot};
use anvillift_schema::consensus::SnapshotMeta;
use anvillift_schema::event::Event;
use anvillift_storage::{RecoveredGroup, Repair, StorageError};
use rustix::time::ClockId;
use tokio::sync::{oneshot, watch};

use crate::error::ProposeError;
use crate::handle::GroupHandle;
use crate::input::Input;
use crate::machine::GroupMachine;
use crate::performer::Performer;
use crate::replace_error::ReplaceError;
use crate::requests::Waiting;
use crate::settings::{GroupDriverSettings, SendFn};
use crate::status::GroupStatus;

/// Between ticks of a replica.
const TICK: Duration = Duration::from_millis(10);
/// Inputs taken before a sync.
const MAX_BATCH_INPUTS: usize = 1_024;
/// Commands and reads that may wait for their answer.
const MAX_WAITING_REQUESTS: usize = 10_000;

/// Runs the replica of one group.
pub struct GroupDriver {
    replica: Replica,
    performer: Performer,
    inputs: Receiver<Input>,
    queued: Arc<AtomicUsize>,
    status: watch::Sender<GroupStatus>,
    tick_due: Instant,
    snapshot_entries: u64,
    snapshot_index: u64,
    failed: bool,
    stopping: Option<oneshot::Sender<()>>,
}

impl GroupDriver {
    /// Starts the replica of a group from its storage, or an empty one.
    pub fn start(
        settings: GroupDriverSettings,
        mut machine: GroupMachine,
        send: SendFn,
    ) -> GroupHandle {
        let replica_settings = replica_settings(&settings);
        let (storage, recovered) = match settings.storage {
            Some(opened) => (Some(opened.storage), recover(opened.recovered, &mut machine)),
            None => (None, RecoveredState::default()),
        };
        let snapshot_index = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.meta.index);
        let replica = Replica::new(replica_settings, settings.identity, recovered, settings.seed);
        let (tx, inputs) = mpsc::channel();
        let queued = Arc::new(AtomicUsize::new(0));
        let (status, seen) = watch::channel(GroupStatus::new(replica.status(), false));
        let driver = Self {
            replica,
            performer: Performer::new(settings.group.clone(), storage, machine, send),
            inputs,
            queued: Arc::clone(&queued),
            status,
            tick_due: Instant::now(),
            snapshot_entries: settings.snapshot_entries,
            snapshot_index,
            failed: false,
            stopping: None,
        };
        let name = format!("group-{}", settings.group);
        let thread = thread::Builder::new().name(name).spawn(|| driver.run());
        if let Err(error) = thread {
            log::error!(event = Event::StorageFailed.number(); "a group has no thread: {error}");
        }
        GroupHandle::new(tx, queued, seen)
    }

    fn run(mut self) {
        while self.stopping.is_none() {
            let wait = self.tick_due.saturating_duration_since(Instant::now());
            let first = match self.inputs.recv_timeout(wait) {
                Ok(input) => Some(input),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => break,
            };
            if let Err(error) = self.turn(first) {
                self.fail(&error);
            }
            self.publish();
        }
        self.performer.abandon();
        let stopping = self.stopping.take();
        // The storage is closed before the stop is reported.
        drop(self);
        if let Some(reply) = stopping {
            reply.send(()).ok();
        }
    }

    /// Takes the inputs that wait, lets time pass, and performs the effects.
    fn turn(&mut self, first: Option<Input>) -> Result<(), StorageError> {
        let mut input = first;
        let mut taken = 0;
        while let Some(next) = input.take() {
            self.queued.fetch_sub(1, Ordering::Relaxed);
            let effects = self.take(next);
            self.perform(effects)?;
            taken += 1;
            if taken < MAX_BATCH_INPUTS {
                input = self.inputs.try_recv().ok();
            }
        }
        if Instant::now() >= self.tick_due {
            self.tick_due = Instant::now() + TICK;
            let now_ms = self.now_ms();
            let effects = if self.failed { Vec::new() } else { self.replica.tick(now_ms) };
            self.perform(effects)?;
        }
        self.settle()?;
        self.snapshot_if_due()
    }

    fn perform(&mut self, effects: Vec<Effect>) -> Result<(), StorageError> {
        if self.failed { Ok(()) } else { self.performer.perform(effects) }
    }

    /// Syncs until nothing is left to be done.
    fn settle(&mut self) -> Result<(), StorageError> {
        while !self.failed {
            let Some(index) = self.performer.flush()? else { break };
            let effects = self.replica.synced(self.now_ms(), index);
            self.perform(effects)?;
        }
        Ok(())
    }

    fn take(&mut self, input: Input) -> Vec<Effect> {
        let now_ms = self.now_ms();
        match input {
            Input::Stop { reply } => {
                self.stopping = Some(reply);
                Vec::new()
            }
            _ if self.failed => refuse(input),
            Input::Receive { from, envelope } => self.replica.receive(now_ms, &from, envelope),
            Input::Propose { command, reply } => {
                let propose = |replica: &mut Replica, id| replica.propose(now_ms, id, command);
                self.request(Waiting::Propose(reply), propose)
            }
            Input::Read { reply } => {
                let read = |replica: &mut Replica, id| replica.read_barrier(now_ms, id);
                self.request(Waiting::Read(reply), read)
            }
            Input::AddLearner { learner, reply } => {
                let added = self.replica.add_learner(now_ms, learner);
                let (effects, result) = split(added);
                reply.send(result).ok();
                effects
            }
            Input::Remove { replica, reply } => {
                let removed = self.replica.remove_replica(now_ms, &replica);
                let (effects, result) = split(removed);
                reply.send(result).ok();
                effects
            }
            Input::StepDown => self.replica.transfer_leadership(now_ms),
        }
    }

    fn request(
        &mut self,
        waiting: Waiting,
        ask: impl FnOnce(&mut Replica, u64) -> Result<Vec<Effect>, anvillift_consensus::ProposeError>,
    ) -> Vec<Effect> {
        let id = self.performer.requests.add(waiting);
        if self.performer.requests.len() > MAX_WAITING_REQUESTS {
            self.performer.requests.refuse(id, &ProposeError::Busy);
            return Vec::new();
        }
        ask(&mut self.replica, id).unwrap_or_else(|error| {
            self.performer.requests.refuse(id, &ProposeError::from(error));
            Vec::new()
        })
    }

    fn snapshot_if_due(&mut self) -> Result<(), StorageError> {
        let index = self.replica.applied_index();
        if self.failed || index < self.snapshot_index + self.snapshot_entries {
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
            "took a snapshot of group {group} at {index}"
        );
        Ok(())
    }

    /// Takes no part any more: what is on the disk is not known.
    fn fail(&mut self, error: &StorageError) {
        self.failed = true;
        self.publish();
        self.performer.abandon();
        let group = &self.performer.group;
        log::error!(
            event = Event::StorageFailed.number(), group = group.as_str(),
            code = error.code().number();
            "the replica of group {group} stops: {error}"
        );
    }

    fn publish(&mut self) {
        let mut status = GroupStatus::new(self.replica.status(), self.failed);
        let (before, term_before, led_since) = {
            let seen = self.status.borrow();
            (seen.role, seen.term, seen.led_since)
        };
        if status.role == RoleKind::Leader {
            let same = led_since.filter(|_| term_before == status.term);
            status.led_since = same.or_else(|| Some(Instant::now()));
        }
        let group = &self.performer.group;
        let (leads, led) = (status.role == RoleKind::Leader, before == RoleKind::Leader);
        let term = status.term;
        if leads && !led {
            log::info!(
                event = Event::LeaderElected.number(), group = group.as_str();
                "leads group {group} in term {term}"
            );
        } else if led && !leads {
            log::info!(
                event = Event::LeaderLost.number(), group = group.as_str();
                "leads group {group} no longer"
            );
        }
        self.status.send_if_modified(|seen| {
            let changed = *seen != status;
            *seen = status;
            changed
        });
    }

    /// Milliseconds of a clock that runs on while the process or the machine
    /// is suspended, so that a lease that ran out meanwhile is seen to be over.
    fn now_ms(&self) -> u64 {
        let now = rustix::time::clock_gettime(ClockId::Boottime);
        Duration::new(now.tv_sec as u64, now.tv_nsec as u32).as_millis() as u64
    }
}

fn replica_settings(settings: &GroupDriverSettings) -> ReplicaSettings {
    ReplicaSettings {
        group: settings.group.clone(),
        form_voters: settings.voters.clone(),
        election_timeout_ms: settings.timing.election_timeout_ms,
        election_step_ms: settings.timing.election_step_ms,
        heartbeat_ms: settings.timing.heartbeat_ms,
        reads_by_lease: settings.timing.reads_by_lease,
        replace_restarted: settings.replace_restarted,
        ..ReplicaSettings::default()
    }
}

fn refuse(input: Input) -> Vec<Effect> {
    match input {
        Input::Propose { reply, .. } => {
            reply.send(Err(ProposeError::Stopped)).ok();
        }
        Input::Read { reply } => {
            reply.send(Err(ProposeError::Stopped)).ok();
        }
        Input::AddLearner { reply, .. } | Input::Remove { reply, .. } => {
            reply.send(Err(ReplaceError::Stopped)).ok();
        }
        Input::Receive { .. } | Input::StepDown | Input::Stop { .. } => (),
    }
    Vec::new()
}

fn split(
    changed: Result<Vec<Effect>, anvillift_consensus::ChangeError>,
) -> (Vec<Effect>, Result<(), ReplaceError>) {
    match changed {
        Ok(effects) => (effects, Ok(())),
        Err(error) => (Vec::new(), Err(ReplaceError::from(error))),
    }
}

/// Gives the snapshot to the machine and the rest to the replica.
fn recover(recovered: RecoveredGroup, machine: &mut GroupMachine) -> RecoveredState {
    if recovered.repair != Repair::None {
        log::warn!(
            event = Event::StorageRepaired.number();
            "the log was repaired: {:?}", recovered.repair
        );
    }
    let snapshot = recovered.snapshot.map(|(meta, data)| Snapshot { meta, data: Arc::new(data) });
    if let Some(snapshot) = snapshot.as_ref().filter(|snapshot| snapshot.meta.index > 0) {
        (machine.restore)(&snapshot.data);
    }
    RecoveredState {
        vote: recovered.vote,
        snapshot,
        entries: recovered.entries,
        refetch_upto: recovered.refetch_upto,
    }
}

impl From<anvillift_consensus::ProposeError> for ProposeError {
    fn from(error: anvillift_consensus::ProposeError) -> Self {
        let anvillift_consensus::ProposeError::NotLeader { leader } = error;
        leader.map_or(Self::NoLeader, |leader| Self::NotLeader { leader })
    }
}
