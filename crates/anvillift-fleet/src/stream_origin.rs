//! Decides which software version began a stream, and which cores keep that in mind.
//!
//! A record of the stream decides. Without one the version is certain only if the
//! service can have had no other version for as long as a stream may last, as far as
//! this host can know: it was running all that time and hears every region. Where
//! this host can't be certain, other hosts can't either, so it tells cores about the
//! streams that it begins.

use anvillift_schema::fleet::{FleetHost, FleetHostRole};
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

impl OriginFacts<'_> {
    /// The version that must have begun every recent stream of a service, or `None`
    /// if there may have been another one.
    pub fn certain_version(&self, service: &str) -> Option<Name> {
        let retention_ms = self.retention_ms?;
        let since_ms = self.now_ms.checked_sub(retention_ms)?;
        if self.started_ms > since_ms || !self.hosts.are_all_regions_reachable(self.now_ms) {
            return None;
        }
        self.workers.only_version_since(service, since_ms).cloned()
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
