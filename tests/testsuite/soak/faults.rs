//! Injects faults by a schedule that the seed determines.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::time::{self, Instant};

use crate::support::cluster::Cluster;
use crate::support::wait;

/// Maximum number of faults in one round; the faults of a round are in effect at the same time.
const MAX_FAULTS_PER_ROUND: usize = 2;
const MIN_FAULT_MS: u64 = 500;
const MAX_FAULT_MS: u64 = 4_000;
const MAX_PAUSE_MS: u64 = 1_500;
const REGIONS: [&str; 3] = ["oriente", "costa-sur", "altiplano"];

/// A kind of fault.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Fault {
    /// The process of a host is killed.
    Kill,
    /// The process of a host is suspended and resumed later.
    Freeze,
    /// The connection in one direction between two hosts is cut.
    CutOneWay,
    /// A host is cut off from all others.
    CutHost,
    /// A region is cut off from the others.
    CutRegion,
    /// A control host is killed and loses its data. Its voter is then replaced.
    Wipe,
    /// A host is stopped in a planned way and started again.
    Restart,
}

const FAULTS: [Fault; 7] = [
    Fault::Kill,
    Fault::Freeze,
    Fault::CutOneWay,
    Fault::CutHost,
    Fault::CutRegion,
    Fault::Wipe,
    Fault::Restart,
];

/// Injects faults until `end`, and returns how often each kind was injected. Each round of
/// faults ends before the next one starts.
pub(super) async fn run(cluster: &mut Cluster, seed: u64, end: Instant) -> BTreeMap<Fault, usize> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut counts = BTreeMap::new();
    while Instant::now() < end {
        let mut affected = BTreeSet::new();
        for _ in 0..rng.random_range(1..=MAX_FAULTS_PER_ROUND) {
            let fault = *FAULTS.choose(&mut rng).expect("a fault");
            // A group of three voters tolerates the loss of only one disk at a time.
            if fault == Fault::Wipe && affected.iter().any(|(_, other)| *other == Fault::Wipe) {
                continue;
            }
            inject(cluster, fault, &mut rng, &mut affected);
            *counts.entry(fault).or_insert(0) += 1;
        }
        time::sleep(Duration::from_millis(rng.random_range(MIN_FAULT_MS..MAX_FAULT_MS))).await;
        recover(cluster, &affected).await;
        time::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
    }
    counts
}

/// The hosts that a round of faults affects, each with its fault.
type AffectedHosts = BTreeSet<(String, Fault)>;

fn inject(cluster: &mut Cluster, fault: Fault, rng: &mut SmallRng, affected: &mut AffectedHosts) {
    let unaffected: Vec<String> = cluster
        .hosts
        .values()
        .filter(|host| fault != Fault::Wipe || host.layout.has_disk)
        .map(|host| host.layout.host.clone())
        .filter(|host| affected.iter().all(|(other, _)| other != host))
        .collect();
    let host = unaffected.choose(rng).expect("a host").clone();
    match fault {
        Fault::Kill => cluster.kill(&host),
        Fault::Freeze => cluster.freeze(&host),
        Fault::Wipe => cluster.wipe(&host),
        Fault::Restart => cluster.terminate(&host),
        Fault::CutHost => cluster.isolate(&host),
        Fault::CutRegion => cluster.isolate_region(REGIONS.choose(rng).expect("a region")),
        Fault::CutOneWay => {
            let other = unaffected.iter().find(|other| **other != host).expect("another host");
            cluster.cut(&host, other);
        }
    }
    affected.insert((host, fault));
}

async fn recover(cluster: &mut Cluster, affected: &AffectedHosts) {
    cluster.heal();
    for (host, fault) in affected {
        match fault {
            Fault::Freeze => cluster.thaw(host),
            Fault::Restart => {
                let code = cluster.wait_for_exit(host).await;
                assert_eq!(code, Some(0), "{host}: {}", cluster.log(host));
            }
            _ => {}
        }
    }
    cluster.start_all();
    for (host, _) in affected.iter().filter(|(_, fault)| *fault == Fault::Wipe) {
        replace_voter(cluster, host).await;
    }
}

/// Replaces the voter of a host that lost its disk, before the next fault can disable another
/// voter.
async fn replace_voter(cluster: &Cluster, host: &str) {
    let other =
        cluster.hosts.values().find(|other| other.layout.has_disk && other.layout.host != host);
    let other = other.expect("another control host").layout.host.clone();
    wait::until(&format!("the voter of {host} is replaced"), async || {
        let run = cluster.run_as_operator(&other, &["control", "replace", host]);
        if run.code != 0 {
            eprintln!(
                "replacing the voter of {host} through {other} failed: {}",
                run.stderr.trim()
            );
        }
        run.code == 0
    })
    .await;
}

/// Ends all faults, and waits until all hosts are ready and connected.
pub(super) async fn repair(cluster: &mut Cluster) {
    cluster.heal();
    cluster.start_all();
    cluster.wait_until_connected().await;
}
