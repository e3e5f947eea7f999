//! A front machine stands still for 4 s while a configuration moves a route to another service.
//! Another machine that has the new configuration forwards requests to it.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::case_quarantine::{BOUNDS, ZONES};
use crate::fleet::{self, Fleet, Plan, WorkerPlan, Workers};
use crate::record;
use crate::requester::{Kind, Requesters, Try};

/// `rollback_slack_ms` of the bounds.
const SLACK_MS: u64 = 250;
const FREEZE_MS: u64 = 4_000;

fn configuration(version: u64, service: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-dosing\",\"host\":\"app.example\",\"path_prefix\":\"/dosing/\",\"kind\":\"non_idempotent\",\
         \"timeout_ms\":8000,\"target_latency_ms\":400,\"priority\":0,\"service\":\"{service}\",\"attempts\":1,\
         \"home_regions\":[]}}],\
         \"services\":[{{\"name\":\"registo-old\",\"health_check_path\":\"/health\",\"connection_limit\":96,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}},\
         {{\"name\":\"registo-new\",\"health_check_path\":\"/health\",\"connection_limit\":96,\"protocol\":\"h1\",\
         \"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

pub fn run(has_trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::new(Plan {
        zones: ZONES.to_vec(),
        entries: vec!["estrela-a", "viseu-b", "viseu-b"],
        cores: vec!["estrela-a", "viseu-b", "evora-c"],
        bounds: BOUNDS,
        heartbeat_ms: 1_200,
    })?;
    fleet.start()?;
    fleet.configure(&configuration(3, "registo-old"), Duration::from_secs(15))?;
    let mut workers = Workers::default();
    for (number, service) in
        ["registo-old", "registo-old", "registo-new", "registo-new"].into_iter().enumerate()
    {
        let plan = WorkerPlan {
            name: format!("{service}-{number}"),
            address: fleet.worker_address(number),
            service,
            zone: "viseu-b",
            slots: 6,
            cold_ms: 0,
            first_ms: 20,
            events: 0,
            gap_ms: 0,
            ..WorkerPlan::default()
        };
        workers.start(&fleet, &plan, 1)?;
    }
    fleet.wait_until_ready(Duration::from_secs(10))?;
    thread::sleep(Duration::from_secs(6));

    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let dosing = Kind {
        name: "dosing",
        path: "/dosing/",
        is_idempotent: false,
        time_limit_ms: 8_000,
        has_prompt: false,
    };
    let front = fleet.front(0);
    let requesters =
        Requesters::new(vec![fleet.directory(0)], "serra-norte", "estrela-a", Arc::clone(&tries));
    let send_for = |milliseconds: u64| {
        for _ in 0..milliseconds / 50 {
            requesters.send_to(&dosing, front);
            thread::sleep(Duration::from_millis(50));
        }
    };
    send_for(3_000);
    let frozen = fleet.entries[1].process.as_ref().map_or(0, |process| process.pid());
    if has_trouble {
        fleet::signal(frozen, "STOP");
        record::line("node_freeze: entry-viseu-b-2 stands still, for 4 s");
    }
    let frozen_ms = record::unix_ms();
    let acked_ms = fleet.configure(&configuration(4, "registo-new"), Duration::from_secs(6))?;
    record::line("version 4 is acknowledged: the route goes to registo-new");
    send_for(3_000);
    let left_ms = (frozen_ms + FREEZE_MS).saturating_sub(record::unix_ms());
    thread::sleep(Duration::from_millis(left_ms));
    fleet::signal(frozen, "CONT");
    record::line("entry-viseu-b-2 goes on");
    send_for(2_000);
    thread::sleep(Duration::from_secs(9));

    workers.record_runs();
    let runs = workers.runs();
    let tries = tries.lock().unwrap();
    let sent_ms = |id: &str| tries.iter().find(|it| it.id == id).map(|it| it.sent_ms);
    let run_by = |service: &'static str| {
        runs.iter()
            .filter(move |(_, worker, words)| worker.starts_with(service) && words[0] == "run")
            .filter_map(|(at_ms, worker, words)| Some((*at_ms, worker, &words[1], sent_ms(&words[1])?)))
    };
    let seen_ms = run_by("registo-new").map(|(at_ms, ..)| at_ms).min();
    let Some(seen_ms) = seen_ms else {
        return Err("no worker saw the effect of version 4".to_owned());
    };
    record::line_at(seen_ms, "a worker of registo-new has seen the effect of version 4 by entry-estrela-a-1");
    let mut broken = 0;
    for (at_ms, worker, id, sent_ms) in run_by("registo-old") {
        if sent_ms > seen_ms + SLACK_MS {
            broken += 1;
            record::line_at(
                at_ms,
                &format!(
                    "{id}, sent to entry-estrela-a-1 {} ms after it had shown version 4 ({} ms after \
                     the ack), is run by {worker} of the old service",
                    sent_ms - seen_ms,
                    sent_ms - acked_ms
                ),
            );
        }
    }
    record::line(&format!("{broken} requests handled as only version 3 allows"));
    Ok(broken == 0)
}
