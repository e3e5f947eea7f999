//! Streams whose events name the software version of their worker, and their callers.

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::http::Channel;
use crate::worker::{self, Worker};

/// Events of a stream, and the pause between them.
const EVENTS: u64 = 19;
const EVENT_INTERVAL: Duration = Duration::from_millis(390);

/// How one try of a stream ended.
pub enum Ended {
    Complete,
    /// The connection broke after this event.
    Broken(u64),
    Refused(u16, Duration),
}

/// Serves a stream; each event names the version.
pub fn serve(worker: &Worker, request: &worker::Request, channel: &mut Channel) -> bool {
    let last = request.head.get("last-event-id").and_then(|text| text.parse::<u64>().ok());
    let fields = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    let mut head = worker::ok_head(&request.id, fields);
    for event in last.unwrap_or(0) + 1..=EVENTS {
        let text = format!("id: {event}\ndata: {}\n\n", worker.version);
        let chunk = format!("{}{:x}\r\n{text}\r\n", std::mem::take(&mut head), text.len());
        if channel.write(chunk.as_bytes()).is_err() {
            return false;
        }
        thread::sleep(EVENT_INTERVAL);
        if channel.is_closed() || worker.is_gone() {
            return false;
        }
    }
    channel.write(b"0\r\n\r\n").is_ok()
}

pub fn next_id(number: &AtomicU64) -> String {
    format!("{:016x}", 0x7e50_0000 + number.fetch_add(1, Ordering::Relaxed))
}

/// Sends one request for a stream and reads its events until it ends.
pub fn attempt(
    fleet: &Fleet,
    entry: usize,
    id: &str,
    resumes: Option<(&str, u64)>,
    deadline: Instant,
    version: &mut String,
) -> Ended {
    let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let mut last = resumes.map_or(0, |(_, last)| last);
    let Ok(mut channel) = Channel::connect(fleet.front_address(entry), left) else {
        return Ended::Refused(0, Duration::from_millis(100));
    };
    let fields = resumes.map_or(String::new(), |(first, last)| {
        format!("Resumes: {first}\r\nLast-Event-Id: {last}\r\n")
    });
    let head = format!(
        "POST /consulta/{id} HTTP/1.1\r\nHost: riego.example\r\nX-Anvillift-Request-Id: {id}\r\n\
         X-Anvillift-Model: m\r\nX-Anvillift-Token-Counts: 383,60\r\n\
         X-Anvillift-Prompt-Prefix: 5c1e07a2:55,91bd3f06:37,{}:291\r\n{fields}\
         X-Anvillift-Deadline: {}\r\nContent-Length: 4\r\n\r\nagua",
        &id[8..],
        left.as_millis()
    );
    if channel.write(head.as_bytes()).is_err() {
        return Ended::Broken(last);
    }
    let Ok(head) = channel.read_head() else { return Ended::Broken(last) };
    if head.status() != 200 {
        let pause = head.get("retry-after").and_then(|text| text.parse().ok()).unwrap_or(0.0);
        return Ended::Refused(head.status(), Duration::from_secs_f64(pause));
    }
    loop {
        let Ok(chunk) = channel.read_chunk() else { return Ended::Broken(last) };
        if chunk.is_empty() {
            return Ended::Complete;
        }
        for line in String::from_utf8_lossy(&chunk).lines() {
            if let Some(event) = line.strip_prefix("id: ") {
                last = event.parse().unwrap_or(last);
            }
            if let Some(data) = line.strip_prefix("data: ") {
                *version = data.to_owned();
            }
        }
    }
}
