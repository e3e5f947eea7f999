//! Two workers are upgraded in place, one after the other; the first status report of the first one
//! comes late.

#[path = "../common-3/clients.rs"]
mod clients;
#[path = "../common-3/deployment.rs"]
mod deployment;

use std::collections::BTreeSet;
use std::thread;
use std::time::{Duration, Instant};

use clients::{Workers, document, stream};
use deployment::{Deployment, FRONT_PORT, Record, cannot_run, has_trouble};

/// Streams that are sent while the workers are upgraded.
const STREAMS: usize = 12;
/// Streams of two versions above which the rule is broken.
const ALLOWED: usize = 2;

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    let record = Record::create(&path);
    let late_ms = std::env::var("LATE_MS").unwrap_or("2000".to_owned());
    let mut deployment = Deployment::new(&record);
    deployment.start_all(1);
    let mut workers = Workers::new(&deployment);
    for (id, last) in [("i-one", 101), ("i-two", 102)] {
        workers.start(&deployment, id, "asistente", 0, last, "v1", &[]);
    }
    let replace = "/-/configuration/replace";
    let cores = ["core-0", "core-1", "core-2"];
    let first = deployment.operate(&cores, "POST", replace, &document(1), Duration::from_secs(20));
    if first.is_none_or(|answer| answer.status != 200) {
        workers.end();
        deployment.end();
        cannot_run(&record, "the first configuration was not accepted");
    }
    record.line("version 1 acknowledged");
    deployment.wait_ready();
    // Both workers have been known for a while, and serve.
    thread::sleep(Duration::from_secs(4));
    let front = deployment.address("entry-0", FRONT_PORT);
    let warm: Vec<_> = (0..6)
        .map(|number| thread::spawn(move || stream(front, &format!("warm-{number}"))))
        .collect();
    let served =
        warm.into_iter().filter_map(|it| it.join().ok()).filter(|it| it.is_complete).count();
    record.line(&format!("{served} of 6 first streams complete"));
    thread::sleep(Duration::from_millis(500));

    if has_trouble() {
        workers.kill("i-two");
        thread::sleep(Duration::from_secs(1));
        workers.start(
            &deployment,
            "i-two",
            "asistente",
            0,
            102,
            "v2",
            &[("FIRST_REPORT_MS", &late_ms)],
        );
        thread::sleep(Duration::from_millis(300));
    }
    let began = Instant::now();
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let handle = thread::spawn(move || stream(front, &format!("s-{number}")));
            thread::sleep(Duration::from_millis(30));
            handle
        })
        .collect();
    if has_trouble() {
        thread::sleep(Duration::from_millis(700).saturating_sub(began.elapsed()));
        workers.kill("i-one");
        thread::sleep(Duration::from_millis(1000));
        workers.start(&deployment, "i-one", "asistente", 0, 101, "v2", &[]);
    }
    let mut mixed = 0;
    let mut complete = 0;
    for (number, handle) in streams.into_iter().enumerate() {
        let answer = handle.join().unwrap();
        let versions: BTreeSet<&str> =
            answer.events.iter().filter_map(|event| event.split(' ').next()).collect();
        record.line(&format!(
            "s-{number}: status {}, complete {}, events {:?}",
            answer.status, answer.is_complete, answer.events
        ));
        mixed += usize::from(versions.len() > 1);
        complete += usize::from(answer.is_complete);
    }
    record.line(&format!(
        "{mixed} of {STREAMS} streams hold events of two versions; {complete} complete"
    ));
    workers.copy_runs(&record);
    workers.end();
    deployment.end();
    if mixed > ALLOWED {
        record.line("BROKEN");
        std::process::exit(1);
    }
    if !has_trouble() && complete < STREAMS {
        cannot_run(&record, "streams are not complete without the disruption");
    }
    record.line("HELD");
}
