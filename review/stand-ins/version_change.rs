//! Planned work only: a service gets a new software version, its streams a shorter timeout, and
//! the entry machines are restarted in turn. A worker of the old version ends while streams last,
//! and callers take these up at the entry machine that was restarted, which lets them go on at
//! the new version.

use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet};
use crate::record::Record;
use crate::streams::{self, Ended};
use crate::worker::Worker;

const STREAMS: usize = 20;
/// Time limit of a caller.
const TIME_LIMIT: Duration = Duration::from_secs(8);
/// Timeout of the route with streams, before and after the change, in milliseconds.
const TIMEOUT_MS: u64 = 8_000;
const SHORTER_TIMEOUT_MS: u64 = 1_500;
/// Times from the beginning of the streams: workers of the new version start, the configuration
/// changes, an entry machine is stopped, the workers of the old version leave and end. They serve
/// for `drain_ms` (3 s) after the acknowledgement and a little longer.
const NEW_VERSION_AT: Duration = Duration::from_millis(200);
const CHANGE_AT: Duration = Duration::from_millis(400);
const STOP_AT: Duration = Duration::from_millis(600);
const LEAVE_AT: Duration = Duration::from_millis(1_800);
const END_AT: Duration = Duration::from_millis(6_400);
/// The entry machine at which the streams begin, and the one that is restarted.
const FIRST_ENTRY: usize = 0;
const RESTARTED_ENTRY: usize = 3;
/// The rule allows two streams with events of two versions.
const MAX_MIXED: usize = 2;
const MAX_TRIES: usize = 4;

#[derive(Default)]
struct Seen {
    begun: usize,
    taken_up: usize,
    refused: usize,
    mixed: usize,
}

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let document = fleet::configuration_of_one_stream_route(1, TIMEOUT_MS);
    let fleet = Fleet::start(record, &document)?;
    let outcome = play(record, &fleet, has_trouble);
    fleet.stop();
    outcome
}

fn play(record: &Record, fleet: &Arc<Fleet>, has_trouble: bool) -> Result<bool, String> {
    fleet.start_second_entry()?;
    let start = |last: u8, version: &'static str| {
        let serve = Arc::new(streams::serve);
        Worker::start_version(fleet, last, 0, ("asistente", 64), version, serve)
    };
    let old = [start(100, "v1")?, start(101, "v1")?];
    // Until the machines count as in touch, and all know the workers.
    thread::sleep(Duration::from_secs(8));
    let (seen, number) = (Arc::new(Mutex::new(Seen::default())), Arc::new(AtomicU64::new(0)));
    let began = Instant::now();
    record.line(&format!("{STREAMS} streams begin at workers of version v1"));
    let mut callers = Vec::new();
    for _ in 0..STREAMS {
        let (fleet, seen, number) = (Arc::clone(fleet), Arc::clone(&seen), Arc::clone(&number));
        let record = record.clone();
        callers.push(thread::spawn(move || call(&record, &fleet, &seen, &number)));
    }
    sleep_until(began + NEW_VERSION_AT);
    record.line("workers of version v2 start");
    start(102, "v2")?;
    start(103, "v2")?;
    sleep_until(began + CHANGE_AT);
    if has_trouble {
        let document = fleet::configuration_of_one_stream_route(2, SHORTER_TIMEOUT_MS);
        let status = fleet.operator("POST", "/-/configuration/replace", &document);
        record.line(&format!(
            "operator: timeout {TIMEOUT_MS} ms becomes {SHORTER_TIMEOUT_MS} ms, answered {status:?}"
        ));
    }
    sleep_until(began + STOP_AT);
    let (stopping, stop_record) = (Arc::clone(fleet), record.clone());
    let stop = thread::spawn(move || {
        stop_record.line("platform: an entry machine gets SIGTERM");
        let result = stopping.stop_and_restart("entry", RESTARTED_ENTRY);
        stop_record.line("platform: it has exited and is started again");
        result
    });
    sleep_until(began + LEAVE_AT);
    for worker in &old {
        let is_acknowledged = worker.leave(fleet);
        record.line(&format!("{} (v1) leaves, acknowledged: {is_acknowledged}", worker.id));
    }
    stop.join().map_err(|_| "the stop failed")??;
    sleep_until(began + END_AT);
    record.line("the workers of version v1 end");
    old.iter().for_each(Worker::end);
    for caller in callers {
        caller.join().map_err(|_| "a caller failed")?;
    }
    let seen = seen.lock().unwrap();
    record.line(&format!("streams that began: {}", seen.begun));
    record.line(&format!("streams taken up again: {}", seen.taken_up));
    record.line(&format!("refusals to go on: {}", seen.refused));
    record.line(&format!(
        "streams with events of both versions: {}; the rule allows {MAX_MIXED}",
        seen.mixed
    ));
    if seen.taken_up == 0 {
        return Err("no stream was taken up again".to_owned());
    }
    Ok(seen.mixed > MAX_MIXED)
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// A caller asks for a stream, and takes it up at the restarted entry machine if its channel
/// breaks.
fn call(record: &Record, fleet: &Fleet, seen: &Mutex<Seen>, number: &AtomicU64) {
    let (first_id, deadline) = (streams::next_id(number), Instant::now() + TIME_LIMIT);
    let mut version = String::new();
    let ended = streams::attempt(fleet, FIRST_ENTRY, &first_id, None, deadline, &mut version);
    let mut last = match ended {
        Ended::Broken(last) if last > 0 => last,
        _ => return,
    };
    {
        let mut seen = seen.lock().unwrap();
        seen.begun += 1;
        seen.taken_up += 1;
    }
    let began_version = version.clone();
    for _ in 0..MAX_TRIES {
        if Instant::now() >= deadline {
            return;
        }
        let (id, resumes) = (streams::next_id(number), Some((first_id.as_str(), last)));
        match streams::attempt(fleet, RESTARTED_ENTRY, &id, resumes, deadline, &mut version) {
            Ended::Refused(_, pause) => {
                seen.lock().unwrap().refused += 1;
                let left = deadline.saturating_duration_since(Instant::now());
                thread::sleep(pause.min(left / 3));
            }
            ended => {
                let before = last;
                if let Ended::Broken(event) = ended {
                    last = event;
                }
                if version != began_version {
                    record.line(&format!(
                        "stream {first_id}: events up to {before} are of {began_version}, those \
                         after it of {version}"
                    ));
                    seen.lock().unwrap().mixed += 1;
                    return;
                }
                if matches!(ended, Ended::Complete) {
                    return;
                }
            }
        }
    }
}
