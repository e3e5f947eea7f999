//! Entry hosts of several regions in one process, with relays between them.
//!
//! Every host is a whole gateway that listens on loopback; hosts of different
//! regions reach each other only through relays that delay and narrow. Start
//! at [`Fleet::start`].

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

/// Hosts that run in the background.
pub struct Fleet {
    layout: Layout,
    running: BTreeMap<Name, RunningGateway>,
    _relays: Vec<Relay>,
    _folder: TempDir,
}

impl Fleet {
    /// Starts all hosts and waits until each takes requests.
    pub async fn start(settings: FleetSettings) -> Result<Self, BenchError> {
        let folder = wait::folder()?;
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

    /// Names, addresses and pipes.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// How an upstream of a region announces itself.
    pub fn announce(&self, region: &Name) -> AnnounceSettings {
        AnnounceSettings {
            hosts: self.layout.urls(region),
            key: keys::UPSTREAM_KEY.to_owned(),
            ..AnnounceSettings::default()
        }
    }

    /// Waits until every host of every region knows `count` upstreams of a service.
    ///
    /// The count is of the hosts' own data centre.
    pub async fn until_upstreams(&self, counts: &BTreeMap<Name, usize>) -> Result<(), BenchError> {
        for (region, count) in counts {
            wait::until_upstreams(&self.layout.urls(region), *count).await?;
        }
        Ok(())
    }

    /// Waits until a host can have a question to a model service answered.
    pub async fn until_answered(&self, url: &str, service: &str) -> Result<(), BenchError> {
        wait::until_answered(url, service).await
    }

    /// Stops all hosts at once.
    pub fn stop(self) {
        self.running.into_values().for_each(RunningGateway::stop);
    }

    /// Stops all hosts as planned.
    pub async fn drain(self) {
        for host in self.running.into_values() {
            host.drain().await;
        }
    }
}
