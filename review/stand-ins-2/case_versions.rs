//! The workers of a service crash one after the other and start again under their ids, with
//! another version of their software. Their first status reports come after one interval.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::case_quarantine::{BOUNDS, ZONES};
use crate::fleet::{Fleet, Plan, WorkerPlan, Workers};
use crate::record;
use crate::requester::{Kind, Requesters, Try};

/// Time for which a worker is down, and then until its first report, which is one interval of
/// reports, in milliseconds.
const DOWN_MS: u64 = 400;
const LATE_MS: u64 = 1_200;
/// Time from one crash to the next.
const GAP_MS: u64 = 1_000;
/// Streams that may hold events of two versions.
const ALLOWED: usize = 2;

const CONFIGURATION: &str = "{\"version\":3,\"routes\":[\
    {\"name\":\"r-dossier\",\"host\":\"app.example\",\"path_prefix\":\"/dossier/\",\"kind\":\"streaming\",\
    \"timeout_ms\":8000,\"target_latency_ms\":800,\"priority\":0,\"service\":\"mestre\",\"attempts\":2,\
    \"session_affinity\":true,\"resumable\":true,\"gap_target_ms\":300,\"home_regions\":[\"serra-norte\"]}],\
    \"services\":[{\"name\":\"mestre\",\"health_check_path\":\"/health\",\"connection_limit\":160,\
    \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\
    \"engine\":{\"slots\":16,\"kv_capacity_tokens\":340536}}],\
    \"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

pub fn run(has_trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::new(Plan {
        zones: ZONES.to_vec(),
        entries: vec!["estrela-a", "estrela-a", "estrela-a", "viseu-b"],
        cores: vec!["estrela-a", "viseu-b", "evora-c"],
        bounds: BOUNDS,
        heartbeat_ms: 1_200,
    })?;
    fleet.start()?;
    fleet.configure(CONFIGURATION, Duration::from_secs(15))?;
    let mut workers = Workers::default();
    let mut plans = Vec::new();
    for number in 0..4 {
        let plan = WorkerPlan {
            name: format!("mestre-{number}"),
            address: fleet.worker_address(number),
            first_ms: 200,
            events: 10,
            gap_ms: 250,
            keeps_id: true,
            ..WorkerPlan::default()
        };
        workers.start(&fleet, &plan, 1)?;
        plans.push(plan);
    }
    fleet.wait_until_ready(Duration::from_secs(10))?;
    thread::sleep(Duration::from_secs(6));

    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let ends = Arc::new(AtomicBool::new(false));
    start_traffic(&fleet, &tries, &ends);
    thread::sleep(Duration::from_secs(8));
    for round in 0..3 {
        let version = if has_trouble { ["v2", "v3", "v4"][round as usize] } else { "v1" };
        record::line(&format!("the workers crash one after the other and come back with {version}"));
        for plan in &plans {
            workers.kill(&plan.name);
            thread::sleep(Duration::from_millis(DOWN_MS));
            let again = WorkerPlan { version, late_ms: LATE_MS, ..plan.clone() };
            workers.start(&fleet, &again, round + 2)?;
            thread::sleep(Duration::from_millis(GAP_MS - DOWN_MS));
        }
        thread::sleep(Duration::from_secs(9));
    }
    ends.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(9));

    workers.record_runs();
    let tries = tries.lock().unwrap();
    let mut mixed = 0;
    for it in tries.iter() {
        let mut versions: Vec<&str> = it
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: ")?.split(' ').next())
            .collect();
        versions.dedup();
        if versions.len() > 1 {
            mixed += 1;
            record::line(&format!(
                "stream {} sent at {} holds events of {}",
                it.id,
                record::since_start(it.sent_ms),
                versions.join(" then ")
            ));
        }
    }
    record::line(&format!("{mixed} of {} streams hold events of two versions", tries.len()));
    Ok(mixed <= ALLOWED)
}

/// 4 streams a second from the region of the workers.
fn start_traffic(fleet: &Fleet, tries: &Arc<Mutex<Vec<Try>>>, ends: &Arc<AtomicBool>) {
    let dossier = Kind {
        name: "dossier",
        path: "/dossier/",
        is_idempotent: false,
        time_limit_ms: 8_000,
        has_prompt: true,
    };
    let directories = vec![fleet.directory(0), fleet.directory(1), fleet.directory(2)];
    let requesters = Requesters::new(directories, "serra-norte", "estrela-a", Arc::clone(tries));
    let ends = Arc::clone(ends);
    thread::spawn(move || {
        while !ends.load(Ordering::Relaxed) {
            requesters.send(&dossier);
            thread::sleep(Duration::from_millis(250));
        }
    });
}
