//! The record that the ledger keeps of one key.

use anvillift_schema::ledger::LedgerVerdict;
use anvillift_schema::name::Name;

/// State of the command of a key.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) enum Progress {
    /// An attempt holds the key and may send the command.
    Reserved,
    /// The command may have run. It is never sent again.
    Unknown,
    /// The command ran and its answer is known.
    Ran {
        /// HTTP status of the upstream's answer.
        status: u16,
        /// Hash of the complete answer, by which a host finds it.
        answer_hash: String,
    },
}

/// A key with the attempt that reserved it first.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct Record {
    pub(crate) body_hash: String,
    pub(crate) attempt: Name,
    pub(crate) holder: Name,
    pub(crate) expires_unix_ms: u64,
    pub(crate) progress: Progress,
}

impl Record {
    /// Verdict on a further reservation of the key, by the same or another
    /// attempt.
    pub(crate) fn verdict(&self, body_hash: &str, attempt: &Name) -> LedgerVerdict {
        if self.body_hash != body_hash {
            return LedgerVerdict::Mismatch(true);
        }
        match &self.progress {
            Progress::Reserved if self.attempt == *attempt => LedgerVerdict::Reserved(true),
            Progress::Reserved => LedgerVerdict::InProgress {
                attempt: self.attempt.clone(),
                holder: self.holder.clone(),
            },
            Progress::Unknown => LedgerVerdict::Unknown(true),
            Progress::Ran { status, answer_hash } => {
                LedgerVerdict::Ran { status: *status, answer_hash: answer_hash.clone() }
            }
        }
    }
}
