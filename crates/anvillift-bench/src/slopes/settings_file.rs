//! Settings files of many daemons.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;

use anvillift_schema::name::Name;

use crate::error::BenchError;
use crate::fleet::{keys, ports};

const DATA_CENTRES_PER_REGION: usize = 3;
const CONTROL_VOTERS: usize = 3;
const LEDGER_VOTERS: usize = 3;

/// One daemon.
pub(super) struct PlannedHost {
    pub(super) name: Name,
    data_centre: usize,
    callers: SocketAddr,
    /// Where it listens for links.
    pub(super) links: SocketAddr,
    /// Where others dial it.
    pub(super) dialled: SocketAddr,
}

/// All daemons of a size.
pub(super) struct Plan {
    pub(super) hosts: Vec<PlannedHost>,
}

impl Plan {
    pub(super) fn new(daemons: usize, hosts_per_data_centre: usize) -> Result<Self, BenchError> {
        let free = ports::free(daemons * 2)?;
        let hosts = (0..daemons).map(|number| PlannedHost {
            name: Name::from(format!("host-{number:03}")),
            data_centre: number / hosts_per_data_centre,
            callers: free[number * 2],
            links: free[number * 2 + 1],
            dialled: free[number * 2 + 1],
        });
        Ok(Self { hosts: hosts.collect() })
    }

    pub(super) fn data_centres(&self) -> usize {
        self.hosts.last().map_or(0, |host| host.data_centre + 1)
    }

    pub(super) fn urls(&self) -> Vec<String> {
        self.hosts.iter().map(|host| format!("http://{}", host.callers)).collect()
    }

    /// Settings file of a host.
    pub(super) fn text(&self, number: usize, folder: &Path) -> String {
        let host = &self.hosts[number];
        let mut text = format!(
            "[host]\nname = {}\nregion = {}\ndata_centre = {}\n\n\
             [listen]\ncallers = {callers}\nlinks = {}\ncaller_url = http://{callers}\n\n",
            host.name,
            region(host),
            data_centre(host),
            host.links,
            callers = host.callers,
        );
        for peer in &self.hosts {
            // A host's own entry has to agree with where it listens.
            let link = if peer.name == host.name { peer.links } else { peer.dialled };
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
            joined(&voters),
            joined(&self.voters(LEDGER_VOTERS)),
        );
        text.push_str(&common());
        text
    }

    /// Hosts spread over the data centres.
    fn voters(&self, count: usize) -> Vec<Name> {
        let step = (self.hosts.len() / count).max(1);
        let spread = self.hosts.iter().step_by(step).take(count);
        spread.map(|host| host.name.clone()).collect()
    }
}

fn common() -> String {
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

fn joined(names: &[Name]) -> String {
    let names: Vec<&str> = names.iter().map(Name::as_str).collect();
    names.join(", ")
}
