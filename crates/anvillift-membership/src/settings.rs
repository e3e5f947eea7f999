//! Settings of [`crate::members::Members`].

use std::collections::BTreeMap;

use anvillift_schema::name::Name;
use anvillift_schema::settings::{Identity, PeerSettings};

/// Hosts of a data centre beyond which heartbeats are sent half as often.
const HOSTS_PER_INTERVAL: u64 = 8;
/// Heartbeats of an incarnation that may be lost before the host counts as silent.
const BEATS_PER_SILENCE: u64 = 2;
/// Between digests to each of a few other data centres, in milliseconds.
const SUMMARY_MS: u64 = 1000;
/// Between digests to each of many other data centres, in milliseconds.
const SPARSE_SUMMARY_MS: u64 = 1600;
/// Other data centres that are many.
const MANY_CENTRES: usize = 8;
/// Beyond the silence limit, how long a digest of a data centre counts, in milliseconds.
const DIGEST_SLACK_MS: u64 = 900;

/// Settings of [`crate::members::Members`].
#[derive(Clone, Debug, Default)]
pub struct MembersSettings {
    /// The own host.
    pub identity: Identity,
    /// All hosts of the system by name.
    pub peers: BTreeMap<Name, PeerSettings>,
    /// Base URL told to callers.
    pub caller_url: String,
    /// Start of the process; grows with every start.
    pub incarnation: u64,
    /// Id of the data folder, if there is one.
    pub storage_id: Option<String>,
    /// Between heartbeats, in milliseconds; longer in a large data centre.
    pub heartbeat_ms: u64,
    /// A host is silent after this time, in milliseconds.
    pub silent_after_ms: u64,
    /// An upstream is dropped after this time, in milliseconds.
    pub upstream_expiry_ms: u64,
}

impl MembersSettings {
    /// The other hosts of the own data centre.
    pub(crate) fn near(&self) -> Vec<Name> {
        let own = &self.identity;
        let near = self
            .peers
            .iter()
            .filter(|(name, peer)| peer.data_centre == own.data_centre && **name != own.name);
        near.map(|(name, _)| name.clone()).collect()
    }

    /// The hosts of the own data centre, the own one included, in order of name.
    pub(crate) fn centre(&self) -> Vec<Name> {
        let mut hosts = self.near();
        hosts.push(self.identity.name.clone());
        hosts.sort();
        hosts
    }

    /// The hosts of the other data centres.
    pub(crate) fn far(&self) -> BTreeMap<Name, Vec<Name>> {
        let mut far = BTreeMap::<Name, Vec<Name>>::new();
        for (name, peer) in &self.peers {
            if peer.data_centre != self.identity.data_centre {
                far.entry(peer.data_centre.clone()).or_default().push(name.clone());
            }
        }
        far
    }

    /// Between heartbeats among `peers` other hosts, in milliseconds.
    pub(crate) fn beat_ms(&self, peers: u64) -> u64 {
        let longest_ms = (self.silent_after_ms / BEATS_PER_SILENCE).max(self.heartbeat_ms);
        (self.heartbeat_ms * (1 + peers / HOSTS_PER_INTERVAL)).min(longest_ms)
    }

    /// Between digests to each of `centres` other data centres, in milliseconds.
    pub(crate) fn summary_ms(&self, centres: usize) -> u64 {
        if centres > MANY_CENTRES { SPARSE_SUMMARY_MS } else { SUMMARY_MS }
    }

    /// Whether `peers` other hosts are so many that load is told in every other heartbeat.
    pub(crate) fn is_large(&self, peers: usize) -> bool {
        peers as u64 >= HOSTS_PER_INTERVAL
    }

    /// How long a digest of a data centre counts, in milliseconds.
    pub(crate) fn digest_limit_ms(&self) -> u64 {
        self.silent_after_ms + DIGEST_SLACK_MS
    }
}
