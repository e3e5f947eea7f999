//! A stand-in worker: it reports its status, serves streams and plain requests, and writes what it
//! runs to a file. Standard library only.
//!
//! Arguments: ID SERVICE ADDRESS ZONE VERSION SLOTS CONTROL[,CONTROL..] RUNS_FILE
//! Variables: FIRST_REPORT_MS (0), EVENTS (10), GAP_MS (150), WORK_MS (60), BLANK_LINES (0: how
//! many requests, its first ones, it answers with empty lines until the caller closes)

#[path = "deployment.rs"]
mod deployment;

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use deployment::{call, field, read_exact_from, read_head};

struct Worker {
    id: String,
    service: String,
    address: SocketAddr,
    zone: String,
    version: String,
    slots: u32,
    controls: Vec<SocketAddr>,
    runs: Mutex<File>,
    born_ms: u128,
    events: u64,
    gap: Duration,
    work: Duration,
    requests: AtomicU64,
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let address: SocketAddr = arguments[2].parse().expect("an address");
    let runs = File::options().create(true).append(true).open(&arguments[7]).expect("a file");
    let worker = Arc::new(Worker {
        id: arguments[0].clone(),
        service: arguments[1].clone(),
        address,
        zone: arguments[3].clone(),
        version: arguments[4].clone(),
        slots: arguments[5].parse().expect("slots"),
        controls: arguments[6].split(',').map(|it| it.parse().expect("an address")).collect(),
        runs: Mutex::new(runs),
        born_ms: unix_ms(),
        events: number("EVENTS", 10),
        gap: Duration::from_millis(number("GAP_MS", 150)),
        work: Duration::from_millis(number("WORK_MS", 60)),
        requests: AtomicU64::new(0),
    });
    let listener = TcpListener::bind(address).expect("a listening socket");
    let reporter = Arc::clone(&worker);
    thread::spawn(move || reporter.report());
    for stream in listener.incoming().flatten() {
        let worker = Arc::clone(&worker);
        thread::spawn(move || worker.serve(stream).ok());
    }
}

impl Worker {
    /// Sends a status report at each interval, to the next core after a failure.
    fn report(&self) {
        thread::sleep(Duration::from_millis(number("FIRST_REPORT_MS", 0)));
        let mut sequence = 0;
        let mut turn = 0;
        loop {
            sequence += 1;
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"prefill_decode\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence},\"born\":{}}}",
                self.service, self.address, self.zone, self.version, self.slots, self.born_ms
            );
            let path = format!("/-/instances/{}/heartbeat", self.id);
            for _ in 0..self.controls.len() {
                let control = self.controls[turn % self.controls.len()];
                let answer = call(control, "POST", &path, &body, Duration::from_secs(1));
                if answer.is_ok_and(|answer| (200..300).contains(&answer.status)) {
                    break;
                }
                turn += 1;
            }
            thread::sleep(Duration::from_millis(1200));
        }
    }

    fn write_run(&self, text: &str) {
        // One write for a line: several workers append to the file.
        let line = format!("{} {} {} {text}\n", unix_ms(), self.id, self.version);
        self.runs.lock().unwrap().write_all(line.as_bytes()).ok();
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut rest = Vec::new();
        loop {
            let head = read_head(&mut stream, &mut rest)?;
            let length =
                field(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            read_exact_from(&mut stream, &mut rest, length)?;
            let id = field(&head, "x-anvillift-request-id").unwrap_or_default();
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            if path == "/health" && id.is_empty() {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nX-Anvillift-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                stream.write_all(answer.as_bytes())?;
                continue;
            }
            let expected = field(&head, "x-anvillift-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Anvillift-Request-Id: {id}\r\nX-Anvillift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                stream.write_all(answer.as_bytes())?;
                continue;
            }
            let last = field(&head, "last-event-id").unwrap_or_default();
            self.write_run(&format!("runs {id} {path} last-event-id={last:?}"));
            let common = format!(
                "X-Anvillift-Request-Id: {id}\r\nX-Anvillift-Response-Stamp: stamp-{}-{id}\r\n",
                self.id
            );
            if self.requests.fetch_add(1, Ordering::Relaxed) < number("BLANK_LINES", 0) {
                let lines = b"\r\n".repeat(4096);
                loop {
                    stream.write_all(&lines)?;
                }
            }
            if path.starts_with("/consulta/") || path.starts_with("/plan/") {
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                stream.write_all(head.as_bytes())?;
                let first = last.parse::<u64>().unwrap_or(0) + 1;
                for event in first..=self.events {
                    let data =
                        format!("id: {event}\ndata: {} {} {event}\n\n", self.version, self.id);
                    stream.write_all(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes())?;
                    thread::sleep(self.gap);
                }
                stream.write_all(b"0\r\n\r\n")?;
            } else {
                thread::sleep(self.work);
                let body = format!("done by {} for {id}", self.id);
                let answer = format!(
                    "HTTP/1.1 200 OK\r\n{common}Content-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                stream.write_all(answer.as_bytes())?;
            }
            self.write_run(&format!("ended {id}"));
        }
    }
}
