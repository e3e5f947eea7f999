//! Fingerprints of whole requests.
//!
//! Each request has an id of its own, also when a caller sends the same one again.
//! Fingerprints show that it is the same, on every host.

use crate::caller_id::CallerId;

/// What two requests have in common if they are the same.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Method, such as `GET`.
    pub method: &'a str,
    /// Host that the request names, in any case.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Body; empty if there is none.
    pub body: &'a [u8],
}

/// Fingerprints of a request.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint {
    /// Equal for all requests with the same content.
    pub content: u64,
    /// Equal for all requests with the same content from the same caller.
    pub of_caller: u64,
}

impl Fingerprint {
    /// The fingerprints of a request from a caller.
    pub fn of(request: &RequestContent<'_>, caller: CallerId) -> Self {
        let content = hash(&[
            request.method.as_bytes(),
            request.host.to_ascii_lowercase().as_bytes(),
            request.target.as_bytes(),
            request.body,
        ]);
        Self { content, of_caller: hash(&[&content.to_be_bytes(), &caller.to_bytes()]) }
    }
}

/// A hash of several fields, each of which counts with its length.
pub(crate) fn hash(fields: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for field in fields {
        hasher.update(&(field.len() as u64).to_be_bytes());
        hasher.update(field);
    }
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_be_bytes(bytes)
}
