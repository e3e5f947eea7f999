//! Hosts, addresses and settings files of a cluster.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::process;
use std::sync::atomic::{AtomicU32, Ordering};

use sha2::{Digest, Sha256};

pub(crate) const CALLER_KEY: &str = "caller-key";
pub(crate) const UPSTREAM_KEY: &str = "upstream-key";
pub(crate) const OPERATOR_KEY: &str = "operator-key";
/// A model service that may be served everywhere.
pub(crate) const MODEL: &str = "asistente-riego";
/// A plain service that may be served everywhere.
pub(crate) const PLAIN: &str = "control-pivotes";
/// A model service bound to the region oriente.
pub(crate) const BOUND: &str = "suelos-de-oriente";

const LINK_KEY: &str = "00112233445566778899aabbccddeeff";
const CALLER_PORT: u16 = 7400;
const LINK_PORT: u16 = 7500;
const LEDGER_VOTERS: usize = 3;
const REGIONS: [(&str, &str); 3] =
    [("oriente", "zacapa-a"), ("costa-sur", "escuintla-a"), ("altiplano", "xela-a")];

/// Profiles, services and teams of every host.
const CONFIGURATION: &str = "
[profile general]

[profile bound]
places = oriente

[service asistente-riego]
profile = general

[service suelos-de-oriente]
profile = bound

[service control-pivotes]
kind = plain
profile = general
";

/// What a cluster consists of.
#[derive(Clone, Debug)]
pub(crate) struct ClusterSettings {
    /// Hosts `{region}-1` and on in each of three regions.
    pub(crate) hosts_per_region: u32,
    /// Hosts with a disk, at most two in a region.
    pub(crate) disks: usize,
    /// Sections added to each settings file.
    pub(crate) sections: String,
}

impl Default for ClusterSettings {
    fn default() -> Self {
        Self { hosts_per_region: 2, disks: REGIONS.len(), sections: String::new() }
    }
}

/// One host of the layout.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) host: String,
    pub(crate) region: String,
    pub(crate) data_centre: String,
    /// Address for callers.
    pub(crate) callers: String,
    /// Address on which it takes links.
    pub(crate) links: String,
    /// Whether it has a data folder and votes on control.
    pub(crate) has_disk: bool,
}

/// Every host, by name.
pub(crate) fn places(settings: &ClusterSettings) -> BTreeMap<String, Place> {
    let ip = own_ip();
    let mut places = BTreeMap::new();
    let mut index = 0;
    for (position, (region, data_centre)) in REGIONS.into_iter().enumerate() {
        for number in 1..=settings.hosts_per_region {
            let disks_before = (number as usize - 1) * REGIONS.len() + position;
            let place = Place {
                host: format!("{region}-{number}"),
                region: region.to_owned(),
                data_centre: data_centre.to_owned(),
                callers: format!("{ip}:{}", CALLER_PORT + index),
                links: format!("{ip}:{}", LINK_PORT + index),
                has_disk: disks_before < settings.disks,
            };
            index += 1;
            places.insert(place.host.clone(), place);
        }
    }
    places
}

/// A loopback address that no other cluster uses.
fn own_ip() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = process::id();
    format!("127.{}.{}.{}", 64 + (process >> 8) % 128, process & 0xff, number)
}

/// The settings file of a host; `link_of` gives the address it dials for another.
pub(crate) fn settings_text(
    settings: &ClusterSettings,
    places: &BTreeMap<String, Place>,
    own: &Place,
    data_folder: &str,
    link_of: impl Fn(&str) -> String,
) -> String {
    let mut text = format!(
        "[host]\nname = {}\nregion = {}\ndata_centre = {}\n\n\
         [listen]\ncallers = {}\nlinks = {}\n\n\
         [keys]\nlink_key = {LINK_KEY}\nupstream_key_hashes = {}\noperator_key_hashes = {}\n\n",
        own.host,
        own.region,
        own.data_centre,
        own.callers,
        own.links,
        hash(UPSTREAM_KEY),
        hash(OPERATOR_KEY),
    );
    for place in places.values() {
        let link = if place.host == own.host { own.links.clone() } else { link_of(&place.host) };
        let _ = write!(
            text,
            "[peer {}]\nregion = {}\ndata_centre = {}\nlink = {link}\n\n",
            place.host, place.region, place.data_centre
        );
    }
    if own.has_disk {
        let _ = write!(text, "[storage]\nfolder = {data_folder}\n\n");
    }
    text.push_str(&groups(places));
    text.push_str(CONFIGURATION);
    let _ = write!(
        text,
        "\n[team cooperativa]\nkey_hashes = {}\nhome = oriente\n\n{}",
        hash(CALLER_KEY),
        settings.sections
    );
    text
}

fn groups(places: &BTreeMap<String, Place>) -> String {
    let disks = places.values().filter(|place| place.has_disk);
    let disks: Vec<&str> = disks.map(|place| place.host.as_str()).collect();
    let mut text = format!("[control]\nvoters = {}\n\n", disks.join(", "));
    for (region, _) in REGIONS {
        let (near, far): (Vec<&Place>, Vec<&Place>) =
            places.values().partition(|place| place.region == region);
        let voters = near.into_iter().chain(far).take(LEDGER_VOTERS);
        let voters: Vec<&str> = voters.map(|place| place.host.as_str()).collect();
        let _ = write!(text, "[ledger {region}]\nvoters = {}\n\n", voters.join(", "));
    }
    text
}

/// SHA-256 of a key, in hexadecimal.
fn hash(key: &str) -> String {
    hex::encode(Sha256::digest(key))
}
