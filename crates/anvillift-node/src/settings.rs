//! Settings of an entry or core process, independent of the platform's file
//! format.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use anvillift_fleet::RetryShareSettings;
use anvillift_schema::name::Name;

/// Role of a process in the fleet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, derive_more::Display)]
pub enum HostRole {
    /// Reverse proxy that forwards callers' requests to workers.
    #[default]
    #[display("entry")]
    Entry,
    /// Control-plane host with a replica of the control log.
    #[display("core")]
    Core,
}

/// Settings of an entry or core process. Addresses that are `None` aren't
/// listened on.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of the machine, used only in logs.
    pub machine: Name,
    /// Whether the process is an entry or a core host.
    pub role: HostRole,
    /// Data centre of the machine.
    pub data_centre: Name,
    /// Region of the machine.
    pub region: Name,
    /// Region of each data centre of the fleet, by data centre.
    pub regions: BTreeMap<Name, Name>,
    /// IP address of the machine. Links, forwarded requests and metrics use it.
    pub machine_ip: IpAddr,
    /// First of three ports for traffic between hosts; the same on every machine.
    /// Entry hosts accept links on it, core hosts on the next one; the third is
    /// for requests forwarded by other entry hosts.
    pub first_internal_port: u16,
    /// Address on which an entry host accepts callers' requests.
    pub caller_address: Option<SocketAddr>,
    /// Address on which an entry host answers readiness probes.
    pub ready_address: Option<SocketAddr>,
    /// Address on which a core host answers calls of operators and workers.
    pub operator_address: Option<SocketAddr>,
    /// Address on which directory calls are answered.
    pub directory_address: Option<SocketAddr>,
    /// Port of the metrics address.
    pub metrics_port: u16,
    /// IP addresses of the core hosts to dial at the start.
    pub seeds: Vec<IpAddr>,
    /// Whether the whole fleet starts for the first time, so that the seeds form
    /// the control group.
    pub is_first_start: bool,
    /// Folder for the control log. Core hosts require it.
    pub data_folder: Option<PathBuf>,
    /// Interval of a worker's reports, in milliseconds.
    pub report_interval_ms: u64,
    /// Time between SIGTERM and SIGKILL, in milliseconds.
    pub grace_ms: u64,
    /// Time to live of a directory answer, in seconds.
    pub directory_ttl_s: f64,
    /// Retry budget of a service, shared by all entry hosts.
    pub retries: RetryShareSettings,
    /// Factor applied to the configured request rate of a cold worker.
    pub cold_factor: f64,
    /// Requests per second that a cold worker can take in addition to its
    /// configured rate times `cold_factor`.
    pub cold_extra: f64,
    /// Processor time that the host may use, in thousandths of a core. An entry host
    /// gets callers in proportion to it.
    pub cpu_millicores: Option<u64>,
    /// Memory of the machine, in bytes; `None` if it isn't known.
    pub memory_bytes: Option<u64>,
    /// Length of the window over which the bound on the use of a quota is checked, in
    /// milliseconds. This and the next two fields are exported as metrics, for comparison with
    /// what teams use; the decisions aim at the quota itself.
    pub quota_window_ms: u64,
    /// Part of the rate and burst that may be used in a window in addition to them.
    pub quota_overage: f64,
    /// Amount that may be used in a window in addition.
    pub quota_slack: u64,
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
            cpu_millicores: None,
            memory_bytes: None,
            quota_window_ms: 8_000,
            quota_overage: 0.1,
            quota_slack: 190_000,
        }
    }
}

impl NodeSettings {
    /// Address on which this host accepts links. The name of a host is this address
    /// in text form.
    pub(crate) fn link_address(&self) -> SocketAddr {
        let offset = match self.role {
            HostRole::Entry => 0,
            HostRole::Core => 1,
        };
        SocketAddr::new(self.machine_ip, self.first_internal_port + offset)
    }

    /// Address on which an entry host accepts requests forwarded by other entry
    /// hosts.
    pub(crate) fn forward_address(&self) -> SocketAddr {
        SocketAddr::new(self.machine_ip, self.first_internal_port + 2)
    }

    /// Names of the seed core hosts, sorted so that the order is the same on
    /// every host.
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

    /// Region of a data centre, or `None` if the settings don't list it.
    pub(crate) fn region_of(&self, data_centre: &str) -> Option<&Name> {
        self.regions.get(data_centre)
    }
}
