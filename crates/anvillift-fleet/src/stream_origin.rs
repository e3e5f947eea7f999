//! What a host knows of the software version that began a stream, and which cores keep that
//! in mind.
//!
//! A record of the stream decides. Without one a host knows which versions the service has
//! had, since its start at most. For a stream that another host began, what one host knows
//! isn't enough, see [`StreamLookup`](crate::StreamLookup).

use anvillift_schema::fleet::{FleetHost, FleetHostRole, FleetStreamEvidence};
use anvillift_schema::name::Name;
use anvillift_schema::rendezvous;

use crate::host_table::HostTable;
use crate::worker_table::WorkerTable;

/// Facts on which a host bases the version of streams that it has no record of.
#[derive(Clone, Copy, Debug)]
pub struct OriginFacts<'a> {
    /// Workers known to this host.
    pub workers: &'a WorkerTable,
    /// Hosts known to this host.
    pub hosts: &'a HostTable,
    /// Current time, in milliseconds.
    pub now_ms: u64,
    /// Time at which this host started, in milliseconds.
    pub started_ms: u64,
    /// Longest time between the start of a stream and its resumption, in milliseconds;
    /// `None` if it isn't known.
    pub retention_ms: Option<u64>,
}

/// The version that began a stream, as far as one host can tell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownVersion {
    /// Version of the software of the service's workers.
    pub version: Name,
    /// What the host bases it on.
    pub evidence: FleetStreamEvidence,
}

impl OriginFacts<'_> {
    /// The only version of a service that this host has seen for as long as a stream may last,
    /// or since its start; `None` if there were several, or none.
    pub fn only_version(&self, service: &str) -> Option<KnownVersion> {
        let since_ms = self.now_ms.checked_sub(self.retention_ms?)?;
        let version = self.workers.only_version_since(service, since_ms)?.clone();
        let has_seen_all =
            self.started_ms <= since_ms && self.hosts.are_all_regions_reachable(self.now_ms);
        let evidence = if has_seen_all {
            FleetStreamEvidence::OnlyVersionForRetention
        } else {
            FleetStreamEvidence::OnlyVersionSinceStart
        };
        Some(KnownVersion { version, evidence })
    }
}

/// The cores that a host tells about its streams: one of its region and one of another,
/// so that the loss of a core or of a region leaves one of them.
pub fn keepers<'a>(
    hosts: impl IntoIterator<Item = &'a FleetHost>,
    own_name: &Name,
    own_region: &Name,
) -> Vec<Name> {
    let key = rendezvous::hash(own_name.as_str().as_bytes());
    let mut cores: Vec<&FleetHost> = hosts
        .into_iter()
        .filter(|host| host.role == FleetHostRole::Core && host.remembers_streams)
        .collect();
    cores.sort_by_key(|core| std::cmp::Reverse(rendezvous::rank(key, &core.name)));
    let near = cores.iter().find(|core| core.region == *own_region);
    let far = cores.iter().find(|core| core.region != *own_region);
    near.into_iter().chain(far).map(|core| core.name.clone()).collect()
}
