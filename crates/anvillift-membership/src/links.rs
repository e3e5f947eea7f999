//! Which hosts keep a link to each other.
//!
//! A small system links every pair of hosts. In a larger one the links of a
//! host would outgrow its budget, so it keeps links inside its data centre, to
//! the replicas that it needs, between the hosts that may become delegates of
//! their data centres, and to a host or more of each other data centre, through
//! which it forwards. Both ends reach the same plan from the same peers. Start
//! at [`links`].

use std::collections::{BTreeMap, BTreeSet};

use anvillift_schema::name::Name;
use anvillift_schema::rendezvous;
use anvillift_schema::settings::PeerSettings;

use crate::rank;

/// Systems of up to this many hosts link every pair.
const FULL_MESH_HOSTS: usize = 48;

/// Hosts of each other data centre that a host chooses to forward through.
const FORWARD_HOSTS: usize = 1;

/// Hosts by data centre.
type Centres = BTreeMap<Name, Vec<Name>>;

/// Hosts that hold replicated groups.
#[derive(Clone, Debug, Default)]
pub struct GroupHosts {
    /// Voters of control; every host keeps a link to them.
    pub control: BTreeSet<Name>,
    /// Voters of each ledger; they keep links to each other and to the hosts of
    /// their regions.
    pub ledgers: Vec<BTreeSet<Name>>,
}

/// Hosts that `own` keeps a link to.
pub fn links(
    own: &Name,
    peers: &BTreeMap<Name, PeerSettings>,
    groups: &GroupHosts,
) -> BTreeSet<Name> {
    let others = peers.keys().filter(|peer| *peer != own);
    if peers.len() <= FULL_MESH_HOSTS {
        return others.cloned().collect();
    }
    let Some(place) = peers.get(own) else { return BTreeSet::new() };
    let centres = centres(peers);
    let wanted = |peer: &&Name| {
        let other = &peers[*peer].data_centre;
        let same_region = peers[*peer].region == place.region;
        *other == place.data_centre
            || groups.need(own, peer, same_region)
            || is_candidate(own, &place.data_centre, other, &centres)
                && is_candidate(peer, other, &place.data_centre, &centres)
            || forwards_through(own, peer, other, &centres)
            || forwards_through(peer, own, &place.data_centre, &centres)
    };
    others.filter(wanted).cloned().collect()
}

impl GroupHosts {
    /// Whether the groups need a link between two hosts.
    fn need(&self, one: &Name, other: &Name, same_region: bool) -> bool {
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

fn centres(peers: &BTreeMap<Name, PeerSettings>) -> Centres {
    let mut centres = Centres::new();
    for (name, peer) in peers {
        centres.entry(peer.data_centre.clone()).or_default().push(name.clone());
    }
    centres
}

/// Whether a host of `centre` may soon be its delegate towards `other`.
fn is_candidate(host: &Name, centre: &Name, other: &Name, centres: &Centres) -> bool {
    let Some(hosts) = centres.get(centre) else { return false };
    let number = centres.range(..other.clone()).count();
    rank::in_order(hosts, number).take(rank::CANDIDATES).any(|candidate| candidate == host)
}

/// Whether `from` has chosen `to`, a host of another data centre.
fn forwards_through(from: &Name, to: &Name, centre: &Name, centres: &Centres) -> bool {
    let Some(hosts) = centres.get(centre) else { return false };
    let key = rendezvous::hash(from.as_bytes());
    let weight = rendezvous::rank(key, to);
    let heavier = hosts.iter().filter(|host| rendezvous::rank(key, host) > weight);
    heavier.count() < FORWARD_HOSTS
}
