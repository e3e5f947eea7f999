//! Names, addresses and relays of a fleet, and the settings of its hosts.

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
use super::relay::{self, Pipe, Relay};
use super::settings::FleetSettings;
use crate::error::BenchError;

const SNAPSHOT_ENTRIES: u64 = 1024;
const LEDGER_VOTERS: usize = 3;

/// One host.
#[derive(Clone, Debug)]
struct Host {
    identity: Identity,
    callers: SocketAddr,
    links: SocketAddr,
    has_disk: bool,
}

/// Where everything is.
pub struct Layout {
    settings: FleetSettings,
    hosts: Vec<Host>,
    pipes: BTreeMap<(Name, Name), Arc<Pipe>>,
    /// Address of the relay from one host to another.
    relayed: BTreeMap<(Name, Name), SocketAddr>,
    folder: PathBuf,
}

impl Layout {
    /// Draws addresses and starts relays; data folders go below `folder`.
    pub(super) async fn new(
        settings: FleetSettings,
        folder: &Path,
    ) -> Result<(Self, Vec<Relay>), BenchError> {
        let hosts = hosts(&settings)?;
        let pipes = pipes(&settings);
        let mut relayed = BTreeMap::new();
        let mut relays = Vec::new();
        for (from, to) in pairs_apart(&hosts) {
            let key = |a: &Host, b: &Host| (a.identity.region.clone(), b.identity.region.clone());
            let forth = Arc::clone(&pipes[&key(from, to)]);
            let back = Arc::clone(&pipes[&key(to, from)]);
            let relay = relay::start(to.links, forth, back).await?;
            relayed.insert((from.identity.name.clone(), to.identity.name.clone()), relay.addr);
            relays.push(relay);
        }
        Ok((Self { settings, hosts, pipes, relayed, folder: folder.to_owned() }, relays))
    }

    /// Base URLs of the hosts of a region.
    pub fn urls(&self, region: &Name) -> Vec<String> {
        let hosts = self.hosts.iter().filter(|host| host.identity.region == *region);
        hosts.map(Host::url).collect()
    }

    /// Base URLs of all hosts.
    pub fn all_urls(&self) -> Vec<String> {
        self.hosts.iter().map(Host::url).collect()
    }

    /// Base URLs by region.
    pub fn urls_by_region(&self) -> BTreeMap<Name, Vec<String>> {
        let regions = self.settings.regions.iter().map(|region| region.name.clone());
        regions.map(|region| (region.clone(), self.urls(&region))).collect()
    }

    /// The direction from one region to another.
    pub fn pipe(&self, from: &str, to: &str) -> Option<&Arc<Pipe>> {
        self.pipes.get(&(Name::from(from), Name::from(to)))
    }

    /// Settings of every host.
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
                callers: host.callers.to_string(),
                links: host.links.to_string(),
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
        let link = self.relayed.get(&(host.identity.name.clone(), name.clone()));
        let settings = PeerSettings {
            data_centre: peer.identity.data_centre.clone(),
            region: peer.identity.region.clone(),
            link: link.unwrap_or(&peer.links).to_string(),
        };
        (name, settings)
    }

    fn control(&self) -> GroupSettings {
        let voters = self.hosts.iter().filter(|host| host.has_disk);
        GroupSettings { voters: voters.map(|host| host.identity.name.clone()).collect() }
    }

    /// The hosts of the region vote, with others where it has too few.
    fn ledgers(&self) -> BTreeMap<Name, GroupSettings> {
        let regions = self.settings.regions.iter().map(|region| region.name.clone());
        regions
            .map(|region| {
                let (near, far): (Vec<_>, Vec<_>) =
                    self.hosts.iter().partition(|host| host.identity.region == region);
                let voters = near.into_iter().chain(far).take(LEDGER_VOTERS);
                let voters = voters.map(|host| host.identity.name.clone()).collect();
                (region, GroupSettings { voters })
            })
            .collect()
    }
}

impl Host {
    fn url(&self) -> String {
        format!("http://{}", self.callers)
    }
}

fn hosts(settings: &FleetSettings) -> Result<Vec<Host>, BenchError> {
    let count: u32 = settings.regions.iter().map(|region| region.hosts).sum();
    let mut free = ports::free(count as usize * 2)?.into_iter();
    let mut hosts = Vec::new();
    for region in &settings.regions {
        for (number, (callers, links)) in
            (1..=region.hosts).zip(std::iter::from_fn(|| Some((free.next()?, free.next()?))))
        {
            let identity = Identity {
                name: Name::from(format!("{}-{number}", region.data_centre)),
                data_centre: region.data_centre.clone(),
                region: region.name.clone(),
            };
            hosts.push(Host { identity, callers, links, has_disk: number == 1 });
        }
    }
    Ok(hosts)
}

fn pipes(settings: &FleetSettings) -> BTreeMap<(Name, Name), Arc<Pipe>> {
    let mut pipes = BTreeMap::new();
    for from in &settings.regions {
        for to in settings.regions.iter().filter(|to| to.name != from.name) {
            let pipe = Arc::new(Pipe::new(settings.link.clone()));
            pipes.insert((from.name.clone(), to.name.clone()), pipe);
        }
    }
    pipes
}

/// Pairs of hosts in different regions.
fn pairs_apart(hosts: &[Host]) -> impl Iterator<Item = (&Host, &Host)> {
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
