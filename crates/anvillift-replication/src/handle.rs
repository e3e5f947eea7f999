//! Handle with which tasks send inputs to the driver thread of a replica.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::Sender;

use anvillift_schema::consensus::{ConsensusEnvelope, Voter};
use anvillift_schema::name::Name;
use tokio::sync::{oneshot, watch};

use crate::error::ProposeError;
use crate::input::Input;
use crate::membership_error::MembershipError;
use crate::status::GroupStatus;

/// Maximum number of inputs queued for the driver. Further messages are dropped
/// and further requests are rejected as busy.
const MAX_QUEUED_INPUTS: usize = 20_000;

/// Handle of a running replica, which can be cloned and used from any task.
#[derive(Clone, Debug)]
pub struct GroupHandle {
    inputs: Sender<Input>,
    queued: Arc<AtomicUsize>,
    status: watch::Receiver<GroupStatus>,
}

impl GroupHandle {
    pub(crate) fn new(
        inputs: Sender<Input>,
        queued: Arc<AtomicUsize>,
        status: watch::Receiver<GroupStatus>,
    ) -> Self {
        Self { inputs, queued, status }
    }

    /// Queues a message from another host for the replica. It is dropped if the
    /// queue is full or the replica is stopped.
    pub fn receive(&self, from: Name, envelope: ConsensusEnvelope) {
        // The protocol repeats messages that are lost.
        self.push(Input::Receive { from, envelope }).ok();
    }

    /// Proposes a command, waits until it is committed and applied, and returns
    /// the answer of the state machine.
    pub async fn propose(&self, command: Vec<u8>) -> Result<Vec<u8>, ProposeError> {
        let (reply, answer) = oneshot::channel();
        self.push(Input::Propose { command, reply })?;
        answer.await.unwrap_or(Err(ProposeError::Unknown))
    }

    /// Waits until the state machine on this host reflects every command answered
    /// so far, and returns the log index of that state. Only the leader can do
    /// this; other replicas return an error.
    pub async fn read_barrier(&self) -> Result<u64, ProposeError> {
        let (reply, answer) = oneshot::channel();
        self.push(Input::Read { reply })?;
        answer.await.unwrap_or(Err(ProposeError::Stopped))
    }

    /// Adds a replica as a learner. Once it has caught up, it replaces a voter of
    /// the same host, or becomes an additional voter if there is none. Returns as
    /// soon as the leader has accepted the change.
    pub async fn add_learner(&self, learner: Voter) -> Result<(), MembershipError> {
        let (reply, answer) = oneshot::channel();
        let pushed = self.push(Input::AddLearner { learner, reply });
        pushed.map_err(|_| MembershipError::Stopped)?;
        answer.await.unwrap_or(Err(MembershipError::Stopped))
    }

    /// Removes a voter or a learner. Returns as soon as the leader has accepted
    /// the change.
    pub async fn remove_replica(&self, replica: Voter) -> Result<(), MembershipError> {
        let (reply, answer) = oneshot::channel();
        let pushed = self.push(Input::Remove { replica, reply });
        pushed.map_err(|_| MembershipError::Stopped)?;
        answer.await.unwrap_or(Err(MembershipError::Stopped))
    }

    /// Returns the newest published state of the replica.
    pub fn status(&self) -> GroupStatus {
        self.status.borrow().clone()
    }

    /// Returns a receiver that is notified of each change of the state.
    pub fn watch(&self) -> watch::Receiver<GroupStatus> {
        self.status.clone()
    }

    /// Transfers leadership to another voter, and returns when this replica is
    /// not the leader. Returns at once if another replica leads or none does.
    pub async fn step_down(&self) {
        if self.push(Input::StepDown).is_err() {
            return;
        }
        let is_not_leader =
            |status: &GroupStatus| status.role != anvillift_consensus::RoleKind::Leader;
        self.status.clone().wait_for(is_not_leader).await.ok();
    }

    /// Stops the replica, and returns once its storage is closed.
    pub async fn stop(&self) {
        let (reply, stopped) = oneshot::channel();
        if self.push(Input::Stop { reply }).is_ok() {
            stopped.await.ok();
        }
    }

    fn push(&self, input: Input) -> Result<(), ProposeError> {
        let queued = self.queued.fetch_add(1, Ordering::Relaxed);
        let is_stop = matches!(input, Input::Stop { .. });
        if queued >= MAX_QUEUED_INPUTS && !is_stop {
            self.queued.fetch_sub(1, Ordering::Relaxed);
            return Err(ProposeError::Busy);
        }
        self.inputs.send(input).map_err(|_| ProposeError::Stopped)
    }
}
