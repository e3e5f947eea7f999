//! A zone is evacuated and taken back, its workers being cold then. Two of the five front machines
//! are killed right after that and restarted after a short delay.

use std::collections::BTreeMap;
use std::fs;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::case_quarantine::{BOUNDS, ZONES};
use crate::fleet::{Fleet, Plan, WorkerPlan, Workers};
use crate::requester::{Kind, Requesters, Try};
use crate::{http, record};

/// `cold_per_s` of the service, and `cold_overage` and `cold_slack` of the bounds.
const COLD_PER_S: f64 = 7.0;
const COLD_OVERAGE: f64 = 1.5;
const COLD_SLACK: f64 = 3.0;
/// Requests a second from the region, all the time.
const PER_S: u64 = 300;
/// Time for which the workers are cold, in milliseconds.
const COLD_MS: u64 = 3_000;
/// Requests that three hosts together send to three cold workers at first.
const FIRST_REQUESTS: usize = 36;
/// Time after which the platform starts a killed process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

const CONFIGURATION: &str = "{\"version\":3,\"routes\":[\
    {\"name\":\"r-reading\",\"host\":\"app.example\",\"path_prefix\":\"/reading/\",\"kind\":\"idempotent\",\
    \"timeout_ms\":4000,\"target_latency_ms\":3000,\"priority\":0,\"service\":\"mestre\",\"attempts\":1,\
    \"home_regions\":[\"serra-norte\"]}],\
    \"services\":[{\"name\":\"mestre\",\"health_check_path\":\"/health\",\"connection_limit\":160,\
    \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":7.0}],\
    \"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

pub fn run(has_trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::new(Plan {
        zones: ZONES.to_vec(),
        entries: vec!["estrela-a", "estrela-a", "estrela-a", "viseu-b", "evora-c"],
        cores: vec!["estrela-a", "viseu-b", "evora-c"],
        bounds: BOUNDS,
        heartbeat_ms: 1_200,
    })?;
    fleet.start()?;
    fleet.configure(CONFIGURATION, Duration::from_secs(15))?;
    let mut workers = Workers::default();
    for number in 0..3 {
        let plan = WorkerPlan {
            name: format!("mestre-{number}"),
            address: fleet.worker_address(number),
            service: "mestre",
            zone: "estrela-a",
            slots: 16,
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
    let per_s = Arc::new(AtomicU64::new(PER_S));
    start_traffic(&fleet, &tries, &per_s);
    thread::sleep(Duration::from_secs(3));
    order(&fleet, "start")?;
    thread::sleep(Duration::from_secs(5));
    // The workers of the zone became cold while they got nothing.
    let cold_until_ms = record::unix_ms() + 1_500 + COLD_MS;
    fs::write(fleet.folder.join("cold"), cold_until_ms.to_string()).map_err(|it| it.to_string())?;
    record::line("the workers of zone estrela-a are cold");
    thread::sleep(Duration::from_millis(1_500));
    order(&fleet, "end")?;
    let back_ms = record::unix_ms();
    if has_trouble {
        wait_for_first_requests(&workers, back_ms);
        for index in [0, 1] {
            if let Some(mut process) = fleet.entries[index].process.take() {
                process.kill();
            }
        }
        record::line("herd_kill: entry-estrela-a-1 and entry-estrela-a-2 are killed");
        thread::sleep(RESTART_DELAY);
        for index in [0, 1] {
            fleet.start_machine("entry", index, false)?;
        }
    }
    let left_ms = cold_until_ms.saturating_sub(record::unix_ms());
    thread::sleep(Duration::from_millis(left_ms));
    per_s.store(0, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(5));

    workers.record_runs();
    let allowed = COLD_PER_S * COLD_OVERAGE + COLD_SLACK;
    let sent_ms: BTreeMap<String, u64> =
        tries.lock().unwrap().iter().map(|it| (it.id.clone(), it.sent_ms)).collect();
    let mut arrivals: BTreeMap<String, Vec<(u64, u64)>> = BTreeMap::new();
    for (at_ms, worker, words) in workers.runs() {
        let is_counted = words[0] == "got" && (back_ms..cold_until_ms).contains(&at_ms);
        if let Some(sent_ms) = sent_ms.get(&words[1]).filter(|_| is_counted) {
            arrivals.entry(worker).or_default().push((at_ms, *sent_ms));
        }
    }
    let mut is_broken = false;
    for (worker, arrivals) in &arrivals {
        let within = |from_ms: u64| {
            let span = from_ms..from_ms + 1_000;
            arrivals.iter().filter(|(at, sent)| span.contains(at) && span.contains(sent)).count()
        };
        let most = arrivals.iter().map(|(_, sent_ms)| (within(*sent_ms), *sent_ms)).max();
        let Some((most, from_ms)) = most else { continue };
        is_broken |= most as f64 > allowed;
        record::line(&format!(
            "cold worker {worker}: {} requests while it was cold, at most {most} sent and arrived \
             within one second, from {}; {allowed} are allowed",
            arrivals.len(),
            record::since_start(from_ms)
        ));
    }
    if arrivals.is_empty() {
        return Err("the cold workers got no requests".to_owned());
    }
    Ok(!is_broken)
}

/// Waits until the cold workers have got what the hosts send at first, or 300 ms.
fn wait_for_first_requests(workers: &Workers, back_ms: u64) {
    while record::unix_ms() < back_ms + 300 {
        let runs = workers.runs();
        let got = runs.iter().filter(|(at_ms, _, words)| *at_ms >= back_ms && words[0] == "got");
        if got.count() >= FIRST_REQUESTS {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// Sends an order about the zone until it is acknowledged.
fn order(fleet: &Fleet, word: &str) -> Result<(), String> {
    let target = format!("/-/evacuation/estrela-a/{word}");
    for turn in 0..30 {
        let core = &fleet.cores[turn % fleet.cores.len()];
        let mut address = format!("{}:{}", core.ip, fleet.ports.control);
        for _ in 0..3 {
            let request = http::simple("POST", &target, "");
            let deadline = Instant::now() + Duration::from_secs(2);
            let Ok(answer) = http::call(address.parse().unwrap(), &request, deadline) else { break };
            record::line(&format!("evacuation {word} sent to {address}: {}", answer.status()));
            match answer.status() {
                200 => return Ok(()),
                307 => {
                    let location = answer.header("location").unwrap_or_default();
                    let rest = location.trim_start_matches("http://");
                    address = rest.split('/').next().unwrap_or_default().to_owned();
                }
                _ => break,
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    Err(format!("evacuation {word} was not acknowledged"))
}

/// `per_s` requests a second from the region of the zone.
fn start_traffic(fleet: &Fleet, tries: &Arc<Mutex<Vec<Try>>>, per_s: &Arc<AtomicU64>) {
    let reading = Kind {
        name: "reading",
        path: "/reading/",
        is_idempotent: true,
        time_limit_ms: 4_000,
        has_prompt: false,
    };
    let directories = vec![fleet.directory(2), fleet.directory(3), fleet.directory(4)];
    let requesters = Requesters::new(directories, "serra-norte", "estrela-a", Arc::clone(tries));
    let per_s = Arc::clone(per_s);
    thread::spawn(move || {
        loop {
            let per_s = per_s.load(Ordering::Relaxed);
            if per_s == 0 {
                return;
            }
            requesters.send(&reading);
            thread::sleep(Duration::from_micros(1_000_000 / per_s));
        }
    });
}
