//! Settings of a fleet of entry hosts.

use anvillift_routing::policy::Policy;
use anvillift_schema::configuration::Configuration;
use anvillift_schema::name::Name;
use anvillift_schema::settings::{LimitSettings, TimingSettings};

use super::relay::LinkDirectionSettings;

/// Region of a fleet, with one data centre.
#[derive(Clone, Debug)]
pub struct FleetRegion {
    /// Region name in host settings and routes.
    pub name: Name,
    /// Name of the region's only data centre; host names begin with it.
    pub data_centre: Name,
    /// Number of entry hosts; the first one has a disk and votes on control state.
    pub hosts: u32,
}

/// Regions, links and common host settings from which a fleet is started.
#[derive(Clone, Debug, Default)]
pub struct FleetSettings {
    /// Regions to start hosts in.
    pub regions: Vec<FleetRegion>,
    /// Delay and data rate between each pair of regions, the same in both directions.
    pub link: LinkDirectionSettings,
    /// Initial configuration of every host, at revision 0.
    pub configuration: Configuration,
    /// Policy by which hosts place requests.
    pub policy: Policy,
    /// Intervals and time-outs of every host.
    pub timing: TimingSettings,
    /// Resource limits of every host.
    pub limits: LimitSettings,
}
