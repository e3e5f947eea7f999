//! A configuration moves a route to another service and no longer lists the first one. A worker of
//! the first service says that it leaves, and is acknowledged. The next configuration moves the
//! route back.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::case_quarantine::{BOUNDS, ZONES};
use crate::fleet::{Fleet, Plan, WorkerPlan, Workers};
use crate::requester::{Kind, Requesters, Try};
use crate::{http, record};

/// `drain_ms` of the bounds.
const DRAIN_MS: u64 = 3_000;

fn configuration(version: u64, service: &str, services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_check_path\":\"/health\",\"connection_limit\":96,\
                 \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-reading\",\"host\":\"app.example\",\"path_prefix\":\"/reading/\",\"kind\":\"idempotent\",\
         \"timeout_ms\":4000,\"target_latency_ms\":400,\"priority\":0,\"service\":\"{service}\",\"attempts\":2,\
         \"home_regions\":[]}}],\
         \"services\":[{}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        services.join(",")
    )
}

pub fn run(has_trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::new(Plan {
        zones: ZONES.to_vec(),
        entries: vec!["estrela-a", "estrela-a"],
        cores: vec!["estrela-a", "viseu-b", "evora-c"],
        bounds: BOUNDS,
        heartbeat_ms: 1_200,
    })?;
    fleet.start()?;
    let both = ["registo-a", "registo-b"];
    fleet.configure(&configuration(3, "registo-a", &both), Duration::from_secs(15))?;
    let mut workers = Workers::default();
    for (number, service) in ["registo-a", "registo-a", "registo-b"].into_iter().enumerate() {
        let plan = WorkerPlan {
            name: format!("{service}-{number}"),
            address: fleet.worker_address(number),
            service,
            ..WorkerPlan::default()
        };
        workers.start(&fleet, &plan, 1)?;
    }
    fleet.wait_until_ready(Duration::from_secs(10))?;
    thread::sleep(Duration::from_secs(6));

    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let ends = Arc::new(AtomicBool::new(false));
    start_traffic(&fleet, &tries, &ends);
    thread::sleep(Duration::from_secs(3));
    // Without the disruption the service is still listed while no route goes to it.
    let listed = if has_trouble { &both[1..] } else { &both[..] };
    fleet.configure(&configuration(4, "registo-b", listed), Duration::from_secs(6))?;
    thread::sleep(Duration::from_secs(2));
    // It sends no more reports, and goes on serving, as one that never reports `draining`.
    std::fs::write(fleet.folder.join("leaving"), "registo-a-0-1").map_err(|it| it.to_string())?;
    let left_ms = leave(&fleet, "registo-a-0-1")?;
    thread::sleep(Duration::from_secs(1));
    fleet.configure(&configuration(5, "registo-a", &both), Duration::from_secs(6))?;
    thread::sleep(Duration::from_secs(5));
    workers.kill("registo-a-0");
    record::line("the worker that leaves has exited");
    thread::sleep(Duration::from_secs(3));
    ends.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(4));

    workers.record_runs();
    let late: Vec<u64> = workers
        .runs()
        .into_iter()
        .filter(|(at_ms, worker, words)| {
            worker == "registo-a-0" && words[0] == "got" && *at_ms > left_ms + DRAIN_MS
        })
        .map(|(at_ms, ..)| at_ms)
        .collect();
    record::line(&format!(
        "{} requests reached the worker later than drain_ms after its leave was acknowledged, the last {} ms after",
        late.len(),
        late.last().map_or(0, |at_ms| at_ms - left_ms)
    ));
    Ok(late.is_empty())
}

/// Tells a core that a worker leaves. Returns when that was acknowledged.
fn leave(fleet: &Fleet, id: &str) -> Result<u64, String> {
    for core in fleet.cores.iter().chain(&fleet.cores) {
        let address = format!("{}:{}", core.ip, fleet.ports.control).parse().unwrap();
        let request = http::simple("POST", &format!("/-/instances/{id}/leave"), "");
        let deadline = Instant::now() + Duration::from_secs(1);
        let answer = http::call(address, &request, deadline);
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        record::line(&format!("leave of {id} sent to {address}: {status}"));
        if status == 200 {
            return Ok(record::unix_ms());
        }
    }
    Err("the leave was not acknowledged".to_owned())
}

/// 30 requests a second.
fn start_traffic(fleet: &Fleet, tries: &Arc<Mutex<Vec<Try>>>, ends: &Arc<AtomicBool>) {
    let reading = Kind {
        name: "reading",
        path: "/reading/",
        is_idempotent: true,
        time_limit_ms: 4_000,
        has_prompt: false,
    };
    let directories = vec![fleet.directory(0), fleet.directory(1)];
    let requesters = Requesters::new(directories, "serra-norte", "estrela-a", Arc::clone(tries));
    let ends = Arc::clone(ends);
    thread::spawn(move || {
        while !ends.load(Ordering::Relaxed) {
            requesters.send(&reading);
            thread::sleep(Duration::from_millis(33));
        }
    });
}
