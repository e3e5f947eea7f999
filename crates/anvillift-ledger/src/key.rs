//! Idempotency keys and hashes of requests and answers.

use anvillift_schema::ledger::{CommandKey, CommandOutcome};
use uuid::{Uuid, Version};

/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// How far a time carried by a key may be ahead of the own clock, in milliseconds.
pub const MAX_AHEAD_MS: u64 = 300_000;

/// Why a key is not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq, snafu::Snafu)]
pub enum KeyError {
    /// It is empty or too long.
    #[snafu(display("an idempotency key has 1 to {MAX_KEY_BYTES} bytes"))]
    Length,
    /// The time that it carries lies ahead.
    #[snafu(display("the time in the idempotency key lies ahead"))]
    Ahead,
}

/// Time from which a key is kept: the time that a UUIDv7 carries, else its first sight.
pub fn issued_unix_ms(key: &str, now_unix_ms: u64) -> Result<u64, KeyError> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(KeyError::Length);
    }
    let Some(carried_unix_ms) = carried_unix_ms(key) else { return Ok(now_unix_ms) };
    if carried_unix_ms > now_unix_ms.saturating_add(MAX_AHEAD_MS) {
        return Err(KeyError::Ahead);
    }
    Ok(carried_unix_ms)
}

/// The time that a key carries, if it is a UUIDv7.
pub fn carried_unix_ms(key: &str) -> Option<u64> {
    let uuid = Uuid::try_parse(key).ok()?;
    if uuid.get_version() != Some(Version::SortRand) {
        return None;
    }
    let (seconds, nanoseconds) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanoseconds) / 1_000_000)
}

/// Hash of the scope and key.
pub fn key_hash(key: &CommandKey) -> String {
    hash(&[key.team.as_bytes(), key.service.as_bytes(), key.home.as_bytes(), key.key.as_bytes()])
}

/// Hash of what a request asks for.
pub fn body_hash(method: &str, path: &str, body: &[u8]) -> String {
    hash(&[method.as_bytes(), path.as_bytes(), body])
}

/// Hash of a whole answer.
pub fn answer_hash(outcome: &CommandOutcome) -> String {
    hash(&[&outcome.status.to_be_bytes(), outcome.content_type.as_bytes(), &outcome.body])
}

fn hash(fields: &[&[u8]]) -> String {
    let mut hasher = blake3::Hasher::new();
    for field in fields {
        hasher.update(&(field.len() as u64).to_be_bytes()).update(field);
    }
    hex::encode(hasher.finalize().as_bytes())
}
