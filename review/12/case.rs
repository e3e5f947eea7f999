//! A core machine is replaced as planned: its successor starts, and a second later the old one gets
//! SIGTERM and leaves for good. More than `catch_up_s` later another core acknowledges a change and
//! loses its disk. The operator reads the configuration back.

#[path = "../common-3/clients.rs"]
mod clients;
#[path = "../common-3/deployment.rs"]
mod deployment;

use std::thread;
use std::time::{Duration, Instant};

use clients::document;
use deployment::{Deployment, Record, cannot_run, has_trouble};

const REPLACE: &str = "/-/configuration/replace";
/// Time from the start of the successor to the SIGTERM of the old machine.
const SUCCESSOR_FIRST: Duration = Duration::from_millis(1_000);
/// Time between the end of the old machine and the loss of the disk: `catch_up_s`, and a little
/// more.
const PAUSE: Duration = Duration::from_millis(4_200);
/// Time for which a machine is down when it loses its disk.
const DOWN: Duration = Duration::from_millis(1_300);
/// Time for which the operator reads after all machines are back: `recovery_s`, then
/// `connectivity_window_ms` and as much again.
const READ_TIME: Duration = Duration::from_secs(30);

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    let record = Record::create(&path);
    let mut deployment = Deployment::new(&record);
    deployment.start_all(1);
    let cores = ["core-0", "core-1", "core-2"];
    let first = deployment.operate(&cores, "POST", REPLACE, &document(1), Duration::from_secs(20));
    if first.is_none_or(|answer| answer.status != 200) {
        deployment.end();
        cannot_run(&record, "the first configuration was not accepted");
    }
    deployment.wait_ready();
    thread::sleep(Duration::from_secs(3));

    let successor = deployment.add("core", 0, 40);
    let seeds = deployment.seeds(&cores);
    deployment.start(&successor, false, &seeds);
    thread::sleep(SUCCESSOR_FIRST);
    deployment.signal("core-0", "TERM");
    deployment.wait_end("core-0", Duration::from_secs(8));
    record.line("core-0 is taken away");
    thread::sleep(PAUSE);
    record.line("the successor has run for more than catch_up_s");

    let now = [successor.as_str(), "core-1", "core-2"];
    let second = deployment.operate(&now, "POST", REPLACE, &document(5), Duration::from_secs(6));
    if second.is_none_or(|answer| answer.status != 200) {
        deployment.end();
        cannot_run(&record, "version 5 was not acknowledged");
    }
    record.line("version 5 is acknowledged");
    if has_trouble() {
        deployment.kill("core-1");
        deployment.wipe("core-1");
        thread::sleep(DOWN);
        let seeds = deployment.seeds(&now);
        deployment.start("core-1", false, &seeds);
    }
    let back = Instant::now();
    let read = deployment.operate(&now, "GET", "/-/configuration/get", "", READ_TIME);
    let text = read.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
    let is_read_back = text.is_some_and(|text| text.contains("\"version\":5"));
    record.line(&format!(
        "read back {:.1} s after all machines are back: {is_read_back}",
        back.elapsed().as_secs_f64()
    ));
    let third = deployment.operate(&now, "POST", REPLACE, &document(9), Duration::from_secs(6));
    record.line(&format!("version 9: {:?}", third.map(|answer| answer.status)));
    deployment.end();
    if is_read_back {
        record.line("HELD");
        return;
    }
    record.line("BROKEN: the acknowledged configuration does not come when it is read back");
    std::process::exit(1);
}
