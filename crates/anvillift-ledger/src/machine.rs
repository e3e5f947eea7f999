//! The deterministic state under the log of a home region.
//!
//! A key is free, reserved by one attempt, ran, or unknown. Only the attempt
//! that holds a key can free it again, by saying that it sent nothing; an
//! unknown key is never run again. An attempt that gave up before its
//! reservation arrived is remembered, so that the late reservation is refused.
//! Time comes only from the log, so that every replica drops the same keys;
//! a key is refused by the same rule by which it is dropped. A group takes no
//! key until the time of its forming is in the log, and none issued before: a
//! group in memory that was lost as a whole knows nothing of those.
//! Start at [`Machine::apply`].

use std::collections::BTreeMap;

use anvillift_schema::ledger::{LedgerOperation, LedgerVerdict};
use anvillift_schema::name::Name;
use snafu::ResultExt;

use crate::record::{Progress, Record};

/// Longest text field of an operation, in bytes.
const MAX_FIELD_BYTES: usize = 256;

/// Settings of [`Machine`]; the same on all replicas of a group.
#[derive(Clone, Debug)]
pub struct MachineSettings {
    /// Keys kept; beyond them reservations are refused, never forgotten.
    pub max_keys: usize,
    /// Attempts remembered that gave up before their reservation arrived.
    pub max_released: usize,
    /// Upstreams whose fencing number is kept.
    pub max_fences: usize,
    /// Shortest retention of a key, in milliseconds; longer than any command takes.
    pub min_retention_ms: u64,
    /// Longest retention of a key, in milliseconds.
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

/// Why a snapshot was not taken.
#[derive(Debug, snafu::Snafu)]
pub enum RestoreError {
    /// It does not decode.
    #[snafu(display("the ledger snapshot does not decode: {source}"))]
    Decode {
        /// Why.
        source: ciborium::de::Error<std::io::Error>,
    },
}

#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
struct State {
    /// When the group was formed: of keys issued before, nothing is known.
    formed_unix_ms: u64,
    clock_unix_ms: u64,
    records: BTreeMap<String, Record>,
    /// Attempts that gave up unheard, and until when to remember them.
    released: BTreeMap<Name, u64>,
    fences: BTreeMap<Name, u64>,
}

/// Reservations and outcomes of one home region.
#[derive(Clone, Debug)]
pub struct Machine {
    settings: MachineSettings,
    state: State,
}

impl Machine {
    /// A machine without keys.
    pub fn new(settings: MachineSettings) -> Self {
        Self { settings, state: State::default() }
    }

    /// Applies an encoded operation of the log and gives the encoded verdict.
    pub fn apply_bytes(&mut self, operation: &[u8]) -> Vec<u8> {
        let verdict = match ciborium::from_reader(operation) {
            Ok(operation) => self.apply(operation),
            Err(_) => LedgerVerdict::Recorded(false),
        };
        encode(&verdict)
    }

    /// Applies an operation of the log.
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

    /// The whole state, encoded.
    pub fn snapshot(&self) -> Vec<u8> {
        encode(&self.state)
    }

    /// Takes the state of a snapshot.
    pub fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        self.state = ciborium::from_reader(snapshot).context(DecodeSnafu)?;
        Ok(())
    }

    /// Keys kept.
    pub fn key_count(&self) -> usize {
        self.state.records.len()
    }

    /// Highest fencing number seen for an upstream.
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
        let Some(record) = self.held_by(key_hash, attempt) else {
            return LedgerVerdict::Recorded(false);
        };
        if matches!(record.progress, Progress::Ran { .. }) {
            return LedgerVerdict::Recorded(false);
        }
        record.progress = Progress::Ran { status, answer_hash };
        LedgerVerdict::Recorded(true)
    }

    fn abandon(&mut self, key_hash: &str, attempt: Name, not_run: bool) -> LedgerVerdict {
        let Some(record) = self.held_by(key_hash, &attempt) else {
            return self.release_unheard(attempt, not_run);
        };
        if matches!(record.progress, Progress::Ran { .. }) {
            return LedgerVerdict::Recorded(false);
        }
        if not_run {
            self.state.records.remove(key_hash);
            return self.release_unheard(attempt, true);
        }
        record.progress = Progress::Unknown;
        LedgerVerdict::Recorded(true)
    }

    /// Remembers an attempt that gave up, so that its reservation is refused if it comes late.
    fn release_unheard(&mut self, attempt: Name, not_run: bool) -> LedgerVerdict {
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
        let known = self.state.fences.get(&upstream).copied();
        let room = known.is_some() || self.state.fences.len() < self.settings.max_fences;
        if known.is_some_and(|known| fencing < known) || !room || upstream.len() > MAX_FIELD_BYTES {
            return LedgerVerdict::Recorded(false);
        }
        self.state.fences.insert(upstream, fencing);
        LedgerVerdict::Recorded(true)
    }

    fn held_by(&mut self, key_hash: &str, attempt: &Name) -> Option<&mut Record> {
        self.state.records.get_mut(key_hash).filter(|record| record.attempt == *attempt)
    }
}

/// The encoded form of an operation.
pub fn encode_operation(operation: &LedgerOperation) -> Vec<u8> {
    encode(operation)
}

/// The encoded form of a verdict.
pub fn encode_verdict(verdict: &LedgerVerdict) -> Vec<u8> {
    encode(verdict)
}

/// The verdict of its encoded form.
pub fn decode_verdict(verdict: &[u8]) -> Option<LedgerVerdict> {
    ciborium::from_reader(verdict).ok()
}

fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to memory does not fail");
    bytes
}
