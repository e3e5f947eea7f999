//! The deterministic state machine of a home region's ledger.
//!
//! The state of a key is free, reserved by one attempt, ran, or unknown. Only the
//! attempt that holds a key can free it again, by reporting that it sent nothing.
//! The command of a key in the state unknown is never run again. If an attempt is
//! abandoned before its reservation is applied, its id is remembered and the late
//! reservation is refused.
//!
//! Time comes only from the log, so that every replica drops the same keys, and a
//! key is refused by the same rule by which it is dropped. A group accepts no key
//! until the time of its formation is in the log, and none that was issued
//! before: an in-memory group that lost all its replicas has no record of these
//! keys.
//! Start at [`Machine::apply`].

use std::collections::BTreeMap;

use anvillift_schema::ledger::{LedgerOperation, LedgerVerdict};
use anvillift_schema::name::Name;
use snafu::ResultExt;

use crate::record::{Progress, Record};

/// Maximum length of a text field of an operation, in bytes.
const MAX_FIELD_BYTES: usize = 256;

/// Limits of a [`Machine`]. They must be the same on all replicas of a group, or
/// the replicas diverge.
#[derive(Clone, Debug)]
pub struct MachineSettings {
    /// Maximum number of keys. When it is reached, new reservations are refused,
    /// and no key is dropped before its retention ends.
    pub max_keys: usize,
    /// Maximum number of released attempts that are remembered, in case their
    /// reservation is applied later. Beyond it, the oldest is dropped.
    pub max_released: usize,
    /// Maximum number of upstreams whose fencing number is kept.
    pub max_fences: usize,
    /// Minimum retention of a key, in milliseconds. It must be longer than any
    /// command takes.
    pub min_retention_ms: u64,
    /// Maximum retention of a key, in milliseconds.
    pub max_retention_ms: u64,
}

impl Default for MachineSettings {
    fn default() -> Self {
        Self {
            max_keys: 50_000,
            max_released: 10_000,
            max_fences: 10_000,
            min_retention_ms: 10 * 60 * 1000,
            max_retention_ms: 7 * 24 * 60 * 60 * 1000,
        }
    }
}

/// Reasons for which a snapshot cannot be restored.
#[derive(Debug, snafu::Snafu)]
pub enum RestoreError {
    /// The bytes are not an encoded state.
    #[snafu(display("the ledger snapshot cannot be decoded: {source}"))]
    Decode {
        /// Error of the CBOR decoder.
        source: ciborium::de::Error<std::io::Error>,
    },
}

#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
struct State {
    /// Time at which the group was formed, or 0. The state has no record of keys
    /// issued before.
    formed_unix_ms: u64,
    clock_unix_ms: u64,
    records: BTreeMap<String, Record>,
    /// Released attempts, and the time until which each is remembered.
    released: BTreeMap<Name, u64>,
    fences: BTreeMap<Name, u64>,
}

/// Ledger of one home region: the reservations and outcomes of its commands.
#[derive(Clone, Debug)]
pub struct Machine {
    settings: MachineSettings,
    state: State,
}

impl Machine {
    /// Creates a machine without keys, which accepts none until the first
    /// [`LedgerOperation::Expire`].
    pub fn new(settings: MachineSettings) -> Self {
        Self { settings, state: State::default() }
    }

    /// Applies an encoded operation of the log and returns the encoded verdict.
    /// Bytes that are not an operation change nothing and give `Recorded(false)`.
    pub fn apply_bytes(&mut self, operation: &[u8]) -> Vec<u8> {
        let verdict = match ciborium::from_reader(operation) {
            Ok(operation) => self.apply(operation),
            Err(_) => LedgerVerdict::Recorded(false),
        };
        encode(&verdict)
    }

    /// Applies an operation of the log and returns the verdict on it.
    pub fn apply(&mut self, operation: LedgerOperation) -> LedgerVerdict {
        match operation {
            LedgerOperation::Reserve { .. } => self.reserve(operation),
            LedgerOperation::Complete { key_hash, attempt, status, answer_hash } => {
                self.complete(&key_hash, &attempt, status, answer_hash)
            }
            LedgerOperation::Abandon { key_hash, attempt, not_run } => {
                self.abandon(&key_hash, attempt, not_run)
            }
            LedgerOperation::Expire { now_unix_ms } => self.expire(now_unix_ms),
            LedgerOperation::Fence { upstream, fencing } => self.fence(upstream, fencing),
            LedgerOperation::StoreAnswer { .. } | LedgerOperation::FetchAnswer { .. } => {
                LedgerVerdict::Recorded(false)
            }
        }
    }

    /// Encodes the complete state.
    pub fn snapshot(&self) -> Vec<u8> {
        encode(&self.state)
    }

    /// Replaces the state by that of a snapshot. On an error the state is
    /// unchanged.
    pub fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        self.state = ciborium::from_reader(snapshot).context(DecodeSnafu)?;
        Ok(())
    }

    /// Number of keys in any state but free.
    pub fn key_count(&self) -> usize {
        self.state.records.len()
    }

    /// Highest fencing number recorded for an upstream, or `None` if there is
    /// none.
    pub fn fencing(&self, upstream: &Name) -> Option<u64> {
        self.state.fences.get(upstream).copied()
    }

    fn reserve(&mut self, operation: LedgerOperation) -> LedgerVerdict {
        let LedgerOperation::Reserve {
            key_hash,
            body_hash,
            attempt,
            holder,
            issued_unix_ms,
            retention_ms,
            ..
        } = operation
        else {
            return LedgerVerdict::Recorded(false);
        };
        let fields = [key_hash.len(), body_hash.len(), attempt.len(), holder.len()];
        if fields.into_iter().any(|bytes| bytes > MAX_FIELD_BYTES) {
            return LedgerVerdict::Recorded(false);
        }
        if self.state.released.contains_key(&attempt) {
            return LedgerVerdict::Recorded(false);
        }
        if let Some(record) = self.state.records.get(&key_hash) {
            return record.verdict(&body_hash, &attempt);
        }
        let settings = &self.settings;
        let retention_ms = retention_ms.clamp(settings.min_retention_ms, settings.max_retention_ms);
        let expires_unix_ms = issued_unix_ms.saturating_add(retention_ms);
        let formed_unix_ms = self.state.formed_unix_ms;
        if expires_unix_ms <= self.state.clock_unix_ms || issued_unix_ms < formed_unix_ms {
            return LedgerVerdict::Expired(true);
        }
        if formed_unix_ms == 0 || self.state.records.len() >= self.settings.max_keys {
            return LedgerVerdict::Full(true);
        }
        let progress = Progress::Reserved;
        let record = Record { body_hash, attempt, holder, expires_unix_ms, progress };
        self.state.records.insert(key_hash, record);
        LedgerVerdict::Reserved(true)
    }

    fn complete(
        &mut self,
        key_hash: &str,
        attempt: &Name,
        status: u16,
        answer_hash: String,
    ) -> LedgerVerdict {
        let Some(record) = self.record_held_by(key_hash, attempt) else {
            return LedgerVerdict::Recorded(false);
        };
        if matches!(record.progress, Progress::Ran { .. }) {
            return LedgerVerdict::Recorded(false);
        }
        record.progress = Progress::Ran { status, answer_hash };
        LedgerVerdict::Recorded(true)
    }

    fn abandon(&mut self, key_hash: &str, attempt: Name, not_run: bool) -> LedgerVerdict {
        let Some(record) = self.record_held_by(key_hash, &attempt) else {
            return self.remember_release(attempt, not_run);
        };
        if matches!(record.progress, Progress::Ran { .. }) {
            return LedgerVerdict::Recorded(false);
        }
        if not_run {
            self.state.records.remove(key_hash);
            return self.remember_release(attempt, true);
        }
        record.progress = Progress::Unknown;
        LedgerVerdict::Recorded(true)
    }

    /// Remembers a released attempt, so that its reservation is refused if it is
    /// applied later.
    fn remember_release(&mut self, attempt: Name, not_run: bool) -> LedgerVerdict {
        if !not_run || attempt.len() > MAX_FIELD_BYTES {
            return LedgerVerdict::Recorded(false);
        }
        if self.state.released.len() >= self.settings.max_released {
            let oldest = self.state.released.iter().min_by_key(|(_, until_ms)| **until_ms);
            if let Some(oldest) = oldest.map(|(attempt, _)| attempt.clone()) {
                self.state.released.remove(&oldest);
            }
        }
        let until_ms = self.state.clock_unix_ms.saturating_add(self.settings.max_retention_ms);
        self.state.released.insert(attempt, until_ms);
        LedgerVerdict::Recorded(true)
    }

    fn expire(&mut self, now_unix_ms: u64) -> LedgerVerdict {
        if self.state.formed_unix_ms == 0 {
            self.state.formed_unix_ms = now_unix_ms;
        }
        self.state.clock_unix_ms = self.state.clock_unix_ms.max(now_unix_ms);
        let clock_unix_ms = self.state.clock_unix_ms;
        self.state.records.retain(|_, record| record.expires_unix_ms > clock_unix_ms);
        self.state.released.retain(|_, until_ms| *until_ms > clock_unix_ms);
        LedgerVerdict::Recorded(true)
    }

    fn fence(&mut self, upstream: Name, fencing: u64) -> LedgerVerdict {
        let current = self.state.fences.get(&upstream).copied();
        let has_capacity = current.is_some() || self.state.fences.len() < self.settings.max_fences;
        if current.is_some_and(|current| fencing < current)
            || !has_capacity
            || upstream.len() > MAX_FIELD_BYTES
        {
            return LedgerVerdict::Recorded(false);
        }
        self.state.fences.insert(upstream, fencing);
        LedgerVerdict::Recorded(true)
    }

    fn record_held_by(&mut self, key_hash: &str, attempt: &Name) -> Option<&mut Record> {
        self.state.records.get_mut(key_hash).filter(|record| record.attempt == *attempt)
    }
}

/// Encodes an operation as a command of the log.
pub fn encode_operation(operation: &LedgerOperation) -> Vec<u8> {
    encode(operation)
}

/// Encodes a verdict as the answer to a command.
pub fn encode_verdict(verdict: &LedgerVerdict) -> Vec<u8> {
    encode(verdict)
}

/// Decodes a verdict, or returns `None` if the bytes are not one.
pub fn decode_verdict(verdict: &[u8]) -> Option<LedgerVerdict> {
    ciborium::from_reader(verdict).ok()
}

fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to memory does not fail");
    bytes
}
