//! All workers of a zone crash together, and are back after 4.5 s. Then, right after a
//! configuration was acknowledged, all processes of the system are killed and restarted.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::fleet::{Fleet, Plan, WorkerPlan, Workers};
use crate::record;
use crate::requester::{Kind, Requesters, Try};

pub const BOUNDS: &str = "{\"seed_lag_s\":3,\"reuse_after_s\":2,\"connectivity_window_ms\":5000,\
    \"ack_timeout_ms\":6000,\"catch_up_s\":4,\"drain_ms\":3000,\"grace_s\":8,\"loss_slack_ms\":200,\
    \"configuration_apply_ms\":3000,\"rollback_slack_ms\":250,\"outer_bound_ms\":8000,\
    \"retry_budget_ratio\":0.2,\"budget_window_s\":10,\"budget_slack\":52,\"cold_overage\":1.5,\
    \"cold_slack\":3,\"evacuation_ms\":5000,\"recovery_s\":12,\"pass_ms\":600,\"reuse_window_s\":10,\
    \"ttl_max_s\":5}";
pub const ZONES: [(&str, &str); 3] =
    [("estrela-a", "serra-norte"), ("viseu-b", "beira-centro"), ("evora-c", "alentejo-sul")];
/// `recovery_s` of the bounds.
const RECOVERY_MS: u64 = 12_000;
/// Time after it for which requests are counted.
const COUNTED_MS: u64 = 15_000;

fn configuration(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-dossier\",\"host\":\"app.example\",\"path_prefix\":\"/dossier/\",\"kind\":\"streaming\",\
         \"timeout_ms\":4000,\"target_latency_ms\":600,\"priority\":0,\"service\":\"mestre\",\"attempts\":1,\
         \"session_affinity\":true,\"resumable\":false,\"gap_target_ms\":300,\"home_regions\":[\"serra-norte\"]}},\
         {{\"name\":\"r-dosing\",\"host\":\"app.example\",\"path_prefix\":\"/dosing/\",\"kind\":\"non_idempotent\",\
         \"timeout_ms\":{},\"target_latency_ms\":400,\"priority\":2,\"service\":\"registo\",\"attempts\":1,\
         \"home_regions\":[]}}],\
         \"services\":[{{\"name\":\"mestre\",\"health_check_path\":\"/health\",\"connection_limit\":160,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":7.0,\
         \"engine\":{{\"slots\":16,\"kv_capacity_tokens\":340536}}}},\
         {{\"name\":\"registo\",\"health_check_path\":\"/health\",\"connection_limit\":96,\"protocol\":\"h1\",\
         \"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        4000 + version
    )
}

pub fn run(has_trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::new(Plan {
        zones: ZONES.to_vec(),
        entries: vec!["estrela-a", "estrela-a", "viseu-b", "evora-c"],
        cores: vec!["estrela-a", "viseu-b", "evora-c"],
        bounds: BOUNDS,
        heartbeat_ms: 1_200,
    })?;
    fleet.start()?;
    fleet.configure(&configuration(3), Duration::from_secs(15))?;
    let mut workers = Workers::default();
    let mut plans = Vec::new();
    for number in 0..8 {
        let plan = WorkerPlan {
            name: format!("mestre-{number}"),
            address: fleet.worker_address(number),
            service: "mestre",
            zone: "estrela-a",
            slots: 16,
            cold_ms: 0,
            first_ms: 250,
            events: 6,
            gap_ms: 150,
            ..WorkerPlan::default()
        };
        workers.start(&fleet, &plan, 1)?;
        plans.push(plan);
    }
    for (number, (zone, _)) in ZONES.iter().enumerate() {
        let plan = WorkerPlan {
            name: format!("registo-{number}"),
            address: fleet.worker_address(20 + number),
            service: "registo",
            zone,
            slots: 6,
            cold_ms: 0,
            first_ms: 30,
            events: 0,
            gap_ms: 0,
            ..WorkerPlan::default()
        };
        workers.start(&fleet, &plan, 1)?;
    }
    fleet.wait_until_ready(Duration::from_secs(10))?;
    thread::sleep(Duration::from_secs(6));

    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let ends = Arc::new(AtomicBool::new(false));
    start_traffic(&fleet, &tries, &ends);
    let began_ms = record::unix_ms();
    thread::sleep(Duration::from_secs(10));
    if has_trouble {
        record::line("cold_return: all 8 workers of zone estrela-a crash, for 4.5 s");
        for plan in &plans {
            workers.kill(&plan.name);
        }
        thread::sleep(Duration::from_millis(4_500));
        for plan in &plans {
            workers.start(&fleet, &WorkerPlan { cold_ms: 3_000, ..plan.clone() }, 2)?;
        }
    } else {
        thread::sleep(Duration::from_millis(4_500));
    }
    thread::sleep(Duration::from_secs(3));
    fleet.configure(&configuration(4), Duration::from_secs(6))?;
    let fault_ms = record::unix_ms();
    record::line("final fault kill_all, right after the configuration was acknowledged");
    fleet.kill_all();
    thread::sleep(Duration::from_millis(900));
    fleet.start_all(false)?;
    let back_ms = record::unix_ms();
    thread::sleep(Duration::from_millis(RECOVERY_MS + COUNTED_MS));
    ends.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(5_000));

    workers.record_runs();
    let tries = tries.lock().unwrap();
    let share = |from_ms: u64, to_ms: u64| {
        let counted: Vec<&Try> =
            tries.iter().filter(|it| (from_ms..to_ms).contains(&it.sent_ms)).collect();
        let served = counted.iter().filter(|it| it.is_served).count();
        record::line(&format!(
            "from {} to {}: {} requests, {served} served",
            record::since_start(from_ms),
            record::since_start(to_ms),
            counted.len()
        ));
        served as f64 / counted.len().max(1) as f64
    };
    let before = share(began_ms, fault_ms);
    let after = share(back_ms + RECOVERY_MS, back_ms + RECOVERY_MS + COUNTED_MS);
    for kind in ["dossier", "dosing"] {
        let after = tries.iter().filter(|it| it.kind == kind && it.sent_ms >= back_ms + RECOVERY_MS);
        let (all, served) = after.fold((0, 0), |(all, served), it| (all + 1, served + u32::from(it.is_served)));
        record::line(&format!("{kind} later than recovery_s: {all} requests, {served} served"));
    }
    for machine in fleet.cores.iter().chain(&fleet.entries) {
        for line in fleet.log_lines(machine, "\"event\":2718").iter().take(2) {
            record::line(&format!("log of {}: {line}", machine.name));
        }
    }
    if before < 0.25 {
        return Err(format!("only {before:.2} were served before the final fault"));
    }
    Ok(after >= 0.25)
}

/// 30 streams and 7 calls a second, from all three regions.
fn start_traffic(fleet: &Fleet, tries: &Arc<Mutex<Vec<Try>>>, ends: &Arc<AtomicBool>) {
    let dossier = Kind {
        name: "dossier",
        path: "/dossier/",
        is_idempotent: false,
        time_limit_ms: 4_000,
        has_prompt: true,
    };
    let dosing = Kind {
        name: "dosing",
        path: "/dosing/",
        is_idempotent: false,
        time_limit_ms: 4_000,
        has_prompt: false,
    };
    let all: Vec<_> = (0..fleet.entries.len()).map(|index| fleet.directory(index)).collect();
    let near = [vec![all[0], all[1], all[2]], vec![all[2], all[0], all[3]], vec![all[3], all[1], all[2]]];
    let requesters: Vec<_> = ZONES
        .iter()
        .zip(near)
        .map(|((zone, region), near)| Requesters::new(near, region, zone, Arc::clone(tries)))
        .collect();
    let ends = Arc::clone(ends);
    thread::spawn(move || {
        let mut turn = 0_usize;
        while !ends.load(Ordering::Relaxed) {
            let kind = if turn % 5 == 4 { &dosing } else { &dossier };
            requesters[turn % requesters.len()].send(kind);
            turn += 1;
            thread::sleep(Duration::from_millis(27));
        }
    });
}
