//! What a host table knows about one host.

use anvillift_schema::fleet::FleetHost;

/// Time for which a host counts as alive after a message over its own link, in milliseconds.
const DIRECT_ALIVE_MS: u64 = 2_500;
/// Time without a message from any core host of a region after which the region
/// counts as unreachable, in milliseconds.
pub(crate) const MAX_REGION_SILENCE_MS: u64 = 1_300;

/// A host, and when it was heard.
#[derive(Clone, Debug)]
pub(crate) struct HostRecord {
    pub(crate) host: FleetHost,
    pub(crate) last_direct_ms: Option<u64>,
    pub(crate) last_seen_ms: u64,
}

impl HostRecord {
    /// Whether a message arrived so recently that the region of the host is reachable.
    pub(crate) fn is_heard(&self, now_ms: u64) -> bool {
        self.last_direct_ms.is_some_and(|ms| ms + MAX_REGION_SILENCE_MS >= now_ms)
    }

    /// Whether messages arrive over the link of the host.
    pub(crate) fn is_direct(&self, now_ms: u64) -> bool {
        self.last_direct_ms.is_some_and(|ms| ms + DIRECT_ALIVE_MS >= now_ms)
    }
}
