//! Hosts, addresses and settings files of a test cluster.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::process;
use std::sync::atomic::{AtomicU32, Ordering};

use sha2::{Digest, Sha256};

pub(crate) const CALLER_KEY: &str = "caller-key";
pub(crate) const UPSTREAM_KEY: &str = "upstream-key";
pub(crate) const OPERATOR_KEY: &str = "operator-key";
/// A model service that all regions may serve.
pub(crate) const MODEL: &str = "asistente-riego";
/// A plain service that all regions may serve.
pub(crate) const PLAIN: &str = "control-pivotes";
/// A model service whose profile restricts it to the region oriente.
pub(crate) const BOUND: &str = "suelos-de-oriente";

const LINK_KEY: &str = "00112233445566778899aabbccddeeff";
const FIRST_CALLER_PORT: u16 = 7400;
const FIRST_LINK_PORT: u16 = 7500;
const LEDGER_VOTERS: usize = 3;
const REGIONS: [(&str, &str); 3] =
    [("oriente", "zacapa-a"), ("costa-sur", "escuintla-a"), ("altiplano", "xela-a")];

/// Profiles and services in the settings of every host.
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

/// Size of a cluster and additions to its settings files.
#[derive(Clone, Debug)]
pub(crate) struct ClusterSettings {
    /// Number of hosts in each of the three regions, named `{region}-1` and so on.
    pub(crate) hosts_per_region: u32,
    /// Number of hosts with a disk, spread over the regions in turn; at most two in a region.
    pub(crate) disks: usize,
    /// Sections that are appended to each settings file.
    pub(crate) sections: String,
}

impl Default for ClusterSettings {
    fn default() -> Self {
        Self { hosts_per_region: 2, disks: REGIONS.len(), sections: String::new() }
    }
}

/// Name, location and addresses of one host.
#[derive(Clone, Debug)]
pub(crate) struct HostLayout {
    pub(crate) host: String,
    pub(crate) region: String,
    pub(crate) data_centre: String,
    /// Address on which it serves callers.
    pub(crate) caller_address: String,
    /// Address on which it accepts links of other hosts.
    pub(crate) link_address: String,
    /// Whether it has a data folder and is a voter of the control group.
    pub(crate) has_disk: bool,
}

/// Returns the layouts of all hosts by name.
pub(crate) fn host_layouts(settings: &ClusterSettings) -> BTreeMap<String, HostLayout> {
    let ip = unique_loopback_ip();
    let mut layouts = BTreeMap::new();
    let mut index = 0;
    for (position, (region, data_centre)) in REGIONS.into_iter().enumerate() {
        for number in 1..=settings.hosts_per_region {
            let disks_before = (number as usize - 1) * REGIONS.len() + position;
            let layout = HostLayout {
                host: format!("{region}-{number}"),
                region: region.to_owned(),
                data_centre: data_centre.to_owned(),
                caller_address: format!("{ip}:{}", FIRST_CALLER_PORT + index),
                link_address: format!("{ip}:{}", FIRST_LINK_PORT + index),
                has_disk: disks_before < settings.disks,
            };
            index += 1;
            layouts.insert(layout.host.clone(), layout);
        }
    }
    layouts
}

/// Returns a loopback address for one cluster, made of the process id and a counter, so that
/// clusters that run at once can use the same ports.
fn unique_loopback_ip() -> String {
    static NEXT_CLUSTER: AtomicU32 = AtomicU32::new(1);
    let number = NEXT_CLUSTER.fetch_add(1, Ordering::Relaxed);
    let process = process::id();
    format!("127.{}.{}.{}", 64 + (process >> 8) % 128, process & 0xff, number)
}

/// Returns the text of the settings file of a host. `link_address_of` gives the address at which it
/// connects to another host.
pub(crate) fn settings_text(
    settings: &ClusterSettings,
    layouts: &BTreeMap<String, HostLayout>,
    own: &HostLayout,
    data_folder: &str,
    link_address_of: impl Fn(&str) -> String,
) -> String {
    let mut text = format!(
        "[host]\nname = {}\nregion = {}\ndata_centre = {}\n\n\
         [listen]\ncallers = {}\nlinks = {}\n\n\
         [keys]\nlink_key = {LINK_KEY}\nupstream_key_hashes = {}\noperator_key_hashes = {}\n\n",
        own.host,
        own.region,
        own.data_centre,
        own.caller_address,
        own.link_address,
        hash(UPSTREAM_KEY),
        hash(OPERATOR_KEY),
    );
    for layout in layouts.values() {
        let link = if layout.host == own.host {
            own.link_address.clone()
        } else {
            link_address_of(&layout.host)
        };
        let _ = write!(
            text,
            "[peer {}]\nregion = {}\ndata_centre = {}\nlink = {link}\n\n",
            layout.host, layout.region, layout.data_centre
        );
    }
    if own.has_disk {
        let _ = write!(text, "[storage]\nfolder = {data_folder}\n\n");
    }
    text.push_str(&voter_sections(layouts));
    text.push_str(CONFIGURATION);
    let _ = write!(
        text,
        "\n[team cooperativa]\nkey_hashes = {}\nhome = oriente\n\n{}",
        hash(CALLER_KEY),
        settings.sections
    );
    text
}

/// Returns the sections that name the voters of the control group and of the ledger of each region.
fn voter_sections(layouts: &BTreeMap<String, HostLayout>) -> String {
    let control_hosts = layouts.values().filter(|layout| layout.has_disk);
    let control_hosts: Vec<&str> = control_hosts.map(|layout| layout.host.as_str()).collect();
    let mut text = format!("[control]\nvoters = {}\n\n", control_hosts.join(", "));
    for (region, _) in REGIONS {
        let (local, remote): (Vec<&HostLayout>, Vec<&HostLayout>) =
            layouts.values().partition(|layout| layout.region == region);
        let voters = local.into_iter().chain(remote).take(LEDGER_VOTERS);
        let voters: Vec<&str> = voters.map(|layout| layout.host.as_str()).collect();
        let _ = write!(text, "[ledger {region}]\nvoters = {}\n\n", voters.join(", "));
    }
    text
}

/// Returns the SHA-256 of a key in hexadecimal, as settings files list keys.
fn hash(key: &str) -> String {
    hex::encode(Sha256::digest(key))
}
