//! What the ledger keeps of one key.

use anvillift_schema::ledger::LedgerVerdict;
use anvillift_schema::name::Name;

/// How far the command of a key is.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) enum Progress {
    /// An attempt may send.
    Reserved,
    /// An attempt may have run.
    Unknown,
    /// The attempt ran.
    Ran {
        /// HTTP status of the answer.
        status: u16,
        /// Hash of the whole answer.
        answer_hash: String,
    },
}

/// A key that was reserved.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct Record {
    pub(crate) body_hash: String,
    pub(crate) attempt: Name,
    pub(crate) holder: Name,
    pub(crate) expires_unix_ms: u64,
    pub(crate) progress: Progress,
}

impl Record {
    /// The verdict on another attempt to reserve the key.
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
