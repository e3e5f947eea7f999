//! Which hosts keep a link to each other.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_membership::links::GroupHosts;
use anvillift_membership::{links, rank};
use anvillift_schema::name::Name;
use anvillift_schema::settings::PeerSettings;

/// Hosts in data centres, of which three make a region.
fn peers(hosts: usize, centres: usize) -> BTreeMap<Name, PeerSettings> {
    let peer = |number: usize| {
        let centre = number % centres;
        let settings = PeerSettings {
            region: format!("region-{}", centre / 3).into(),
            data_centre: format!("centre-{centre:02}").into(),
            link: String::new(),
        };
        (Name::from(format!("host-{number:03}")), settings)
    };
    (0..hosts).map(peer).collect()
}

fn all_links(
    peers: &BTreeMap<Name, PeerSettings>,
    groups: &GroupHosts,
) -> BTreeMap<Name, BTreeSet<Name>> {
    peers.keys().map(|host| (host.clone(), links::links(host, peers, groups))).collect()
}

#[test]
fn a_small_system_links_every_pair() {
    let peers = peers(24, 6);
    let links = all_links(&peers, &GroupHosts::default());
    assert!(links.values().all(|links| links.len() == 23));
}

#[test]
fn a_large_system_links_both_ends_and_reaches_each_data_centre() {
    let peers = peers(380, 28);
    let ledger: BTreeSet<Name> = ["host-000", "host-001", "host-030"].map(Name::from).into();
    let control = BTreeSet::from([Name::from("host-007")]);
    let groups = GroupHosts { control, ledgers: vec![ledger.clone()] };
    let links = all_links(&peers, &groups);
    for (host, linked) in &links {
        assert!(!linked.contains(host));
        assert!(linked.iter().all(|other| links[other].contains(host)), "{host} is one-sided");
        let reached: BTreeSet<&Name> =
            linked.iter().map(|other| &peers[other].data_centre).collect();
        assert_eq!(reached.len(), 28, "{host} does not reach each data centre");
        assert!(host.as_str() == "host-007" || linked.contains("host-007"));
        for voter in ledger.iter().filter(|voter| *voter != host) {
            let needed = ledger.contains(host) || peers[host].region == peers[voter].region;
            assert!(!needed || linked.contains(voter), "{host} does not reach {voter}");
        }
    }
}

#[test]
fn links_of_a_large_system_are_few() {
    let peers = peers(380, 28);
    let links = all_links(&peers, &GroupHosts::default());
    let total: usize = links.values().map(BTreeSet::len).sum();
    let mean = total / links.len();
    let most = links.values().map(BTreeSet::len).max().expect("hosts");
    assert!(mean <= 100, "{mean} links a host");
    assert!(most <= 200, "{most} links of one host");
}

#[test]
fn delegates_of_each_pair_of_data_centres_are_linked() {
    let peers = peers(380, 28);
    let links = all_links(&peers, &GroupHosts::default());
    let mut centres: BTreeMap<&Name, Vec<Name>> = BTreeMap::new();
    for (name, peer) in &peers {
        centres.entry(&peer.data_centre).or_default().push(name.clone());
    }
    for (number, hosts) in centres.values().enumerate() {
        for (other_number, others) in centres.values().enumerate() {
            if number == other_number {
                continue;
            }
            // One of the two first delegates of each side may be silent.
            let speakers = rank::in_order(hosts, other_number).take(3);
            for speaker in speakers {
                let mut listeners = rank::in_order(others, number).take(3);
                assert!(listeners.all(|listener| links[speaker].contains(listener)));
            }
        }
    }
}

#[test]
fn the_place_of_a_silent_delegate_falls_to_the_next_and_no_other_moves() {
    let hosts: Vec<Name> = (0..6).map(|host| Name::from(format!("host-{host}"))).collect();
    let all: Vec<&Name> = hosts.iter().collect();
    let fewer: Vec<&Name> = hosts.iter().skip(1).collect();
    for other in 0..12 {
        let before = rank::delegates(&hosts, &all, other);
        let after = rank::delegates(&hosts, &fewer, other);
        assert_eq!(before.len(), 2);
        assert!(before.iter().all(|host| **host == hosts[0] || after.contains(host)));
    }
}
