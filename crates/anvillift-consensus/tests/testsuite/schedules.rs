//! Random schedules of requests and faults. The harness checks the invariants
//! after each step, and proptest shrinks a schedule that violates one.

use std::env;

use anvillift_consensus::ReplicaSettings;
use proptest::prelude::*;

use crate::harness::{Cluster, host};

#[derive(Clone, Debug)]
enum Step {
    Run { ticks: u32, loss_percent: u32 },
    Propose { node: usize },
    ProposeToLeader,
    Read,
    Crash { node: usize, after_effects: u32 },
    Start { node: usize },
    Wipe { node: usize },
    Damage { node: usize, kept: usize },
    Repair,
    Pause { node: usize },
    Resume,
    BlockLink { from: usize, to: usize },
    Isolate { node: usize },
    UnblockLinks,
    Compact { node: usize },
    Transfer,
}

const NODES: usize = 5;

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        8 => (1u32..30, prop_oneof![Just(0u32), Just(5), Just(40)])
            .prop_map(|(ticks, loss_percent)| Step::Run { ticks, loss_percent }),
        2 => node.clone().prop_map(|node| Step::Propose { node }),
        6 => Just(Step::ProposeToLeader),
        2 => Just(Step::Read),
        2 => (node.clone(), 0u32..12)
            .prop_map(|(node, after_effects)| Step::Crash { node, after_effects }),
        3 => node.clone().prop_map(|node| Step::Start { node }),
        2 => node.clone().prop_map(|node| Step::Wipe { node }),
        1 => (node.clone(), 0usize..6).prop_map(|(node, kept)| Step::Damage { node, kept }),
        2 => Just(Step::Repair),
        2 => node.clone().prop_map(|node| Step::Pause { node }),
        2 => Just(Step::Resume),
        1 => (node.clone(), node.clone()).prop_map(|(from, to)| Step::BlockLink { from, to }),
        1 => node.clone().prop_map(|node| Step::Isolate { node }),
        2 => Just(Step::UnblockLinks),
        2 => node.prop_map(|node| Step::Compact { node }),
        1 => Just(Step::Transfer),
    ]
}

fn perform(cluster: &mut Cluster, size: usize, step: &Step) {
    let pick = |node: &usize| host(node % size);
    match step {
        Step::Run { ticks, loss_percent } => {
            cluster.loss_percent = *loss_percent;
            cluster.run(*ticks);
        }
        Step::Propose { node } => {
            cluster.propose(&pick(node));
        }
        Step::ProposeToLeader => {
            if let Some(leader) = cluster.leader() {
                cluster.propose(&leader);
            }
        }
        Step::Read => {
            if let Some(leader) = cluster.leader() {
                cluster.read(&leader);
            }
        }
        Step::Crash { node, after_effects } => {
            cluster.nodes.get_mut(&pick(node)).unwrap().crash_after_effects = Some(*after_effects);
        }
        Step::Start { node } => cluster.start(&pick(node)),
        Step::Wipe { node } => {
            if cluster.is_fully_replicated() {
                cluster.wipe(&pick(node));
            }
        }
        Step::Damage { node, kept } => {
            if cluster.is_fully_replicated() {
                cluster.damage(&pick(node), *kept);
            }
        }
        Step::Repair => cluster.repair(),
        Step::Pause { node } => {
            cluster.paused.insert(pick(node));
        }
        Step::Resume => cluster.paused.clear(),
        Step::BlockLink { from, to } => {
            cluster.blocked_links.insert((pick(from), pick(to)));
        }
        Step::Isolate { node } => isolate(cluster, size, *node),
        Step::UnblockLinks => cluster.blocked_links.clear(),
        Step::Compact { node } => cluster.compact(&pick(node)),
        Step::Transfer => {
            if let Some(leader) = cluster.leader() {
                cluster.call(&leader, |replica, now_ms| replica.transfer_leadership(now_ms));
            }
        }
    }
}

fn isolate(cluster: &mut Cluster, size: usize, node: usize) {
    for other in (0..size).filter(|other| *other != node % size) {
        cluster.blocked_links.insert((host(node % size), host(other)));
        cluster.blocked_links.insert((host(other), host(node % size)));
    }
}

/// Ends all faults and checks that the group recovers: it must commit a command
/// and have all nodes as voters.
fn recover(cluster: &mut Cluster, size: usize) {
    cluster.blocked_links.clear();
    cluster.paused.clear();
    cluster.loss_percent = 0;
    for _ in 0..60 {
        for node in 0..size {
            cluster.nodes.get_mut(&host(node)).unwrap().crash_after_effects = None;
            cluster.start(&host(node));
        }
        cluster.run(10);
        cluster.repair();
        if let Some(leader) = cluster.leader() {
            let request_id = cluster.propose(&leader);
            cluster.run(20);
            if cluster.answered.contains_key(&request_id) && cluster.is_fully_replicated() {
                return;
            }
        }
    }
    panic!("the group did not recover");
}

fn run_schedule(
    size: usize,
    seed: u64,
    configure: impl FnOnce(&mut ReplicaSettings),
    steps: &[Step],
) {
    let mut cluster = Cluster::new(size, seed);
    configure(&mut cluster.settings);
    for step in steps {
        perform(&mut cluster, size, step);
    }
    recover(&mut cluster, size);
}

/// Number of schedules that each test runs, unless `PROPTEST_CASES` is set.
const SCHEDULES: u32 = 1_000;

fn config() -> ProptestConfig {
    let default = ProptestConfig { failure_persistence: None, ..ProptestConfig::default() };
    let is_set = env::var_os("PROPTEST_CASES").is_some();
    ProptestConfig { cases: if is_set { default.cases } else { SCHEDULES }, ..default }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn three_replicas_keep_the_invariants(
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..60),
    ) {
        run_schedule(3, seed, |_| (), &steps);
    }

    #[test]
    fn five_replicas_keep_the_invariants(
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..60),
    ) {
        run_schedule(5, seed, |_| (), &steps);
    }

    #[test]
    fn restarted_in_memory_replicas_are_replaced_automatically(
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..60),
    ) {
        run_schedule(3, seed, |settings| settings.replace_restarted_hosts = true, &steps);
    }

    #[test]
    fn replicas_without_a_lease_keep_the_invariants(
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let configure = |settings: &mut ReplicaSettings| {
            settings.lease_reads = false;
            settings.election_step_ms = 100;
        };
        run_schedule(3, seed, configure, &steps);
    }
}
