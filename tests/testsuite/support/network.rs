//! The network between hosts: a relay for each pair that can be cut.
//!
//! Both relays between two hosts, one for each that dials, share a pipe in
//! each direction, so that a cut holds whoever opened the link.

use std::collections::BTreeMap;
use std::sync::Arc;

use anvillift_bench::fleet::relay::{self, Pipe, PipeSettings, Relay};

use super::layout::Place;

/// One-way delay between hosts of a data centre and of two regions.
const DELAY_WITHIN_MS: u64 = 0;
const DELAY_BETWEEN_MS: u64 = 10;

/// Relays and pipes by the hosts they lead from and to.
pub(crate) struct Network {
    pipes: BTreeMap<(String, String), Arc<Pipe>>,
    relays: BTreeMap<(String, String), Relay>,
}

impl Network {
    /// Relays between each two hosts.
    pub(crate) async fn start(places: &BTreeMap<String, Place>) -> Self {
        let mut network = Self { pipes: BTreeMap::new(), relays: BTreeMap::new() };
        for (from, to) in pairs(places) {
            let same = from.region == to.region;
            let delay_ms = if same { DELAY_WITHIN_MS } else { DELAY_BETWEEN_MS };
            let pipe = Pipe::new(PipeSettings { delay_ms, ..PipeSettings::default() });
            network.pipes.insert((from.host.clone(), to.host.clone()), Arc::new(pipe));
        }
        for (from, to) in pairs(places) {
            let forth = network.pipe(&from.host, &to.host).clone();
            let back = network.pipe(&to.host, &from.host).clone();
            let target = to.links.parse().expect("an address");
            let relay = relay::start(target, forth, back).await.expect("a relay");
            network.relays.insert((from.host.clone(), to.host.clone()), relay);
        }
        network
    }

    /// The address that `from` dials to reach `to`.
    pub(crate) fn address(&self, from: &str, to: &str) -> String {
        self.relays[&(from.to_owned(), to.to_owned())].addr.to_string()
    }

    /// Opens or cuts one direction between two hosts.
    pub(crate) fn set_open(&self, from: &str, to: &str, open: bool) {
        self.pipe(from, to).set_open(open);
    }

    /// Opens every direction.
    pub(crate) fn heal(&self) {
        self.pipes.values().for_each(|pipe| pipe.set_open(true));
    }

    fn pipe(&self, from: &str, to: &str) -> &Arc<Pipe> {
        &self.pipes[&(from.to_owned(), to.to_owned())]
    }
}

fn pairs(places: &BTreeMap<String, Place>) -> impl Iterator<Item = (&Place, &Place)> {
    places.values().flat_map(move |from| {
        let others = places.values().filter(|to| to.host != from.host);
        others.map(move |to| (from, to))
    })
}
