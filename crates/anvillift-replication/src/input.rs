//! Inputs of the driver thread: messages, requests and control commands.

use anvillift_schema::consensus::{ConsensusEnvelope, Voter};
use anvillift_schema::name::Name;
use tokio::sync::oneshot;

use crate::error::ProposeError;
use crate::membership_error::MembershipError;

pub(crate) type ProposeReply = oneshot::Sender<Result<Vec<u8>, ProposeError>>;
pub(crate) type ReadReply = oneshot::Sender<Result<u64, ProposeError>>;
pub(crate) type MembershipReply = oneshot::Sender<Result<(), MembershipError>>;

pub(crate) enum Input {
    Receive { from: Name, envelope: ConsensusEnvelope },
    Propose { command: Vec<u8>, reply: ProposeReply },
    Read { reply: ReadReply },
    AddLearner { learner: Voter, reply: MembershipReply },
    Remove { replica: Voter, reply: MembershipReply },
    StepDown,
    Stop { reply: oneshot::Sender<()> },
}

impl Input {
    /// Answers a request of a replica that has stopped.
    pub(crate) fn reject(self) {
        match self {
            Self::Propose { reply, .. } => {
                reply.send(Err(ProposeError::Stopped)).ok();
            }
            Self::Read { reply } => {
                reply.send(Err(ProposeError::Stopped)).ok();
            }
            Self::AddLearner { reply, .. } | Self::Remove { reply, .. } => {
                reply.send(Err(MembershipError::Stopped)).ok();
            }
            Self::Receive { .. } | Self::StepDown | Self::Stop { .. } => (),
        }
    }
}
