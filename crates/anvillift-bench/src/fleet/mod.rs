//! Entry hosts of several regions in one process, with relays between them.
//!
//! [`Fleet::start`] runs each host as a complete gateway that listens on loopback.
//! Hosts of different regions reach each other only through relays that add delay
//! and limit the data rate.

pub mod keys;
mod layout;
pub(crate) mod ports;
pub mod relay;
mod settings;
pub(crate) mod wait;

use std::collections::BTreeMap;

use anvillift_gateway::{Gateway, RunningGateway};
use anvillift_schema::name::Name;
use tempfile::TempDir;

pub use self::layout::Layout;
pub use self::settings::{FleetRegion, FleetSettings};

use self::relay::Relay;
use crate::announce::AnnounceSettings;
use crate::error::BenchError;

/// Running hosts with their relays and a temporary data folder, which is deleted when
/// this value is dropped.
pub struct Fleet {
    layout: Layout,
    running: BTreeMap<Name, RunningGateway>,
    _relays: Vec<Relay>,
    _folder: TempDir,
}

impl Fleet {
    /// Starts all hosts and waits until each reports that it is ready.
    ///
    /// Fails when a host does not start or is not ready within 15 s.
    pub async fn start(settings: FleetSettings) -> Result<Self, BenchError> {
        let folder = wait::temporary_folder()?;
        let policy = settings.policy;
        let (layout, relays) = Layout::new(settings, folder.path()).await?;
        let mut running = BTreeMap::new();
        for (name, settings) in layout.host_settings() {
            let host = Gateway::start(settings).await.map_err(|error| BenchError::Host {
                host: name.to_string(),
                message: error.to_string(),
            })?;
            host.set_policy(policy);
            running.insert(name, host);
        }
        let fleet = Self { layout, running, _relays: relays, _folder: folder };
        wait::until_ready(&fleet.layout.all_urls()).await?;
        Ok(fleet)
    }

    /// Names and addresses of the hosts, and the links between regions.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Settings with which an upstream announces itself to the hosts of `region`.
    pub fn announce_settings(&self, region: &Name) -> AnnounceSettings {
        AnnounceSettings {
            hosts: self.layout.urls(region),
            key: keys::UPSTREAM_KEY.to_owned(),
            ..AnnounceSettings::default()
        }
    }

    /// Waits until every host lists the expected number of upstreams in its own data
    /// centre, given by region.
    ///
    /// Fails when a host does not list them within 15 s.
    pub async fn wait_for_upstreams(
        &self,
        counts: &BTreeMap<Name, usize>,
    ) -> Result<(), BenchError> {
        for (region, count) in counts {
            wait::until_upstreams(&self.layout.urls(region), *count).await?;
        }
        Ok(())
    }

    /// Waits until a host answers a request to a model service successfully.
    ///
    /// Fails when no successful answer is received within 15 s.
    pub async fn wait_until_answered(&self, url: &str, service: &str) -> Result<(), BenchError> {
        wait::until_answered(url, service).await
    }

    /// Stops all hosts without finishing requests in flight.
    pub fn stop(self) {
        self.running.into_values().for_each(RunningGateway::stop);
    }

    /// Drains the hosts one after another, waiting for each drain to finish.
    pub async fn drain(self) {
        for host in self.running.into_values() {
            host.drain().await;
        }
    }
}
