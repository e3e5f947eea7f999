//! Generated settings files for the daemons of a system of one size.
//!
//! [`Plan::new`] allocates names and addresses, and [`Plan::text`] writes the settings
//! of one daemon.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;

use anvillift_schema::name::Name;

use crate::error::BenchError;
use crate::fleet::{keys, ports};

const DATA_CENTRES_PER_REGION: usize = 3;
const CONTROL_VOTERS: usize = 3;
const LEDGER_VOTERS: usize = 3;

/// Name and addresses of one daemon.
pub(super) struct PlannedHost {
    pub(super) name: Name,
    data_centre: usize,
    caller_addr: SocketAddr,
    /// Address on which it listens for links.
    pub(super) link_addr: SocketAddr,
    /// Address of the relay through which other daemons connect to it.
    pub(super) relay_addr: SocketAddr,
}

/// All daemons of a system of one size.
pub(super) struct Plan {
    pub(super) hosts: Vec<PlannedHost>,
}

impl Plan {
    pub(super) fn new(daemons: usize, hosts_per_data_centre: usize) -> Result<Self, BenchError> {
        let addresses = ports::free_addresses(daemons * 2)?;
        let hosts = (0..daemons).map(|number| PlannedHost {
            name: Name::from(format!("host-{number:03}")),
            data_centre: number / hosts_per_data_centre,
            caller_addr: addresses[number * 2],
            link_addr: addresses[number * 2 + 1],
            relay_addr: addresses[number * 2 + 1],
        });
        Ok(Self { hosts: hosts.collect() })
    }

    pub(super) fn data_centres(&self) -> usize {
        self.hosts.last().map_or(0, |host| host.data_centre + 1)
    }

    pub(super) fn urls(&self) -> Vec<String> {
        self.hosts.iter().map(|host| format!("http://{}", host.caller_addr)).collect()
    }

    /// Text of the settings file of daemon `number`; data goes below `folder`.
    pub(super) fn text(&self, number: usize, folder: &Path) -> String {
        let host = &self.hosts[number];
        let mut text = format!(
            "[host]\nname = {}\nregion = {}\ndata_centre = {}\n\n\
             [listen]\ncallers = {callers}\nlinks = {}\ncaller_url = http://{callers}\n\n",
            host.name,
            region(host),
            data_centre(host),
            host.link_addr,
            callers = host.caller_addr,
        );
        for peer in &self.hosts {
            // A host requires that its own peer entry equals its listening address.
            let link = if peer.name == host.name { peer.link_addr } else { peer.relay_addr };
            let _ = writeln!(
                text,
                "[peer {}]\nregion = {}\ndata_centre = {}\nlink = {link}\n",
                peer.name,
                region(peer),
                data_centre(peer),
            );
        }
        let voters = self.voters(CONTROL_VOTERS);
        if voters.contains(&host.name) {
            let data = folder.join(host.name.as_str());
            let _ =
                writeln!(text, "[storage]\nfolder = {}\nsnapshot_entries = 1024\n", data.display());
        }
        let _ = writeln!(
            text,
            "[control]\nvoters = {}\n\n[ledger region-0]\nvoters = {}\n",
            comma_separated(&voters),
            comma_separated(&self.voters(LEDGER_VOTERS)),
        );
        text.push_str(&common_sections());
        text
    }

    /// Names of `count` hosts at even distances in the list, so they are spread over the
    /// data centres.
    fn voters(&self, count: usize) -> Vec<Name> {
        let step = (self.hosts.len() / count).max(1);
        let selected = self.hosts.iter().step_by(step).take(count);
        selected.map(|host| host.name.clone()).collect()
    }
}

fn common_sections() -> String {
    format!(
        "[keys]\nlink_key = {}\nupstream_key_hashes = {}\noperator_key_hashes = {}\n\n\
         [log]\nlevel = error\n\n\
         [profile all]\n\n\
         [service model]\nkind = model\nprofile = all\n\n\
         [team bench]\nkey_hashes = {}\nhome = region-0\n",
        keys::LINK_KEY,
        keys::hash(keys::UPSTREAM_KEY),
        keys::hash(keys::OPERATOR_KEY),
        keys::hash(keys::CALLER_KEY),
    )
}

fn region(host: &PlannedHost) -> String {
    format!("region-{}", host.data_centre / DATA_CENTRES_PER_REGION)
}

fn data_centre(host: &PlannedHost) -> String {
    format!("dc-{}", host.data_centre)
}

fn comma_separated(names: &[Name]) -> String {
    let names: Vec<&str> = names.iter().map(Name::as_str).collect();
    names.join(", ")
}
