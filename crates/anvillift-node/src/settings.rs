//! Settings of a process.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use anvillift_fleet::RetryShareSettings;
use anvillift_schema::name::Name;

/// What a process does.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, derive_more::Display)]
pub enum HostRole {
    /// Takes callers' requests.
    #[default]
    #[display("entry")]
    Entry,
    /// Keeps the control log.
    #[display("core")]
    Core,
}

/// Settings of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of the machine, for logs.
    pub machine: Name,
    /// What the process does.
    pub role: HostRole,
    /// Data centre.
    pub data_centre: Name,
    /// Region.
    pub region: Name,
    /// Region of each data centre.
    pub regions: BTreeMap<Name, Name>,
    /// Address of the machine.
    pub machine_ip: IpAddr,
    /// First of the ports between hosts; the same on every machine.
    pub first_internal_port: u16,
    /// Where callers connect.
    pub caller_address: Option<SocketAddr>,
    /// Where readiness is asked.
    pub ready_address: Option<SocketAddr>,
    /// Where operators and workers call.
    pub operator_address: Option<SocketAddr>,
    /// Where callers ask for hosts.
    pub directory_address: Option<SocketAddr>,
    /// Port of the metrics.
    pub metrics_port: u16,
    /// Core hosts known at the start.
    pub seeds: Vec<IpAddr>,
    /// Whether the whole fleet starts for the first time.
    pub is_first_start: bool,
    /// Folder of the disk.
    pub data_folder: Option<PathBuf>,
    /// Between two reports of a worker, in milliseconds.
    pub report_interval_ms: u64,
    /// Time between SIGTERM and SIGKILL, in milliseconds.
    pub grace_ms: u64,
    /// How long callers may use an answer of the directory, in seconds.
    pub directory_ttl_s: f64,
    /// Retries of a service, over all hosts.
    pub retries: RetryShareSettings,
    /// What a cold worker bears beyond its rate, as a factor.
    pub cold_factor: f64,
    /// What a cold worker bears beyond its rate, in requests.
    pub cold_extra: f64,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            machine: Name::default(),
            role: HostRole::default(),
            data_centre: Name::default(),
            region: Name::default(),
            regions: BTreeMap::new(),
            machine_ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
            first_internal_port: 7_660,
            caller_address: None,
            ready_address: None,
            operator_address: None,
            directory_address: None,
            metrics_port: 9_464,
            seeds: Vec::new(),
            is_first_start: false,
            data_folder: None,
            report_interval_ms: 1_000,
            grace_ms: 8_000,
            directory_ttl_s: 2.0,
            retries: RetryShareSettings::default(),
            cold_factor: 1.0,
            cold_extra: 0.0,
        }
    }
}

impl NodeSettings {
    /// Where this host takes links.
    pub(crate) fn link_address(&self) -> SocketAddr {
        let offset = match self.role {
            HostRole::Entry => 0,
            HostRole::Core => 1,
        };
        SocketAddr::new(self.machine_ip, self.first_internal_port + offset)
    }

    /// Where this host takes requests that other hosts pass on.
    pub(crate) fn forward_address(&self) -> SocketAddr {
        SocketAddr::new(self.machine_ip, self.first_internal_port + 2)
    }

    /// Names of the cores among the seeds, in an order that is alike everywhere.
    pub(crate) fn seed_names(&self) -> Vec<Name> {
        let port = self.first_internal_port + 1;
        let mut names: Vec<Name> = self
            .seeds
            .iter()
            .map(|ip| Name::from(SocketAddr::new(*ip, port).to_string()))
            .collect();
        names.sort();
        names.dedup();
        names
    }

    /// Region of a data centre.
    pub(crate) fn region_of(&self, data_centre: &str) -> Option<&Name> {
        self.regions.get(data_centre)
    }
}
