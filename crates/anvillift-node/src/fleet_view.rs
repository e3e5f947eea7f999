//! What a process knows of the fleet.

use std::collections::BTreeMap;
use std::sync::Arc;

use anvillift_fleet::stream_origin::{KnownVersion, OriginFacts};
use anvillift_fleet::{
    FleetConfiguration, HostTable, Quarantine, RegionLoads, RouteTable, StreamKey, StreamVersions,
    TeamTable, WorkerTable,
};
use anvillift_schema::fleet::{FleetControl, FleetStreamEvidence};
use anvillift_schema::name::Name;

use crate::clock;

/// This process's view of the fleet, built from received frames.
pub(crate) struct FleetView {
    pub(crate) hosts: HostTable,
    pub(crate) workers: WorkerTable,
    pub(crate) loads: RegionLoads,
    /// Last control state applied, without its document; the initial one has index 0.
    pub(crate) control: FleetControl,
    /// Configuration decoded from `control`; `None` until one has been received.
    pub(crate) configuration: Option<Arc<FleetConfiguration>>,
    pub(crate) routes: RouteTable,
    /// Hash of the packed document of `configuration`, if that is large.
    pub(crate) document_hash: Option<u64>,
    /// Priorities of the teams of `configuration`.
    pub(crate) teams: TeamTable,
    /// Versions that began the streams that this host has relayed or was told of.
    pub(crate) streams: StreamVersions,
    /// Weights of the workers that cores have told, in percent; the others are neutral.
    pub(crate) weights_percent: BTreeMap<Name, u32>,
    /// Parts of prompts that crash workers.
    pub(crate) quarantine: Quarantine,
    /// Time for which a stream may be resumed after its start; `None` without a
    /// configuration.
    pub(crate) stream_retention_ms: Option<u64>,
    /// Start time of this process, in milliseconds.
    pub(crate) started_ms: u64,
}

impl FleetView {
    /// Weight of a worker among those of its service, in percent.
    pub(crate) fn weight_percent(&self, worker: &str) -> u32 {
        self.weights_percent.get(worker).copied().unwrap_or(anvillift_fleet::NEUTRAL_PERCENT)
    }

    /// The version that began a stream of a service, as far as this host can tell.
    pub(crate) fn known_version(&self, stream: StreamKey, service: &str) -> Option<KnownVersion> {
        let recorded = self.streams.version(stream).map(|version| KnownVersion {
            version: version.clone(),
            evidence: FleetStreamEvidence::Record,
        });
        recorded.or_else(|| self.origin_facts().only_version(service))
    }

    fn origin_facts(&self) -> OriginFacts<'_> {
        OriginFacts {
            workers: &self.workers,
            hosts: &self.hosts,
            now_ms: clock::now_ms(),
            started_ms: self.started_ms,
            retention_ms: self.stream_retention_ms,
        }
    }

    /// Forgets streams that can't be resumed any more.
    pub(crate) fn remove_old_streams(&mut self, now_ms: u64) {
        if let Some(retention_ms) = self.stream_retention_ms {
            self.streams.remove_older(now_ms, retention_ms);
        }
    }
}
