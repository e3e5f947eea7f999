//! Inputs of the driver thread: messages, requests and control commands.

use anvillift_schema::consensus::{ConsensusEnvelope, Voter};
use anvillift_schema::name::Name;
use tokio::sync::oneshot;

use crate::error::ProposeError;
use crate::replace_error::ReplaceError;

pub(crate) type ProposeReply = oneshot::Sender<Result<Vec<u8>, ProposeError>>;
pub(crate) type ReadReply = oneshot::Sender<Result<u64, ProposeError>>;
pub(crate) type ReplaceReply = oneshot::Sender<Result<(), ReplaceError>>;

pub(crate) enum Input {
    Receive { from: Name, envelope: ConsensusEnvelope },
    Propose { command: Vec<u8>, reply: ProposeReply },
    Read { reply: ReadReply },
    AddLearner { learner: Voter, reply: ReplaceReply },
    Remove { replica: Voter, reply: ReplaceReply },
    StepDown,
    Stop { reply: oneshot::Sender<()> },
}
