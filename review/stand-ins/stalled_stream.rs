//! A stream pauses at its worker. The entry machine sends the request to a second worker and keeps
//! it at the first one until the second one answers, so that both work on it.
//!
//! Each worker makes tokens and sends an event for every five of them. The head of an answer comes
//! with its first event. The first worker preempts the stream after some events, reads it in
//! again and goes on; that is ordinary. The disruption is that the second worker hangs: it begins
//! to run the request and never answers.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet};
use crate::http::Channel;
use crate::record::Record;
use crate::worker::{self, Worker};

/// Streams that a caller asks for, one after the other.
const STREAMS: u64 = 5;
/// End of the id of the last of them.
const LAST_STREAM: char = '4';
/// Tokens of an event, and events of a stream.
const TOKENS_PER_EVENT: u32 = 5;
const EVENTS: u64 = 9;
/// Time for a token at a worker with all places taken (4.55 ms + 64 x 0.181 ms).
const TOKEN: Duration = Duration::from_micros(16_100);
/// Event after which the first worker preempts the stream, and for how long.
const PREEMPTED_AFTER: u64 = 4;
const PREEMPTED: Duration = Duration::from_millis(2_100);
/// A worker may still work on a request for so long after it goes on at another.
const ALLOWED_OVERLAP: Duration = Duration::from_millis(400);
const TIME_LIMIT: Duration = Duration::from_secs(5);

/// A run of a request at a worker: when it made its first and its last token.
#[derive(Clone, Debug)]
struct Run {
    id: String,
    worker: String,
    last_event_id: u64,
    first_token: Instant,
    last_token: Instant,
}

type Runs = Arc<Mutex<Vec<Run>>>;

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let fleet = Fleet::start(record, &fleet::configuration(1, ""))?;
    let outcome = play(record, &fleet, has_trouble);
    fleet.stop();
    outcome
}

fn play(record: &Record, fleet: &Arc<Fleet>, has_trouble: bool) -> Result<bool, String> {
    let runs = Runs::default();
    for last in [100, 101] {
        let (runs, record) = (Arc::clone(&runs), record.clone());
        let serve = move |worker: &Worker, request: &worker::Request, channel: &mut Channel| {
            stream(&record, &runs, has_trouble, worker, request, channel)
        };
        Worker::start(fleet, last, 0, ("asistente", 64), Arc::new(serve))?;
    }
    // Until the machines count as in touch, and all know the workers.
    thread::sleep(Duration::from_secs(7));
    let number = AtomicU64::new(0);
    let mut complete = 0;
    for _ in 0..STREAMS {
        let id = format!("{:016x}", 0x51a1_0000 + number.fetch_add(1, Ordering::Relaxed));
        let events = call(fleet, &id)?;
        record.line(&format!("caller: stream {id} ends with {events} events"));
        complete += u64::from(events == EVENTS);
        thread::sleep(Duration::from_millis(500));
    }
    thread::sleep(Duration::from_secs(2));
    let runs = runs.lock().unwrap();
    let mut broken = 0;
    for second in runs.iter().filter(|run| run.last_event_id > 0) {
        let Some(first) = runs.iter().find(|run| run.id == second.id && run.last_event_id == 0)
        else {
            continue;
        };
        let overlap = first.last_token.saturating_duration_since(second.first_token);
        record.line(&format!(
            "request {}: {} made tokens until {} ms after {} had begun to run it",
            second.id,
            first.worker,
            overlap.as_millis(),
            second.worker
        ));
        broken += u64::from(overlap > ALLOWED_OVERLAP);
    }
    record.line(&format!("complete streams: {complete} of {STREAMS}"));
    record.line(&format!(
        "requests on which the worker before still worked over {} ms after they went on at \
         another: {broken}",
        ALLOWED_OVERLAP.as_millis()
    ));
    if runs.is_empty() {
        return Err("no stream reached a worker".to_owned());
    }
    Ok(broken > 0)
}

/// Streams events to the entry machine until the end or until the connection is closed.
fn stream(
    record: &Record,
    runs: &Runs,
    has_trouble: bool,
    worker: &Worker,
    request: &worker::Request,
    channel: &mut Channel,
) -> bool {
    let last_event_id = request.head.get("last-event-id").and_then(|text| text.parse().ok());
    let last_event_id: u64 = last_event_id.unwrap_or(0);
    let is_resumed = last_event_id > 0;
    // Four of the ten runs hang: those that take up each of the streams but the last.
    let hangs = has_trouble && is_resumed && !request.id.ends_with(LAST_STREAM);
    let now = Instant::now();
    let run = {
        let mut runs = runs.lock().unwrap();
        runs.push(Run {
            id: request.id.clone(),
            worker: worker.id.clone(),
            last_event_id,
            first_token: now,
            last_token: now,
        });
        runs.len() - 1
    };
    let (id, name) = (&request.id, &worker.id);
    record.line(&format!("{name}: runs {id} after event {last_event_id}"));
    let fields = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    let mut head = worker::ok_head(id, fields);
    for event in last_event_id + 1..=EVENTS {
        for _ in 0..TOKENS_PER_EVENT {
            thread::sleep(TOKEN);
            if channel.is_closed() {
                record.line(&format!("{name}: {id} is cancelled before event {event}"));
                return false;
            }
            runs.lock().unwrap()[run].last_token = Instant::now();
            while hangs {
                thread::sleep(TOKEN);
                if channel.is_closed() {
                    record.line(&format!("{name}: {id} is cancelled while it hangs"));
                    return false;
                }
            }
        }
        let text = format!("id: {event}\ndata: token\n\n");
        let chunk = format!("{}{:x}\r\n{text}\r\n", std::mem::take(&mut head), text.len());
        if channel.write(chunk.as_bytes()).is_err() {
            record.line(&format!("{name}: {id} is cancelled at event {event}"));
            return false;
        }
        if !is_resumed && event == PREEMPTED_AFTER {
            record.line(&format!("{name}: {id} is preempted after event {event}"));
            thread::sleep(PREEMPTED);
            record.line(&format!("{name}: {id} goes on"));
        }
    }
    record.line(&format!("{name}: {id} is complete"));
    channel.write(b"0\r\n\r\n").is_ok()
}

/// Asks for a stream and returns how many events came before it ended or broke off.
fn call(fleet: &Fleet, id: &str) -> Result<u64, String> {
    let address = fleet.resolve(0, 0).ok_or("the directory names no machine")?;
    let mut channel = Channel::connect(address, TIME_LIMIT).map_err(|error| error.to_string())?;
    let head = format!(
        "POST /consulta/{id} HTTP/1.1\r\nHost: riego.example\r\nX-Anvillift-Request-Id: {id}\r\n\
         X-Anvillift-Model: m\r\nX-Anvillift-Token-Counts: 383,60\r\n\
         X-Anvillift-Prompt-Prefix: 5c1e07a2:55,91bd3f06:37,{}:291\r\n\
         X-Anvillift-Deadline: {}\r\nContent-Length: 4\r\n\r\nagua",
        &id[8..],
        TIME_LIMIT.as_millis()
    );
    channel.write(head.as_bytes()).map_err(|error| error.to_string())?;
    let Ok(head) = channel.read_head() else { return Ok(0) };
    if head.status() != 200 {
        return Ok(0);
    }
    let mut events = 0;
    while let Ok(chunk) = channel.read_chunk() {
        if chunk.is_empty() {
            break;
        }
        events += String::from_utf8_lossy(&chunk).matches("data:").count() as u64;
    }
    Ok(events)
}
