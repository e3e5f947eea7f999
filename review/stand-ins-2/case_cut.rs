//! One of two front machines of a region is partitioned from all workers for 9 s, while
//! requesters and the other machines still reach it.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::case_quarantine::BOUNDS;
use crate::fleet::{Fleet, Plan, WorkerPlan, Workers};
use crate::record;
use crate::requester::{Kind, Requesters, Try};

const ZONES: [(&str, &str); 3] =
    [("estrela-a", "serra-norte"), ("estrela-b", "serra-norte"), ("viseu-b", "beira-centro")];
/// `connectivity_window_ms` of the bounds.
const WINDOW_MS: u64 = 5_000;
const CUT_MS: u64 = 9_000;

const CONFIGURATION: &str = "{\"version\":3,\"routes\":[\
    {\"name\":\"r-dossier\",\"host\":\"app.example\",\"path_prefix\":\"/dossier/\",\"kind\":\"streaming\",\
    \"timeout_ms\":4000,\"target_latency_ms\":600,\"priority\":0,\"service\":\"mestre\",\"attempts\":2,\
    \"session_affinity\":true,\"resumable\":true,\"gap_target_ms\":300,\"home_regions\":[\"serra-norte\"]},\
    {\"name\":\"r-reading\",\"host\":\"app.example\",\"path_prefix\":\"/reading/\",\"kind\":\"idempotent\",\
    \"timeout_ms\":4000,\"target_latency_ms\":400,\"priority\":2,\"service\":\"mestre\",\"attempts\":2,\
    \"home_regions\":[]}],\
    \"services\":[{\"name\":\"mestre\",\"health_check_path\":\"/health\",\"connection_limit\":160,\
    \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\
    \"engine\":{\"slots\":16,\"kv_capacity_tokens\":340536}}],\
    \"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

pub fn run(has_trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::new(Plan {
        zones: ZONES.to_vec(),
        entries: vec!["estrela-a", "estrela-b", "viseu-b"],
        cores: vec!["estrela-a", "estrela-b", "viseu-b"],
        bounds: BOUNDS,
        heartbeat_ms: 1_200,
    })?;
    fleet.start()?;
    fleet.configure(CONFIGURATION, Duration::from_secs(15))?;
    let mut workers = Workers::default();
    let zones = [["estrela-a"; 4], ["estrela-b"; 4], ["viseu-b"; 4]].concat();
    for (number, zone) in zones.into_iter().enumerate() {
        let plan = WorkerPlan {
            name: format!("mestre-{number}"),
            address: fleet.worker_address(number),
            service: "mestre",
            zone,
            slots: 16,
            cold_ms: 0,
            first_ms: 60,
            events: 4,
            gap_ms: 40,
            ..WorkerPlan::default()
        };
        workers.start(&fleet, &plan, 1)?;
    }
    fleet.wait_until_ready(Duration::from_secs(10))?;
    thread::sleep(Duration::from_secs(6));

    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let ends = Arc::new(AtomicBool::new(false));
    start_traffic(&fleet, &tries, &ends);
    thread::sleep(Duration::from_secs(10));
    let cut_pid = fleet.entries[0].process.as_ref().map_or(0, |process| process.pid());
    let cut_file = fleet.folder.join("cut");
    if has_trouble {
        fs::write(&cut_file, cut_pid.to_string()).map_err(|error| error.to_string())?;
        record::line("the front machine entry-estrela-a-1 is partitioned from all workers, for 9 s");
    }
    let began_ms = record::unix_ms();
    thread::sleep(Duration::from_millis(CUT_MS));
    let ended_ms = record::unix_ms();
    fs::remove_file(&cut_file).ok();
    record::line("the cut is over");
    thread::sleep(Duration::from_secs(5));
    ends.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(4));

    workers.record_runs();
    let cut_address = fleet.front(0);
    let tries = tries.lock().unwrap();
    let counted = |it: &&Try| {
        it.is_first && it.sent_ms >= began_ms + WINDOW_MS && it.sent_ms < ended_ms - 500
    };
    let mut counts: BTreeMap<SocketAddr, (u32, u32)> = BTreeMap::new();
    for it in tries.iter().filter(counted) {
        let (all, served) = counts.entry(it.address).or_default();
        *all += 1;
        *served += u32::from(it.is_served);
    }
    for kind in ["dossier", "reading"] {
        let of_kind = tries.iter().filter(counted).filter(|it| it.kind == kind && it.address == cut_address);
        let (all, served) = of_kind.fold((0, 0), |(all, served), it| (all + 1, served + u32::from(it.is_served)));
        record::line(&format!("at the machine that is cut off, on the route of {kind}: {all} first tries, {served} served"));
    }
    let mut others = (0, 0);
    let mut at_cut = (0, 0);
    for (address, (all, served)) in &counts {
        record::line(&format!(
            "from 5 s after the cut to its end: {all} first tries at {address}, {served} served"
        ));
        let sum = if *address == cut_address { &mut at_cut } else { &mut others };
        sum.0 += all;
        sum.1 += served;
    }
    if others.0 < 20 {
        return Err("fewer than 20 first tries at the other machines".to_owned());
    }
    let share = |(all, served): (u32, u32)| f64::from(served) / f64::from(all.max(1));
    let failed = at_cut.0 - at_cut.1;
    let allowed = 10.0 + f64::from(at_cut.0 + others.0) / 50.0;
    let is_broken = at_cut.0 > 0
        && share(at_cut) < share(others) * 2.0 / 3.0
        && f64::from(failed) > allowed;
    Ok(!is_broken)
}

/// 20 requests a second from the region with the cut, half of them on each route.
fn start_traffic(fleet: &Fleet, tries: &Arc<Mutex<Vec<Try>>>, ends: &Arc<AtomicBool>) {
    let dossier = Kind {
        name: "dossier",
        path: "/dossier/",
        is_idempotent: true,
        time_limit_ms: 4_000,
        has_prompt: true,
    };
    let reading = Kind {
        name: "reading",
        path: "/reading/",
        is_idempotent: true,
        time_limit_ms: 4_000,
        has_prompt: false,
    };
    let all: Vec<_> = (0..fleet.entries.len()).map(|index| fleet.directory(index)).collect();
    let near = [vec![all[0], all[1], all[2]], vec![all[1], all[0], all[2]]];
    let requesters: Vec<_> = ZONES
        .iter()
        .zip(near)
        .map(|((zone, region), near)| Requesters::new(near, region, zone, Arc::clone(tries)))
        .collect();
    let ends = Arc::clone(ends);
    thread::spawn(move || {
        let mut turn = 0_usize;
        while !ends.load(Ordering::Relaxed) {
            let kind = if turn / 2 % 2 == 1 { &reading } else { &dossier };
            requesters[turn % requesters.len()].send(kind);
            turn += 1;
            thread::sleep(Duration::from_millis(50));
        }
    });
}
