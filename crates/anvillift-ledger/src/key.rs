//! Checks of idempotency keys, and hashes of keys, requests and answers.

use anvillift_schema::ledger::{CommandKey, CommandOutcome};
use uuid::{Uuid, Version};

/// Maximum length of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// How far the UUIDv7 time in a key may be ahead of the local clock, in
/// milliseconds.
pub const MAX_FUTURE_MS: u64 = 300_000;

/// Reasons for which an idempotency key is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, snafu::Snafu)]
pub enum KeyError {
    /// The key is empty or longer than [`MAX_KEY_BYTES`].
    #[snafu(display("the idempotency key must have 1 to {MAX_KEY_BYTES} bytes"))]
    Length,
    /// The UUIDv7 time in the key is more than [`MAX_FUTURE_MS`] ahead of the
    /// local clock.
    #[snafu(display(
        "the UUIDv7 time in the idempotency key is more than {MAX_FUTURE_MS} ms in the future"
    ))]
    InFuture,
}

/// Returns the time from which the retention of a key counts: the time in a
/// UUIDv7, or the current time for any other key.
pub fn issued_unix_ms(key: &str, now_unix_ms: u64) -> Result<u64, KeyError> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(KeyError::Length);
    }
    let Some(uuid_unix_ms) = uuid_unix_ms(key) else { return Ok(now_unix_ms) };
    if uuid_unix_ms > now_unix_ms.saturating_add(MAX_FUTURE_MS) {
        return Err(KeyError::InFuture);
    }
    Ok(uuid_unix_ms)
}

/// Returns the time in a key as a Unix time in milliseconds, or `None` if the key
/// is not a UUIDv7.
pub fn uuid_unix_ms(key: &str) -> Option<u64> {
    let uuid = Uuid::try_parse(key).ok()?;
    if uuid.get_version() != Some(Version::SortRand) {
        return None;
    }
    let (seconds, nanoseconds) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanoseconds) / 1_000_000)
}

/// Hashes a key together with its team, service and home region.
pub fn key_hash(key: &CommandKey) -> String {
    hash(&[key.team.as_bytes(), key.service.as_bytes(), key.home.as_bytes(), key.key.as_bytes()])
}

/// Hashes the method, path and body of a request, to detect a key that is reused
/// for another request.
pub fn body_hash(method: &str, path: &str, body: &[u8]) -> String {
    hash(&[method.as_bytes(), path.as_bytes(), body])
}

/// Hashes the status, content type and body of a complete answer.
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
