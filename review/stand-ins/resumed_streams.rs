//! Workers of two software versions serve. All cores are killed at once and are back at once.
//! More than five seconds later an entry machine is killed, and its callers take up their streams
//! at the other one. Nobody knows any more which version began them, so none goes on.
//!
//! Streams make an event each 0.39 s. A stream that goes on must do so at its version.

use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet};
use crate::record::Record;
use crate::streams::{self, Ended};
use crate::worker::Worker;

/// Streams at each of the two entry machines, and new ones after the kill.
const STREAMS: usize = 20;
/// Time limit of a caller.
const TIME_LIMIT: Duration = Duration::from_secs(8);
/// From the beginning of the streams to the kill of the cores; these are back after the delay.
const CORES_KILLED_AFTER: Duration = Duration::from_millis(300);
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// From the beginning of the streams to the kill of the entry machine. The core has been stable
/// for more than `connectivity_window_ms` (5 s) by then.
const ENTRY_KILLED_AFTER: Duration = Duration::from_millis(6_100);
/// The entry machine that is killed, and the other one of its region.
const KILLED_ENTRY: usize = 0;
const OTHER_ENTRY: usize = 3;
/// Fewest streams for which the rule holds.
const MIN_TAKEN_UP: usize = 12;
/// Most tries of a caller.
const MAX_TRIES: usize = 4;

/// What became of the streams.
#[derive(Default)]
struct Seen {
    taken_up: usize,
    went_on: usize,
    new: usize,
    new_begun: usize,
    statuses: Vec<u16>,
    mixed: usize,
}

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let fleet = Fleet::start(record, &fleet::configuration_of_long_streams())?;
    let outcome = play(record, &fleet, has_trouble);
    fleet.stop();
    outcome
}

fn play(record: &Record, fleet: &Arc<Fleet>, has_trouble: bool) -> Result<bool, String> {
    fleet.start_second_entry()?;
    for (last, version) in [(100, "v1"), (101, "v1"), (102, "v2"), (103, "v2")] {
        let serve = Arc::new(streams::serve);
        Worker::start_version(fleet, last, 0, ("asistente", 64), version, serve).map(|_| ())?;
    }
    // Until the machines count as in touch, and all know the workers.
    thread::sleep(Duration::from_secs(8));
    let seen = Arc::new(Mutex::new(Seen::default()));
    let number = Arc::new(AtomicU64::new(0));
    let began = Instant::now();
    record.line(&format!("{STREAMS} streams begin at each of the two entry machines"));
    let mut callers = Vec::new();
    for entry in [KILLED_ENTRY, OTHER_ENTRY].repeat(STREAMS) {
        let (fleet, seen, number) = (Arc::clone(fleet), Arc::clone(&seen), Arc::clone(&number));
        let record = record.clone();
        callers.push(thread::spawn(move || call(&record, &fleet, &seen, &number, entry)));
    }
    sleep_until(began + CORES_KILLED_AFTER);
    if has_trouble {
        record.line("platform: all cores are killed");
        fleet.kill_and_restart(&[("core", 0), ("core", 1), ("core", 2)], RESTART_DELAY)?;
        record.line("platform: the cores are started again");
    }
    sleep_until(began + ENTRY_KILLED_AFTER);
    record.line("platform: an entry machine is killed");
    for _ in 0..STREAMS {
        let (fleet, seen, number) = (Arc::clone(fleet), Arc::clone(&seen), Arc::clone(&number));
        callers.push(thread::spawn(move || begin_new(&fleet, &seen, &number)));
    }
    fleet.kill_and_restart(&[("entry", KILLED_ENTRY)], Duration::from_millis(500))?;
    record.line("platform: the entry machine is started again");
    for caller in callers {
        caller.join().map_err(|_| "a caller failed")?;
    }
    let seen = seen.lock().unwrap();
    let (taken_up, went_on) = (seen.taken_up, seen.went_on);
    record.line(&format!("streams taken up again: {taken_up}, of which went on: {went_on}"));
    let refused = seen.statuses.iter().filter(|status| **status == 503).count();
    record.line(&format!(
        "answers that refused to go on: {}, of which 503: {refused}",
        seen.statuses.len()
    ));
    record.line(&format!("new streams: {}, of which began: {}", seen.new, seen.new_begun));
    record.line(&format!("streams with events of two versions: {}", seen.mixed));
    if taken_up < MIN_TAKEN_UP || seen.new_begun == 0 {
        return Err("too few streams were taken up, or none began".to_owned());
    }
    let share = went_on as f64 / taken_up as f64;
    let new_share = seen.new_begun as f64 / seen.new as f64;
    record.line(&format!(
        "share that went on: {share:.2}; the rule asks for {:.2} at least",
        new_share / 2.0
    ));
    Ok(share < new_share / 2.0)
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// A caller asks for a stream at an entry machine, and takes it up at the other one if its channel
/// breaks.
fn call(record: &Record, fleet: &Fleet, seen: &Mutex<Seen>, number: &AtomicU64, entry: usize) {
    let (first_id, deadline) = (streams::next_id(number), Instant::now() + TIME_LIMIT);
    let mut version = String::new();
    let mut last = match streams::attempt(fleet, entry, &first_id, None, deadline, &mut version) {
        Ended::Broken(last) if last > 0 => last,
        _ => return,
    };
    seen.lock().unwrap().taken_up += 1;
    let began_version = version.clone();
    for _ in 0..MAX_TRIES {
        let id = streams::next_id(number);
        let resumes = Some((first_id.as_str(), last));
        let before = last;
        match streams::attempt(fleet, OTHER_ENTRY, &id, resumes, deadline, &mut version) {
            Ended::Complete => {
                let mut seen = seen.lock().unwrap();
                seen.went_on += 1;
                seen.mixed += usize::from(version != began_version);
                return;
            }
            Ended::Broken(event) => last = event.max(before),
            Ended::Refused(status, pause) => {
                seen.lock().unwrap().statuses.push(status);
                record.line(&format!("{first_id} after event {last}: refused with {status}"));
                let left = deadline.saturating_duration_since(Instant::now());
                thread::sleep(pause.min(left / 3));
            }
        }
        if Instant::now() >= deadline {
            return;
        }
    }
}

/// A caller asks for a new stream at the other entry machine, and reads its first event.
fn begin_new(fleet: &Fleet, seen: &Mutex<Seen>, number: &AtomicU64) {
    let (id, deadline) = (streams::next_id(number), Instant::now() + TIME_LIMIT);
    seen.lock().unwrap().new += 1;
    let ended = streams::attempt(fleet, OTHER_ENTRY, &id, None, deadline, &mut String::new());
    if matches!(ended, Ended::Complete) || matches!(ended, Ended::Broken(event) if event > 0) {
        seen.lock().unwrap().new_begun += 1;
    }
}
