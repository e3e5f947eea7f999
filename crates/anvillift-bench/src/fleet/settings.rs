//! What a fleet consists of.

use anvillift_routing::policy::Policy;
use anvillift_schema::configuration::Configuration;
use anvillift_schema::name::Name;
use anvillift_schema::settings::{LimitSettings, TimingSettings};

use super::relay::PipeSettings;

/// A region with its data centre.
#[derive(Clone, Debug)]
pub struct FleetRegion {
    /// Name.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Entry hosts.
    pub hosts: u32,
}

/// Settings of a fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetSettings {
    /// Regions.
    pub regions: Vec<FleetRegion>,
    /// Every pair of regions, in each direction.
    pub link: PipeSettings,
    /// Configuration at revision 0.
    pub configuration: Configuration,
    /// How requests are placed.
    pub policy: Policy,
    /// Times.
    pub timing: TimingSettings,
    /// Bounds.
    pub limits: LimitSettings,
}
