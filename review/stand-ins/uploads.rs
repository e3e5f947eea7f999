//! Many callers come at once, each with a proper body in chunks. The entry machine takes more
//! memory than it has, is ended for that, and the requests that it has passed on to sound workers
//! get no answer.
//!
//! Callers of one region ask for plans, one after the other on a kept channel each, with bodies
//! that take 2 s to send: together they stay below the machine's link. A worker begins its answer
//! after 1.5 s. In ordinary times they come evenly spread. The disruption multiplies the number of callers by 2.5 for ten seconds.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Result as IoResult;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet, MEMORY_MB, ZONES};
use crate::http::Channel;
use crate::record::Record;
use crate::worker::{self, Worker};

/// Callers in ordinary times, and during the burst: 2.5 times as many.
const CALLERS: usize = 24;
const BURST_CALLERS: usize = 60;
/// Ordinary times before the burst, and its length.
const BEFORE: Duration = Duration::from_millis(7_500);
const BURST: Duration = Duration::from_secs(10);
/// Size of a body, within `body_bytes` of the limits (4,194,304), and of one of its chunks.
const BODY_BYTES: usize = 4_190_208;
const CHUNK_BYTES: usize = 16 * 1024;
/// Time in which a caller sends a body. With the time to the answer, 60 callers send 575 Mbit/s,
/// and the link of an entry machine has 1,000 Mbit/s.
const SENDING: Duration = Duration::from_millis(2_000);
/// Parts of a body that are sent at even intervals.
const PARTS: usize = 30;
/// Requests that a worker runs at once, and the time to the first event of its answer.
const SLOTS: u64 = 64;
const WORK: Duration = Duration::from_millis(1_500);
/// Time limit of a caller.
const TIME_LIMIT: Duration = Duration::from_secs(8);
/// The rule allows three channels that are closed without an answer.
const MAX_LOST: usize = 3;

/// Ids of the requests that workers received whole, with the worker.
type Received = Arc<Mutex<BTreeMap<String, String>>>;

/// The slots of a worker.
#[derive(Default)]
struct Slots {
    used: Mutex<u64>,
    freed: Condvar,
}

impl Slots {
    fn run(&self, work: Duration) {
        let mut used = self.used.lock().unwrap();
        while *used >= SLOTS {
            used = self.freed.wait(used).unwrap();
        }
        *used += 1;
        drop(used);
        thread::sleep(work);
        *self.used.lock().unwrap() -= 1;
        self.freed.notify_one();
    }
}

/// What callers saw.
#[derive(Default)]
struct Seen {
    answers: BTreeMap<u16, usize>,
    /// Requests on kept channels that ended without an answer.
    unanswered: BTreeSet<String>,
}

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let fleet = Fleet::start(record, &fleet::configuration(1, ""))?;
    let outcome = play(record, &fleet, has_trouble);
    fleet.stop();
    outcome
}

fn play(record: &Record, fleet: &Arc<Fleet>, has_trouble: bool) -> Result<bool, String> {
    let received = Received::default();
    for (region, last) in [(0, 100), (0, 101), (1, 102), (2, 103)] {
        let (slots, received) = (Arc::new(Slots::default()), Arc::clone(&received));
        let serve = move |worker: &Worker, request: &worker::Request, channel: &mut Channel| {
            received.lock().unwrap().insert(request.id.clone(), worker.id.clone());
            if request.body.len() != BODY_BYTES {
                return false;
            }
            slots.run(WORK);
            let fields = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
            let events = "id: 1\ndata: plan\n\nid: 2\ndata: end\n\n";
            let head = worker::ok_head(&request.id, fields);
            let answer = format!("{head}{:x}\r\n{events}\r\n0\r\n\r\n", events.len());
            channel.write(answer.as_bytes()).is_ok()
        };
        Worker::start(fleet, last, region, ("asistente", SLOTS), Arc::new(serve))?;
    }
    // Until the machines count as in touch, and all know the workers.
    thread::sleep(Duration::from_secs(6));
    fleet.enforce_memory_limit();
    let name = format!("entry-{}-1", ZONES[0]);
    let (is_over, number) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let seen = Arc::new(Mutex::new(Seen::default()));
    let peak = Arc::new(AtomicU64::new(0));
    let mut threads = Vec::new();
    {
        let (fleet, name, peak) = (Arc::clone(fleet), name.clone(), Arc::clone(&peak));
        let is_over = Arc::clone(&is_over);
        threads.push(thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let bytes = fleet.memory_bytes(&name).unwrap_or(0);
                peak.fetch_max(bytes, Ordering::Relaxed);
                thread::sleep(Duration::from_millis(5));
            }
        }));
    }
    let mut add_callers = |count: usize, pause: Duration| {
        for _ in 0..count {
            thread::sleep(pause);
            let (fleet, number) = (Arc::clone(fleet), Arc::clone(&number));
            let (is_over, seen) = (Arc::clone(&is_over), Arc::clone(&seen));
            threads.push(thread::spawn(move || call_until(&fleet, &number, &is_over, &seen)));
        }
    };
    record.line(&format!("{CALLERS} callers ask for plans with bodies of {BODY_BYTES} bytes"));
    let began = Instant::now();
    add_callers(CALLERS, (SENDING + WORK) / CALLERS as u32);
    thread::sleep(BEFORE.saturating_sub(began.elapsed()));
    if has_trouble {
        record.line(&format!("burst: {BURST_CALLERS} callers"));
        add_callers(BURST_CALLERS - CALLERS, Duration::ZERO);
    }
    thread::sleep(BURST);
    is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().map_err(|_| "a caller failed")?;
    }
    let seen = seen.lock().unwrap();
    let received = received.lock().unwrap();
    let lost: Vec<(&String, &String)> =
        seen.unanswered.iter().filter_map(|id| received.get_key_value(id)).collect();
    record.line(&format!("sent: {}", number.load(Ordering::Relaxed)));
    record.line(&format!("received whole by workers: {}", received.len()));
    for (status, count) in &seen.answers {
        record.line(&format!("answered {status}: {count}"));
    }
    record.line(&format!("closed without an answer on kept channels: {}", seen.unanswered.len()));
    for (id, worker) in &lost {
        record.line(&format!("request {id} reached {worker} whole and got no answer"));
    }
    let peak_mb = peak.load(Ordering::Relaxed) / (1024 * 1024);
    record
        .line(&format!("memory of {name} at its peak: {peak_mb} MB; the limit is {MEMORY_MB} MB"));
    record.line(&format!("{name} was ended for its memory {} times", fleet.ends(&name)));
    record.line(&format!(
        "passed on from a kept channel to a sound worker and closed without an answer: {}; the \
         rule allows {MAX_LOST}",
        lost.len()
    ));
    if seen.answers.get(&200).copied().unwrap_or(0) == 0 {
        return Err("no request was served".to_owned());
    }
    Ok(lost.len() > MAX_LOST)
}

/// One caller: asks for plans one after the other, on a channel that it keeps.
fn call_until(fleet: &Fleet, number: &AtomicU64, is_over: &AtomicBool, seen: &Mutex<Seen>) {
    let chunk = [b'w'; CHUNK_BYTES];
    let mut body = Vec::with_capacity(BODY_BYTES + 16 * 1024);
    let mut left = BODY_BYTES;
    while left > 0 {
        let size = left.min(CHUNK_BYTES);
        body.extend_from_slice(format!("{size:x}\r\n").as_bytes());
        body.extend_from_slice(&chunk[..size]);
        body.extend_from_slice(b"\r\n");
        left -= size;
    }
    body.extend_from_slice(b"0\r\n\r\n");
    while !is_over.load(Ordering::Relaxed) {
        let channel = fleet.resolve(0, 0).and_then(|to| Channel::connect(to, TIME_LIMIT).ok());
        let Some(mut channel) = channel else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let mut is_kept = false;
        while !is_over.load(Ordering::Relaxed) {
            let id = format!("{:016x}", 0x9c41_0000 + number.fetch_add(1, Ordering::Relaxed));
            let head = format!(
                "POST /plan/{id} HTTP/1.1\r\nHost: riego.example\r\n\
                 X-Anvillift-Request-Id: {id}\r\nX-Anvillift-Deadline: {}\r\n\
                 Transfer-Encoding: chunked\r\n\r\n",
                TIME_LIMIT.as_millis()
            );
            let began = Instant::now();
            let sent = channel.write(head.as_bytes()).and_then(|()| send(&mut channel, &body));
            let answer = sent.and_then(|()| {
                let head = channel.read_head()?;
                channel.read_body(&head)?;
                Ok(head)
            });
            let Ok(answer) = answer else {
                if is_kept && began.elapsed() < TIME_LIMIT {
                    seen.lock().unwrap().unanswered.insert(id);
                }
                break;
            };
            *seen.lock().unwrap().answers.entry(answer.status()).or_default() += 1;
            is_kept = true;
            if answer.get("connection").is_some_and(|value| value.contains("close")) {
                break;
            }
        }
    }
}

/// Sends a body at an even rate.
fn send(channel: &mut Channel, body: &[u8]) -> IoResult<()> {
    let began = Instant::now();
    for (number, part) in (0..).zip(body.chunks(body.len().div_ceil(PARTS))) {
        let due = began + SENDING * number / PARTS as u32;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        channel.write(part)?;
    }
    Ok(())
}
