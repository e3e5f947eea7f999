//! Names, addresses and relays of a fleet, and the settings of its hosts.
//!
//! [`Layout::new`] allocates addresses and starts a relay for each ordered pair of
//! hosts in different regions; [`Layout::host_settings`] turns them into the
//! settings with which each gateway starts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use anvillift_schema::name::Name;
use anvillift_schema::settings::{
    GroupSettings, HostSettings, Identity, KeySettings, ListenSettings, PeerSettings,
    StorageSettings,
};

use super::keys::{self, LINK_KEY, OPERATOR_KEY, UPSTREAM_KEY};
use super::ports;
use super::relay::{self, LinkDirection, Relay};
use super::settings::FleetSettings;
use crate::error::BenchError;

const SNAPSHOT_ENTRIES: u64 = 1024;
const LEDGER_VOTERS: usize = 3;

/// Identity and addresses of one host.
#[derive(Clone, Debug)]
struct Host {
    identity: Identity,
    caller_addr: SocketAddr,
    link_addr: SocketAddr,
    has_disk: bool,
}

/// Hosts of a fleet with their addresses, and the links between regions.
pub struct Layout {
    settings: FleetSettings,
    hosts: Vec<Host>,
    link_directions: BTreeMap<(Name, Name), Arc<LinkDirection>>,
    /// Address of the relay from the first host to the second, by their names.
    relay_addrs: BTreeMap<(Name, Name), SocketAddr>,
    folder: PathBuf,
}

impl Layout {
    /// Allocates addresses and starts the relays; hosts store their data below
    /// `folder`.
    pub(super) async fn new(
        settings: FleetSettings,
        folder: &Path,
    ) -> Result<(Self, Vec<Relay>), BenchError> {
        let hosts = hosts(&settings)?;
        let link_directions = link_directions(&settings);
        let mut relay_addrs = BTreeMap::new();
        let mut relays = Vec::new();
        for (from, to) in cross_region_pairs(&hosts) {
            let key = |a: &Host, b: &Host| (a.identity.region.clone(), b.identity.region.clone());
            let forward = Arc::clone(&link_directions[&key(from, to)]);
            let backward = Arc::clone(&link_directions[&key(to, from)]);
            let relay = relay::start(to.link_addr, forward, backward).await?;
            relay_addrs.insert((from.identity.name.clone(), to.identity.name.clone()), relay.addr);
            relays.push(relay);
        }
        Ok((
            Self { settings, hosts, link_directions, relay_addrs, folder: folder.to_owned() },
            relays,
        ))
    }

    /// Base URLs of the hosts of a region; empty when the region is unknown.
    pub fn urls(&self, region: &Name) -> Vec<String> {
        let hosts = self.hosts.iter().filter(|host| host.identity.region == *region);
        hosts.map(Host::url).collect()
    }

    /// Base URLs of all hosts, region by region.
    pub fn all_urls(&self) -> Vec<String> {
        self.hosts.iter().map(Host::url).collect()
    }

    /// Base URLs of the hosts of each region.
    pub fn urls_by_region(&self) -> BTreeMap<Name, Vec<String>> {
        let regions = self.settings.regions.iter().map(|region| region.name.clone());
        regions.map(|region| (region.clone(), self.urls(&region))).collect()
    }

    /// Simulated link from one region to another, in that direction only.
    ///
    /// `None` when a region is unknown or both are the same.
    pub fn link_direction(&self, from: &str, to: &str) -> Option<&Arc<LinkDirection>> {
        self.link_directions.get(&(Name::from(from), Name::from(to)))
    }

    /// Names and settings of all hosts.
    pub(super) fn host_settings(&self) -> Vec<(Name, HostSettings)> {
        let hosts = self.hosts.iter();
        hosts.map(|host| (host.identity.name.clone(), self.settings_of(host))).collect()
    }

    fn settings_of(&self, host: &Host) -> HostSettings {
        let storage = host.has_disk.then(|| StorageSettings {
            folder: self.folder.join(host.identity.name.as_str()).display().to_string(),
            snapshot_entries: SNAPSHOT_ENTRIES,
        });
        HostSettings {
            configuration: self.settings.configuration.clone(),
            control: self.control(),
            host: host.identity.clone(),
            keys: key_settings(),
            ledgers: self.ledgers(),
            limits: self.settings.limits.clone(),
            listen: ListenSettings {
                callers: host.caller_addr.to_string(),
                links: host.link_addr.to_string(),
                caller_url: host.url(),
            },
            peers: self.hosts.iter().map(|peer| self.peer(host, peer)).collect(),
            storage,
            timing: self.settings.timing.clone(),
            ..HostSettings::default()
        }
    }

    fn peer(&self, host: &Host, peer: &Host) -> (Name, PeerSettings) {
        let name = peer.identity.name.clone();
        let link = self.relay_addrs.get(&(host.identity.name.clone(), name.clone()));
        let settings = PeerSettings {
            data_centre: peer.identity.data_centre.clone(),
            region: peer.identity.region.clone(),
            link: link.unwrap_or(&peer.link_addr).to_string(),
        };
        (name, settings)
    }

    fn control(&self) -> GroupSettings {
        let voters = self.hosts.iter().filter(|host| host.has_disk);
        GroupSettings { voters: voters.map(|host| host.identity.name.clone()).collect() }
    }

    /// Voters of each region's ledger: hosts of the region first, then hosts of other
    /// regions when it has fewer than `LEDGER_VOTERS`.
    fn ledgers(&self) -> BTreeMap<Name, GroupSettings> {
        let regions = self.settings.regions.iter().map(|region| region.name.clone());
        regions
            .map(|region| {
                let (local, remote): (Vec<_>, Vec<_>) =
                    self.hosts.iter().partition(|host| host.identity.region == region);
                let voters = local.into_iter().chain(remote).take(LEDGER_VOTERS);
                let voters = voters.map(|host| host.identity.name.clone()).collect();
                (region, GroupSettings { voters })
            })
            .collect()
    }
}

impl Host {
    fn url(&self) -> String {
        format!("http://{}", self.caller_addr)
    }
}

fn hosts(settings: &FleetSettings) -> Result<Vec<Host>, BenchError> {
    let count: u32 = settings.regions.iter().map(|region| region.hosts).sum();
    let mut addresses = ports::free_addresses(count as usize * 2)?.into_iter();
    let mut hosts = Vec::new();
    for region in &settings.regions {
        for (number, (caller_addr, link_addr)) in (1..=region.hosts)
            .zip(std::iter::from_fn(|| Some((addresses.next()?, addresses.next()?))))
        {
            let identity = Identity {
                name: Name::from(format!("{}-{number}", region.data_centre)),
                data_centre: region.data_centre.clone(),
                region: region.name.clone(),
            };
            hosts.push(Host { identity, caller_addr, link_addr, has_disk: number == 1 });
        }
    }
    Ok(hosts)
}

fn link_directions(settings: &FleetSettings) -> BTreeMap<(Name, Name), Arc<LinkDirection>> {
    let mut link_directions = BTreeMap::new();
    for from in &settings.regions {
        for to in settings.regions.iter().filter(|to| to.name != from.name) {
            let link_direction = Arc::new(LinkDirection::new(settings.link.clone()));
            link_directions.insert((from.name.clone(), to.name.clone()), link_direction);
        }
    }
    link_directions
}

/// All ordered pairs of hosts in different regions.
fn cross_region_pairs(hosts: &[Host]) -> impl Iterator<Item = (&Host, &Host)> {
    hosts.iter().flat_map(move |from| {
        let others = hosts.iter().filter(|to| to.identity.region != from.identity.region);
        others.map(move |to| (from, to))
    })
}

fn key_settings() -> KeySettings {
    KeySettings {
        link_key: LINK_KEY.to_owned(),
        operator_key_hashes: vec![keys::hash(OPERATOR_KEY)],
        upstream_key_hashes: vec![keys::hash(UPSTREAM_KEY)],
    }
}
