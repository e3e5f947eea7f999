//! An entry host stands still for four seconds while it relays streams. Meanwhile a first worker of
//! a newer software version starts. Requesters abandon the silent streams and take them up at
//! another entry host.

#[path = "../common-3/clients.rs"]
mod clients;
#[path = "../common-3/deployment.rs"]
mod deployment;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use clients::{TIME_LIMIT, Workers, document, stream, take_up};
use deployment::{Deployment, FRONT_PORT, Record, cannot_run, has_trouble};

const REPLACE: &str = "/-/configuration/replace";
const STREAMS: usize = 24;
/// Time between two streams.
const INTERVAL: Duration = Duration::from_millis(20);
/// How long the machine stands still.
const FREEZE: Duration = Duration::from_millis(4_000);
/// Time from the beginning of the freeze to the start of the newer worker.
const NEWER_AFTER: Duration = Duration::from_millis(1_000);
/// Time for which the deployment runs before, with workers of one version.
const CALM: Duration = Duration::from_secs(20);

/// Outcome of a requester.
struct Outcome {
    lines: Vec<String>,
    was_taken_up: bool,
    went_on: bool,
    is_complete: bool,
}

/// Sends a stream to one entry host and takes it up once at another one if it breaks off.
fn request(first: SocketAddr, second: SocketAddr, number: usize) -> Outcome {
    let id = format!("s-{number}");
    let sent = Instant::now();
    let began = stream(first, &id);
    let mut lines = vec![format!(
        "{id}: status {}, {} events, complete {}",
        began.status, began.last_id, began.is_complete
    )];
    if began.is_complete || began.last_id == 0 {
        return Outcome {
            lines,
            was_taken_up: false,
            went_on: false,
            is_complete: began.is_complete,
        };
    }
    let left = TIME_LIMIT.saturating_sub(sent.elapsed());
    let again = take_up(second, &format!("{id}-again"), left, &id, began.last_id);
    lines.push(format!(
        "{id}: taken up after event {} at the other entry host: status {}, up to event {}, complete {}",
        began.last_id, again.status, again.last_id, again.is_complete
    ));
    let went_on = again.status == 200 && again.last_id > began.last_id;
    Outcome { lines, was_taken_up: true, went_on, is_complete: again.is_complete }
}

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    let record = Record::create(&path);
    let mut deployment = Deployment::new(&record);
    deployment.start_all(2);
    let mut workers = Workers::new(&deployment);
    let short = [("GAP_MS", "70")];
    workers.start_nine(&deployment, &short);
    let cores = ["core-0", "core-1", "core-2"];
    let first = deployment.operate(&cores, "POST", REPLACE, &document(1), Duration::from_secs(20));
    if first.is_none_or(|answer| answer.status != 200) {
        workers.end();
        deployment.end();
        cannot_run(&record, "the first configuration was not accepted");
    }
    deployment.wait_ready();
    thread::sleep(CALM);
    let frozen = deployment.address("entry-0", FRONT_PORT);
    let other = deployment.address("entry-0-1", FRONT_PORT);
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let handle = thread::spawn(move || request(frozen, other, number));
            thread::sleep(INTERVAL);
            handle
        })
        .collect();
    let freeze = Instant::now();
    if has_trouble() {
        deployment.signal("entry-0", "STOP");
    }
    thread::sleep(NEWER_AFTER);
    let last = Workers::last_octet(0, 4);
    workers.start(&deployment, "i-0-4", "asistente", 0, last, "v2", &short);
    thread::sleep(Duration::from_millis(2_000));
    // New streams at the other entry host, while the others are taken up there.
    let new: Vec<_> = (0..STREAMS)
        .map(|number| {
            let handle = thread::spawn(move || stream(other, &format!("n-{number}")));
            thread::sleep(INTERVAL);
            handle
        })
        .collect();
    thread::sleep(FREEZE.saturating_sub(freeze.elapsed()));
    if has_trouble() {
        deployment.signal("entry-0", "CONT");
    }
    let outcomes: Vec<Outcome> =
        streams.into_iter().filter_map(|handle| handle.join().ok()).collect();
    let begun = new.into_iter().filter_map(|it| it.join().ok()).filter(|it| it.last_id > 0).count();
    outcomes.iter().flat_map(|outcome| &outcome.lines).for_each(|line| record.line(line));
    workers.copy_runs(&record);
    workers.end();
    deployment.end();
    let taken_up = outcomes.iter().filter(|outcome| outcome.was_taken_up).count();
    let went_on = outcomes.iter().filter(|outcome| outcome.went_on).count();
    let complete = outcomes.iter().filter(|outcome| outcome.is_complete).count();
    record.line(&format!(
        "{went_on} of {taken_up} streams that were taken up went on; {begun} of {STREAMS} new streams \
         began at the same host; {complete} of {STREAMS} streams are complete"
    ));
    let share_on = went_on as f64 / taken_up.max(1) as f64;
    let share_new = begun as f64 / STREAMS as f64;
    if taken_up >= 12 && share_on < share_new / 2.0 {
        record.line("BROKEN");
        std::process::exit(1);
    }
    if !has_trouble() && complete < STREAMS {
        cannot_run(&record, "streams are not complete without the disruption");
    }
    if has_trouble() && taken_up < 12 {
        cannot_run(&record, "too few streams were taken up");
    }
    record.line("HELD");
}
