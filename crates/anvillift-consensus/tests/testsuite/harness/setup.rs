//! Common starting points of the tests and the faults that they inject.

use anvillift_consensus::Replica;
use anvillift_schema::name::Name;

use crate::harness::Cluster;

/// Starts a group and returns it with its leader, after a first command was
/// committed.
pub(crate) fn start_with_leader(size: usize, seed: u64) -> (Cluster, Name) {
    let mut cluster = Cluster::new(size, seed);
    cluster.run(100);
    let leader = cluster.leader().expect("a leader");
    let request_id = cluster.propose(&leader);
    cluster.run(20);
    assert!(cluster.answered.contains_key(&request_id));
    (cluster, leader)
}

pub(crate) fn replica<'c>(cluster: &'c Cluster, name: &Name) -> &'c Replica {
    cluster.nodes[name].replica.as_ref().expect("a running replica")
}

pub(crate) fn isolate(cluster: &mut Cluster, name: &Name) {
    for other in cluster.nodes.keys().cloned().collect::<Vec<_>>() {
        cluster.blocked_links.insert((name.clone(), other.clone()));
        cluster.blocked_links.insert((other, name.clone()));
    }
}

pub(crate) fn follower(cluster: &Cluster, leader: &Name) -> Name {
    cluster.nodes.keys().find(|name| *name != leader).expect("a follower").clone()
}
