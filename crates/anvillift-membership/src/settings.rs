//! Settings of [`crate::membership::Membership`], and the intervals derived from them.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;
use anvillift_schema::settings::{Identity, PeerSettings};

/// The heartbeat interval grows by one `heartbeat_ms` per this many other hosts.
const HOSTS_PER_INTERVAL: u64 = 8;
/// The heartbeat interval is at most the silence limit divided by this number: that many
/// heartbeats may be lost before a host counts as silent.
const HEARTBEATS_PER_SILENCE: u64 = 2;
/// Interval between digests to each other data centre, in milliseconds.
const DIGEST_INTERVAL_MS: u64 = 1000;
/// Interval between digests to each other data centre if there are more than
/// [`MAX_SHORT_INTERVAL_DATA_CENTRES`], in milliseconds.
const LONG_DIGEST_INTERVAL_MS: u64 = 1600;
/// Largest number of other data centres for which the short digest interval is used.
const MAX_SHORT_INTERVAL_DATA_CENTRES: usize = 8;
/// How long beyond the silence limit a digest stays valid, in milliseconds.
const DIGEST_SLACK_MS: u64 = 900;

/// Identity, peers and time limits of one host in the membership protocol.
#[derive(Clone, Debug, Default)]
pub struct MembershipSettings {
    /// Name, region and data centre of this host.
    pub identity: Identity,
    /// All hosts of the system by name, including this one.
    pub peers: BTreeMap<Name, PeerSettings>,
    /// Base URL under which callers reach this host.
    pub caller_url: String,
    /// Number that is larger at each start of the process, such as the start time.
    pub incarnation: u64,
    /// Id of the data folder; `None` for a host without storage.
    pub storage_id: Option<String>,
    /// Base interval between heartbeats, in milliseconds; longer in a large data centre.
    pub heartbeat_ms: u64,
    /// Time without a heartbeat after which a host counts as silent, in milliseconds.
    pub silent_after_ms: u64,
    /// Time without an announcement after which an upstream gets no new work, in
    /// milliseconds.
    pub upstream_expiry_ms: u64,
}

impl MembershipSettings {
    /// Names of the other hosts of the local data centre.
    pub(crate) fn local_peer_names(&self) -> Vec<Name> {
        let own = &self.identity;
        let local = self
            .peers
            .iter()
            .filter(|(name, peer)| peer.data_centre == own.data_centre && **name != own.name);
        local.map(|(name, _)| name.clone()).collect()
    }

    /// Names of the hosts of the local data centre, including this one, sorted.
    pub(crate) fn local_host_names(&self) -> Vec<Name> {
        let mut hosts = self.local_peer_names();
        hosts.push(self.identity.name.clone());
        hosts.sort();
        hosts
    }

    /// Names of the hosts of each other data centre.
    pub(crate) fn remote_host_names(&self) -> BTreeMap<Name, Vec<Name>> {
        let mut remote = BTreeMap::<Name, Vec<Name>>::new();
        for (name, peer) in &self.peers {
            if peer.data_centre != self.identity.data_centre {
                remote.entry(peer.data_centre.clone()).or_default().push(name.clone());
            }
        }
        remote
    }

    /// Interval between heartbeats to `peers` other hosts, in milliseconds.
    pub(crate) fn heartbeat_interval_ms(&self, peers: u64) -> u64 {
        let longest_ms = (self.silent_after_ms / HEARTBEATS_PER_SILENCE).max(self.heartbeat_ms);
        (self.heartbeat_ms * (1 + peers / HOSTS_PER_INTERVAL)).min(longest_ms)
    }

    /// Interval between digests to each of `data_centres` other data centres, in milliseconds.
    pub(crate) fn digest_interval_ms(&self, data_centres: usize) -> u64 {
        if data_centres > MAX_SHORT_INTERVAL_DATA_CENTRES {
            LONG_DIGEST_INTERVAL_MS
        } else {
            DIGEST_INTERVAL_MS
        }
    }

    /// Whether there are so many `peers` that each upstream's load is sent in every second
    /// heartbeat only.
    pub(crate) fn sends_load_alternately(&self, peers: usize) -> bool {
        peers as u64 >= HOSTS_PER_INTERVAL
    }

    /// How long a digest stays valid after its creation, in milliseconds.
    pub(crate) fn digest_max_age_ms(&self) -> u64 {
        self.silent_after_ms + DIGEST_SLACK_MS
    }
}
