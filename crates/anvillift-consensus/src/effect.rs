//! The effects that a replica asks its caller to perform.

use std::sync::Arc;

use anvillift_schema::consensus::{ConsensusEnvelope, ConsensusMessage, Entry, SnapshotMeta, Vote};
use anvillift_schema::name::Name;

/// An action that the caller performs. Effects are performed in the order in
/// which they are returned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Send a message to a host. The message may be lost.
    Send {
        /// Host that the message is for.
        to: Name,
        /// Message with the ids of the group and of the two storages.
        envelope: ConsensusEnvelope,
    },
    /// Write entries to the log. Existing entries at or after the first index are
    /// replaced.
    Append {
        /// Entries with consecutive indices.
        entries: Vec<Entry>,
    },
    /// Make the vote durable before any later effect.
    SaveVote {
        /// Current term, and the replica voted for in it.
        vote: Vote,
    },
    /// Write the snapshot, drop the whole log, and restore the state machine from
    /// the data. At index 0 the snapshot only records the voters of a new group,
    /// and the state machine is not restored.
    InstallSnapshot {
        /// Last index and term that the snapshot covers, and the voters at that
        /// index.
        meta: SnapshotMeta,
        /// Encoded state of the state machine.
        data: Arc<Vec<u8>>,
    },
    /// Record that the entries lost from a damaged log have been received again,
    /// so that the replica may vote.
    RefetchDone,
    /// Apply a committed command to the state machine.
    Apply {
        /// Index of the log entry that holds the command.
        index: u64,
        /// Command as it was proposed.
        command: Vec<u8>,
    },
    /// Answer a proposal or a read.
    Answer {
        /// Id that the caller passed with the request.
        request_id: u64,
        /// Index of the applied entry, or for a read the index up to which the
        /// state machine must have applied the log.
        result: Result<u64, AnswerError>,
    },
}

impl Effect {
    /// Whether the effect may be performed before a preceding `Append` is
    /// durable. This holds for the messages by which a leader replicates, because
    /// it counts its own copy of an entry only once that is synced.
    pub fn can_precede_append(&self) -> bool {
        match self {
            Self::Send { envelope, .. } => matches!(
                envelope.message,
                ConsensusMessage::AppendRequest { .. } | ConsensusMessage::SnapshotRequest { .. }
            ),
            _ => false,
        }
    }
}

/// Reasons for which an accepted request ends without a result.
#[derive(Clone, Copy, Debug, Eq, PartialEq, snafu::Snafu)]
pub enum AnswerError {
    /// The replica lost its leadership before the request completed. A proposed
    /// command may or may not be committed.
    #[snafu(display("the replica lost its leadership; the command may or may not be committed"))]
    Unknown,
}
