//! What a replica wants done.

use std::sync::Arc;

use anvillift_schema::consensus::{ConsensusEnvelope, ConsensusMessage, Entry, SnapshotMeta, Vote};
use anvillift_schema::name::Name;

/// An effect, done by the caller in the order given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Send a message to a host.
    Send {
        /// Receiver.
        to: Name,
        /// Message.
        envelope: ConsensusEnvelope,
    },
    /// Write entries; those at or after the first index are replaced.
    Append {
        /// Consecutive entries.
        entries: Vec<Entry>,
    },
    /// Write the vote.
    SaveVote {
        /// Vote.
        vote: Vote,
    },
    /// Write the snapshot, drop the whole log, and restore the machine unless
    /// the index is 0, where only the voters of a new group are recorded.
    InstallSnapshot {
        /// Where it stands.
        meta: SnapshotMeta,
        /// State of the machine.
        data: Arc<Vec<u8>>,
    },
    /// Record that a damaged log has been fetched again.
    RefetchDone,
    /// Apply a committed command.
    Apply {
        /// Index of the entry.
        index: u64,
        /// Command.
        command: Vec<u8>,
    },
    /// Answer a request.
    Answer {
        /// Id given with the request.
        request_id: u64,
        /// Index of the applied entry, or of the state that may be read.
        result: Result<u64, AnswerError>,
    },
}

impl Effect {
    /// Whether it may be done before an `Append` ahead of it is durable: the
    /// leader does not count itself before then.
    pub fn may_precede_append(&self) -> bool {
        match self {
            Self::Send { envelope, .. } => matches!(
                envelope.message,
                ConsensusMessage::AppendRequest { .. } | ConsensusMessage::SnapshotRequest { .. }
            ),
            _ => false,
        }
    }
}

/// Why an accepted request has no result.
#[derive(Clone, Copy, Debug, Eq, PartialEq, snafu::Snafu)]
pub enum AnswerError {
    /// Leadership was lost before the outcome was known.
    #[snafu(display("the replica lost its leadership; the command may be committed"))]
    Unknown,
}
