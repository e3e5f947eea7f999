//! Selection of links between hosts, and of delegates.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_membership::links::GroupVoters;
use anvillift_membership::{delegates, links};
use anvillift_schema::name::Name;
use anvillift_schema::settings::PeerSettings;

/// Hosts distributed over data centres, three of which form a region.
fn peers(hosts: usize, data_centres: usize) -> BTreeMap<Name, PeerSettings> {
    let peer = |number: usize| {
        let data_centre = number % data_centres;
        let settings = PeerSettings {
            region: format!("region-{}", data_centre / 3).into(),
            data_centre: format!("centre-{data_centre:02}").into(),
            link: String::new(),
        };
        (Name::from(format!("host-{number:03}")), settings)
    };
    (0..hosts).map(peer).collect()
}

fn all_links(
    peers: &BTreeMap<Name, PeerSettings>,
    groups: &GroupVoters,
) -> BTreeMap<Name, BTreeSet<Name>> {
    peers.keys().map(|host| (host.clone(), links::links(host, peers, groups))).collect()
}

#[test]
fn a_small_system_links_every_pair() {
    let peers = peers(24, 6);
    let links = all_links(&peers, &GroupVoters::default());
    assert!(links.values().all(|links| links.len() == 23));
}

#[test]
fn a_large_system_has_symmetric_links_to_each_data_centre() {
    let peers = peers(380, 28);
    let ledger: BTreeSet<Name> = ["host-000", "host-001", "host-030"].map(Name::from).into();
    let control = BTreeSet::from([Name::from("host-007")]);
    let groups = GroupVoters { control, ledgers: vec![ledger.clone()] };
    let links = all_links(&peers, &groups);
    for (host, linked) in &links {
        assert!(!linked.contains(host));
        assert!(
            linked.iter().all(|other| links[other].contains(host)),
            "a link of {host} exists on one side only"
        );
        let reached: BTreeSet<&Name> =
            linked.iter().map(|other| &peers[other].data_centre).collect();
        assert_eq!(reached.len(), 28, "{host} does not reach each data centre");
        assert!(host.as_str() == "host-007" || linked.contains("host-007"));
        for voter in ledger.iter().filter(|voter| *voter != host) {
            let is_required = ledger.contains(host) || peers[host].region == peers[voter].region;
            assert!(!is_required || linked.contains(voter), "{host} does not reach {voter}");
        }
    }
}

#[test]
fn hosts_of_a_large_system_have_few_links() {
    let peers = peers(380, 28);
    let links = all_links(&peers, &GroupVoters::default());
    let total: usize = links.values().map(BTreeSet::len).sum();
    let mean = total / links.len();
    let most = links.values().map(BTreeSet::len).max().expect("hosts");
    assert!(mean <= 100, "{mean} links a host");
    assert!(most <= 200, "{most} links of one host");
}

#[test]
fn delegates_of_each_pair_of_data_centres_are_linked() {
    let peers = peers(380, 28);
    let links = all_links(&peers, &GroupVoters::default());
    let mut data_centres: BTreeMap<&Name, Vec<Name>> = BTreeMap::new();
    for (name, peer) in &peers {
        data_centres.entry(&peer.data_centre).or_default().push(name.clone());
    }
    for (number, hosts) in data_centres.values().enumerate() {
        for (other_number, others) in data_centres.values().enumerate() {
            if number == other_number {
                continue;
            }
            // If one of the two preferred delegates is silent, the third host replaces it.
            let senders = delegates::in_preference_order(hosts, other_number).take(3);
            for sender in senders {
                let mut receivers = delegates::in_preference_order(others, number).take(3);
                assert!(receivers.all(|receiver| links[sender].contains(receiver)));
            }
        }
    }
}

#[test]
fn only_a_silent_delegate_is_replaced() {
    let hosts: Vec<Name> = (0..6).map(|host| Name::from(format!("host-{host}"))).collect();
    let all: Vec<&Name> = hosts.iter().collect();
    let without_first: Vec<&Name> = hosts.iter().skip(1).collect();
    for other in 0..12 {
        let before = delegates::select(&hosts, &all, other);
        let after = delegates::select(&hosts, &without_first, other);
        assert_eq!(before.len(), 2);
        assert!(before.iter().all(|host| **host == hosts[0] || after.contains(host)));
    }
}
