//! A simulated network between hosts, with a relay for each ordered pair of hosts.
//!
//! Two hosts have a relay each to connect to the other. Both relays share one
//! [`LinkDirection`] for each direction, so that a cut direction carries no data
//! regardless of which host opened the link.

use std::collections::BTreeMap;
use std::sync::Arc;

use anvillift_bench::fleet::relay::{self, LinkDirection, LinkDirectionSettings, Relay};

use super::layout::HostLayout;

/// One-way delay between hosts of the same region.
const DELAY_WITHIN_REGION_MS: u64 = 0;
/// One-way delay between hosts of different regions.
const DELAY_BETWEEN_REGIONS_MS: u64 = 10;

/// Link directions by sending and receiving host, and relays by connecting and accepting host.
pub(crate) struct Network {
    link_directions: BTreeMap<(String, String), Arc<LinkDirection>>,
    relays: BTreeMap<(String, String), Relay>,
}

impl Network {
    /// Starts the relays between all hosts.
    pub(crate) async fn start(layouts: &BTreeMap<String, HostLayout>) -> Self {
        let mut network = Self { link_directions: BTreeMap::new(), relays: BTreeMap::new() };
        for (from, to) in host_pairs(layouts) {
            let is_same_region = from.region == to.region;
            let delay_ms =
                if is_same_region { DELAY_WITHIN_REGION_MS } else { DELAY_BETWEEN_REGIONS_MS };
            let link_direction = LinkDirection::new(LinkDirectionSettings {
                delay_ms,
                ..LinkDirectionSettings::default()
            });
            network
                .link_directions
                .insert((from.host.clone(), to.host.clone()), Arc::new(link_direction));
        }
        for (from, to) in host_pairs(layouts) {
            let outbound = network.link_direction(&from.host, &to.host).clone();
            let inbound = network.link_direction(&to.host, &from.host).clone();
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
    pub(crate) fn set_delivering(&self, from: &str, to: &str, is_delivering: bool) {
        self.link_direction(from, to).set_delivering(is_delivering);
    }

    /// Restores all directions.
    pub(crate) fn heal(&self) {
        self.link_directions
            .values()
            .for_each(|link_direction| link_direction.set_delivering(true));
    }

    fn link_direction(&self, from: &str, to: &str) -> &Arc<LinkDirection> {
        &self.link_directions[&(from.to_owned(), to.to_owned())]
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
