//! A simulated network between hosts, with a relay for each ordered pair of hosts.
//!
//! Two hosts have a relay each to connect to the other. Both relays share one
//! pipe per direction, so that a cut direction carries no data regardless of
//! which host opened the link.

use std::collections::BTreeMap;
use std::sync::Arc;

use anvillift_bench::fleet::relay::{self, Pipe, PipeSettings, Relay};

use super::layout::HostLayout;

/// One-way delay between hosts of the same region.
const DELAY_WITHIN_REGION_MS: u64 = 0;
/// One-way delay between hosts of different regions.
const DELAY_BETWEEN_REGIONS_MS: u64 = 10;

/// Pipes by sending and receiving host, and relays by connecting and accepting host.
pub(crate) struct Network {
    pipes: BTreeMap<(String, String), Arc<Pipe>>,
    relays: BTreeMap<(String, String), Relay>,
}

impl Network {
    /// Starts the relays between all hosts.
    pub(crate) async fn start(layouts: &BTreeMap<String, HostLayout>) -> Self {
        let mut network = Self { pipes: BTreeMap::new(), relays: BTreeMap::new() };
        for (from, to) in host_pairs(layouts) {
            let is_same_region = from.region == to.region;
            let delay_ms =
                if is_same_region { DELAY_WITHIN_REGION_MS } else { DELAY_BETWEEN_REGIONS_MS };
            let pipe = Pipe::new(PipeSettings { delay_ms, ..PipeSettings::default() });
            network.pipes.insert((from.host.clone(), to.host.clone()), Arc::new(pipe));
        }
        for (from, to) in host_pairs(layouts) {
            let outbound = network.pipe(&from.host, &to.host).clone();
            let inbound = network.pipe(&to.host, &from.host).clone();
            let target = to.link_address.parse().expect("an address");
            let relay = relay::start(target, outbound, inbound).await.expect("a relay");
            network.relays.insert((from.host.clone(), to.host.clone()), relay);
        }
        network
    }

    /// Returns the address of the relay through which `from` connects to `to`.
    pub(crate) fn address(&self, from: &str, to: &str) -> String {
        self.relays[&(from.to_owned(), to.to_owned())].addr.to_string()
    }

    /// Restores or cuts the direction from one host to another.
    pub(crate) fn set_open(&self, from: &str, to: &str, is_open: bool) {
        self.pipe(from, to).set_open(is_open);
    }

    /// Restores all directions.
    pub(crate) fn heal(&self) {
        self.pipes.values().for_each(|pipe| pipe.set_open(true));
    }

    fn pipe(&self, from: &str, to: &str) -> &Arc<Pipe> {
        &self.pipes[&(from.to_owned(), to.to_owned())]
    }
}

fn host_pairs(
    layouts: &BTreeMap<String, HostLayout>,
) -> impl Iterator<Item = (&HostLayout, &HostLayout)> {
    layouts.values().flat_map(move |from| {
        let others = layouts.values().filter(|to| to.host != from.host);
        others.map(move |to| (from, to))
    })
}
