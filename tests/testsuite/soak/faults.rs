//! The seeded schedule of faults.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::time::{self, Instant};

use crate::support::cluster::Cluster;
use crate::support::wait;

/// Faults of one round, which hold together.
const MAX_FAULTS_A_ROUND: usize = 2;
const MIN_HOLD_MS: u64 = 500;
const MAX_HOLD_MS: u64 = 4_000;
const MAX_PAUSE_MS: u64 = 1_500;
const REGIONS: [&str; 3] = ["oriente", "costa-sur", "altiplano"];

/// What can befall the system.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Fault {
    /// A process is killed.
    Kill,
    /// A process is stopped and runs on later.
    Freeze,
    /// One direction between two hosts is cut.
    CutOneWay,
    /// A host is cut off from all others.
    CutHost,
    /// A region is cut off from the others.
    CutRegion,
    /// A control host loses its disk, which is replaced.
    Wipe,
    /// A planned stop, and a new start.
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

/// Brings about faults until `end`; gives how often each came.
pub(super) async fn run(cluster: &mut Cluster, seed: u64, end: Instant) -> BTreeMap<Fault, usize> {
    let mut draws = SmallRng::seed_from_u64(seed);
    let mut counts = BTreeMap::new();
    while Instant::now() < end {
        let mut struck = BTreeSet::new();
        for _ in 0..draws.random_range(1..=MAX_FAULTS_A_ROUND) {
            let fault = *FAULTS.choose(&mut draws).expect("a fault");
            // Two disks lost at once are beyond what three voters can bear.
            if fault == Fault::Wipe && struck.iter().any(|(_, other)| *other == Fault::Wipe) {
                continue;
            }
            strike(cluster, fault, &mut draws, &mut struck);
            *counts.entry(fault).or_insert(0) += 1;
        }
        time::sleep(Duration::from_millis(draws.random_range(MIN_HOLD_MS..MAX_HOLD_MS))).await;
        recover(cluster, &struck).await;
        time::sleep(Duration::from_millis(draws.random_range(0..MAX_PAUSE_MS))).await;
    }
    counts
}

/// A host that a round has struck, and how.
type Struck = BTreeSet<(String, Fault)>;

fn strike(cluster: &mut Cluster, fault: Fault, draws: &mut SmallRng, struck: &mut Struck) {
    let free: Vec<String> = cluster
        .hosts
        .values()
        .filter(|host| fault != Fault::Wipe || host.place.has_disk)
        .map(|host| host.place.host.clone())
        .filter(|host| struck.iter().all(|(other, _)| other != host))
        .collect();
    let host = free.choose(draws).expect("a host").clone();
    match fault {
        Fault::Kill => cluster.kill(&host),
        Fault::Freeze => cluster.freeze(&host),
        Fault::Wipe => cluster.wipe(&host),
        Fault::Restart => cluster.terminate(&host),
        Fault::CutHost => cluster.isolate(&host),
        Fault::CutRegion => cluster.isolate_region(REGIONS.choose(draws).expect("a region")),
        Fault::CutOneWay => {
            let other = free.iter().find(|other| **other != host).expect("another host");
            cluster.cut(&host, other);
        }
    }
    struck.insert((host, fault));
}

async fn recover(cluster: &mut Cluster, struck: &Struck) {
    cluster.heal();
    for (host, fault) in struck {
        match fault {
            Fault::Freeze => cluster.thaw(host),
            Fault::Restart => {
                let code = cluster.ended(host).await;
                assert_eq!(code, Some(0), "{host}: {}", cluster.log(host));
            }
            _ => {}
        }
    }
    cluster.start_all();
    for (host, _) in struck.iter().filter(|(_, fault)| *fault == Fault::Wipe) {
        replace(cluster, host).await;
    }
}

/// Replaces a lost disk before anything else happens.
async fn replace(cluster: &Cluster, host: &str) {
    let other =
        cluster.hosts.values().find(|other| other.place.has_disk && other.place.host != host);
    let other = other.expect("another control host").place.host.clone();
    wait::until(&format!("the new disk of {host} votes"), async || {
        let run = cluster.operate(&other, &["control", "replace", host]);
        if run.code != 0 {
            eprintln!("{other} on replacing {host}: {}", run.stderr.trim());
        }
        run.code == 0
    })
    .await;
}

/// Ends every fault, and waits until all hosts serve again.
pub(super) async fn mend(cluster: &mut Cluster) {
    cluster.heal();
    cluster.start_all();
    cluster.settled().await;
}
