//! Groups that work, and what is done to them.

use anvillift_consensus::Replica;
use anvillift_schema::name::Name;

use crate::harness::Cluster;

/// A group with a leader that has committed a command.
pub(crate) fn working(size: usize, seed: u64) -> (Cluster, Name) {
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
        cluster.cut.insert((name.clone(), other.clone()));
        cluster.cut.insert((other, name.clone()));
    }
}

pub(crate) fn follower(cluster: &Cluster, leader: &Name) -> Name {
    cluster.nodes.keys().find(|name| *name != leader).expect("a follower").clone()
}
