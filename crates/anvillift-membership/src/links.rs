//! Chooses which hosts keep a link to each other.
//!
//! A small system links every pair of hosts. In a larger one a full mesh would
//! exceed the bandwidth budget of a host, so a host links only to the hosts of its
//! data centre, to the voters of the replicated groups that it needs, to at least
//! one host of each other data centre, through which it forwards requests, and, if
//! it may become a delegate, to the possible delegates of other data centres. Both
//! ends compute the same links from the same peers. Start at [`links`].

use std::collections::{BTreeMap, BTreeSet};

use anvillift_schema::name::Name;
use anvillift_schema::rendezvous;
use anvillift_schema::settings::PeerSettings;

use crate::delegates;

/// Largest number of hosts of a system that links every pair.
const FULL_MESH_HOSTS: usize = 48;

/// Number of hosts of each other data centre that a host forwards through.
const FORWARD_HOSTS: usize = 1;

/// Hosts of each data centre.
type HostsByDataCentre = BTreeMap<Name, Vec<Name>>;

/// Voters of the replicated groups, which determine additional links.
#[derive(Clone, Debug, Default)]
pub struct GroupVoters {
    /// Voters of the control group; every host keeps a link to them.
    pub control: BTreeSet<Name>,
    /// Voters of each ledger; they keep links to each other and to the hosts of
    /// their regions.
    pub ledgers: Vec<BTreeSet<Name>>,
}

/// Returns the hosts that `own` keeps a link to; empty if `own` is not among `peers`.
pub fn links(
    own: &Name,
    peers: &BTreeMap<Name, PeerSettings>,
    groups: &GroupVoters,
) -> BTreeSet<Name> {
    let others = peers.keys().filter(|peer| *peer != own);
    if peers.len() <= FULL_MESH_HOSTS {
        return others.cloned().collect();
    }
    let Some(own_settings) = peers.get(own) else { return BTreeSet::new() };
    let data_centres = group_by_data_centre(peers);
    let is_linked = |peer: &&Name| {
        let other = &peers[*peer].data_centre;
        let same_region = peers[*peer].region == own_settings.region;
        *other == own_settings.data_centre
            || groups.require_link(own, peer, same_region)
            || is_candidate(own, &own_settings.data_centre, other, &data_centres)
                && is_candidate(peer, other, &own_settings.data_centre, &data_centres)
            || forwards_through(own, peer, other, &data_centres)
            || forwards_through(peer, own, &own_settings.data_centre, &data_centres)
    };
    others.filter(is_linked).cloned().collect()
}

impl GroupVoters {
    /// Whether the groups require a link between two hosts.
    fn require_link(&self, one: &Name, other: &Name, same_region: bool) -> bool {
        let control = self.control.contains(one) || self.control.contains(other);
        control
            || self.ledgers.iter().any(|voters| {
                match (voters.contains(one), voters.contains(other)) {
                    (true, true) => true,
                    (false, false) => false,
                    _ => same_region,
                }
            })
    }
}

fn group_by_data_centre(peers: &BTreeMap<Name, PeerSettings>) -> HostsByDataCentre {
    let mut data_centres = HostsByDataCentre::new();
    for (name, peer) in peers {
        data_centres.entry(peer.data_centre.clone()).or_default().push(name.clone());
    }
    data_centres
}

/// Whether `host` is one of the first [`delegates::CANDIDATES`] hosts of `data_centre` in the
/// order in which they become delegates to `other`.
fn is_candidate(
    host: &Name,
    data_centre: &Name,
    other: &Name,
    data_centres: &HostsByDataCentre,
) -> bool {
    let Some(hosts) = data_centres.get(data_centre) else { return false };
    let index = data_centres.range(..other.clone()).count();
    delegates::in_preference_order(hosts, index)
        .take(delegates::CANDIDATES)
        .any(|candidate| candidate == host)
}

/// Whether `from` forwards through `to`, a host of the data centre `data_centre`.
fn forwards_through(
    from: &Name,
    to: &Name,
    data_centre: &Name,
    data_centres: &HostsByDataCentre,
) -> bool {
    let Some(hosts) = data_centres.get(data_centre) else { return false };
    let key = rendezvous::hash(from.as_bytes());
    let weight = rendezvous::rank(key, to);
    let heavier = hosts.iter().filter(|host| rendezvous::rank(key, host) > weight);
    heavier.count() < FORWARD_HOSTS
}
