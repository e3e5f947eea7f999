//! The way to a running replica.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::Sender;

use anvillift_schema::consensus::{ConsensusEnvelope, Voter};
use anvillift_schema::name::Name;
use tokio::sync::{oneshot, watch};

use crate::error::ProposeError;
use crate::input::Input;
use crate::replace_error::ReplaceError;
use crate::status::GroupStatus;

/// Messages and requests that may wait for the driver; more are lost or refused.
const MAX_QUEUED_INPUTS: usize = 20_000;

/// A running replica, reached from any task.
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

    /// Hands over a message from another host.
    pub fn receive(&self, from: Name, envelope: ConsensusEnvelope) {
        // A lost message is sent again by the protocol.
        self.push(Input::Receive { from, envelope }).ok();
    }

    /// Commits a command and gives what the machine answered.
    pub async fn propose(&self, command: Vec<u8>) -> Result<Vec<u8>, ProposeError> {
        let (reply, answer) = oneshot::channel();
        self.push(Input::Propose { command, reply })?;
        answer.await.unwrap_or(Err(ProposeError::Unknown))
    }

    /// Waits until the machine here holds every command answered so far, and
    /// gives the index; only the leader can tell.
    pub async fn read_barrier(&self) -> Result<u64, ProposeError> {
        let (reply, answer) = oneshot::channel();
        self.push(Input::Read { reply })?;
        answer.await.unwrap_or(Err(ProposeError::Stopped))
    }

    /// Adds a replica, which takes the place of a voter of the same host once
    /// it has caught up, or else becomes a further voter.
    pub async fn add_learner(&self, learner: Voter) -> Result<(), ReplaceError> {
        let (reply, answer) = oneshot::channel();
        let pushed = self.push(Input::AddLearner { learner, reply });
        pushed.map_err(|_| ReplaceError::Stopped)?;
        answer.await.unwrap_or(Err(ReplaceError::Stopped))
    }

    /// Removes a voter or learner.
    pub async fn remove(&self, replica: Voter) -> Result<(), ReplaceError> {
        let (reply, answer) = oneshot::channel();
        let pushed = self.push(Input::Remove { replica, reply });
        pushed.map_err(|_| ReplaceError::Stopped)?;
        answer.await.unwrap_or(Err(ReplaceError::Stopped))
    }

    /// State of the replica.
    pub fn status(&self) -> GroupStatus {
        self.status.borrow().clone()
    }

    /// Tells of each change of the state.
    pub fn watch(&self) -> watch::Receiver<GroupStatus> {
        self.status.clone()
    }

    /// Hands over leadership, and returns when this replica does not lead.
    pub async fn step_down(&self) {
        if self.push(Input::StepDown).is_err() {
            return;
        }
        let follows = |status: &GroupStatus| status.role != anvillift_consensus::RoleKind::Leader;
        self.status.clone().wait_for(follows).await.ok();
    }

    /// Stops the replica and closes its storage.
    pub async fn stop(&self) {
        let (reply, stopped) = oneshot::channel();
        if self.push(Input::Stop { reply }).is_ok() {
            stopped.await.ok();
        }
    }

    fn push(&self, input: Input) -> Result<(), ProposeError> {
        let queued = self.queued.fetch_add(1, Ordering::Relaxed);
        let stops = matches!(input, Input::Stop { .. });
        if queued >= MAX_QUEUED_INPUTS && !stops {
            self.queued.fetch_sub(1, Ordering::Relaxed);
            return Err(ProposeError::Busy);
        }
        self.inputs.send(input).map_err(|_| ProposeError::Stopped)
    }
}
