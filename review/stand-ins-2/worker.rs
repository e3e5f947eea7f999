//! A worker process: reports itself, serves one request at a time on each channel, rejects
//! what is for another instance, and writes what it got to a file.
//!
//! While the file `cut` names process ids, channels from these processes are reset, as when the
//! machines of these processes are partitioned from all workers. The worker that the file `leaving`
//! names sends no more reports.

use std::collections::BTreeSet;
use std::ffi::c_void;
use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::record::unix_ms;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const c_void, length: u32) -> i32;
}

struct Worker {
    id: String,
    address: String,
    service: String,
    zone: String,
    slots: u64,
    cold_until_ms: u64,
    first_ms: u64,
    events: u64,
    gap_ms: u64,
    /// Version of its software.
    version: String,
    /// Time by which its first status report comes late.
    late_ms: u64,
    heartbeat_ms: u64,
    cores: Vec<SocketAddr>,
    /// File with the time until which the workers have turned cold, if they have.
    cold_file: PathBuf,
    ran: Mutex<File>,
    cut: Mutex<BTreeSet<u32>>,
    stamps: AtomicU64,
}

pub fn run(arguments: &[String]) -> ExitCode {
    let number = |index: usize| arguments[index].parse::<u64>().unwrap();
    let ran = File::options().create(true).append(true).open(&arguments[11]).unwrap();
    let worker = Arc::new(Worker {
        id: arguments[0].clone(),
        address: arguments[1].clone(),
        service: arguments[2].clone(),
        zone: arguments[3].clone(),
        slots: number(4),
        cold_until_ms: unix_ms() + number(5),
        first_ms: number(6),
        events: number(7),
        gap_ms: number(8),
        version: arguments[13].clone(),
        late_ms: number(14),
        heartbeat_ms: number(9),
        cores: arguments[10].split(',').map(|text| text.parse().unwrap()).collect(),
        cold_file: Path::new(&arguments[12]).with_file_name("cold"),
        ran: Mutex::new(ran),
        cut: Mutex::default(),
        stamps: AtomicU64::new(1),
    });
    let listener = TcpListener::bind(&worker.address).unwrap();
    let reporter = Arc::clone(&worker);
    thread::spawn(move || reporter.report());
    let (watcher, cut_file) = (Arc::clone(&worker), PathBuf::from(&arguments[12]));
    thread::spawn(move || watcher.watch_cut(&cut_file));
    for stream in listener.incoming().flatten() {
        let worker = Arc::clone(&worker);
        thread::spawn(move || worker.serve(stream));
    }
    ExitCode::SUCCESS
}

impl Worker {
    fn note(&self, text: &str) {
        let line = format!("{} {text}\n", unix_ms());
        self.ran.lock().unwrap().write_all(line.as_bytes()).ok();
    }

    /// Sends a status report about every `heartbeat_ms`, to the next core after a failure.
    fn report(&self) {
        let born = unix_ms();
        let mut core = born as usize % self.cores.len();
        thread::sleep(Duration::from_millis(self.late_ms));
        for sequence in 1.. {
            let leaving = fs::read_to_string(self.cold_file.with_file_name("leaving"));
            if leaving.is_ok_and(|id| id == self.id) {
                return;
            }
            let later_ms = fs::read_to_string(&self.cold_file).ok().and_then(|it| it.parse().ok());
            let cold_until_ms = self.cold_until_ms.max(later_ms.unwrap_or(0));
            let cold_ms = cold_until_ms.saturating_sub(unix_ms());
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\
                 \"state\":\"ready\",\"cold_remaining_ms\":{cold_ms},\"stage\":\"prefill_decode\",\
                 \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence},\
                 \"born\":{born}}}",
                self.service, self.address, self.zone, self.version, self.slots
            );
            let target = format!("/-/instances/{}/heartbeat", self.id);
            let request = http::simple("POST", &target, &body);
            for _ in 0..self.cores.len() {
                let deadline = Instant::now() + Duration::from_millis(1_000);
                let answer = http::call(self.cores[core], &request, deadline);
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                core = (core + 1) % self.cores.len();
            }
            thread::sleep(Duration::from_millis(self.heartbeat_ms));
        }
    }

    fn watch_cut(&self, file: &Path) {
        loop {
            let text = fs::read_to_string(file).unwrap_or_default();
            let pids = text.split_whitespace().filter_map(|pid| pid.parse().ok()).collect();
            *self.cut.lock().unwrap() = pids;
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn is_cut(&self, owner: Option<u32>) -> bool {
        owner.is_some_and(|pid| self.cut.lock().unwrap().contains(&pid))
    }

    fn serve(&self, mut stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let owner = owner_of(&stream);
        if self.is_cut(owner) {
            return reset(&stream);
        }
        while let Some(request) = http::read_request(&mut stream) {
            if self.is_cut(owner) {
                return reset(&stream);
            }
            if self.answer(&mut stream, &request, owner).is_none() {
                return;
            }
        }
    }

    /// Answers a request; `None` if the channel has failed.
    fn answer(&self, stream: &mut TcpStream, request: &Message, owner: Option<u32>) -> Option<()> {
        let id = request.header("X-Anvillift-Request-Id").unwrap_or("-").to_owned();
        let expected = request.header("X-Anvillift-Expect-Instance").unwrap_or("-");
        let from = owner.map_or("?".to_owned(), |pid| pid.to_string());
        if expected != self.id && expected != "-" {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Anvillift-Request-Id: {id}\r\n\
                 X-Anvillift-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return stream.write_all(head.as_bytes()).ok();
        }
        self.note(&format!("got {id} from {from}"));
        thread::sleep(Duration::from_millis(self.first_ms));
        if self.is_cut(owner) {
            reset(stream);
            return None;
        }
        if is_closed(stream) {
            self.note(&format!("dropped {id}"));
            return None;
        }
        self.note(&format!("run {id}"));
        let stamp = format!("{}.{}", self.id, self.stamps.fetch_add(1, Ordering::Relaxed));
        let common = format!(
            "X-Anvillift-Request-Id: {id}\r\nX-Anvillift-Response-Stamp: {stamp}\r\n\
             X-Anvillift-Weight-Versions: 1\r\n"
        );
        if self.events == 0 {
            let body = format!("{{\"done\":\"{id}\"}}");
            let head = format!("HTTP/1.1 200 OK\r\n{common}Content-Length: {}\r\n\r\n", body.len());
            stream.write_all(head.as_bytes()).ok()?;
            stream.write_all(body.as_bytes()).ok()?;
        } else {
            let head = format!(
                "HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).ok()?;
            // A stream that is taken up goes on after the last event that came.
            let last = request.header("Last-Event-Id").and_then(|text| text.parse::<u64>().ok());
            for event in last.unwrap_or(0) + 1..=self.events {
                let text = format!("id: {event}\ndata: {} part {event} of {id}\n\n", self.version);
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                stream.write_all(chunk.as_bytes()).ok()?;
                thread::sleep(Duration::from_millis(self.gap_ms));
                if self.is_cut(owner) {
                    reset(stream);
                    return None;
                }
            }
            stream.write_all(b"0\r\n\r\n").ok()?;
        }
        self.note(&format!("done {id}"));
        Some(())
    }
}

/// Whether the caller has closed the channel.
fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).ok();
    let closed = matches!(stream.peek(&mut [0; 1]), Ok(0));
    stream.set_nonblocking(false).ok();
    closed
}

/// Resets a channel when it is dropped, and ends it now.
fn reset(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger: [i32; 2] = [1, 0];
    // SAFETY: the socket is open, and the value has the size that is stated.
    unsafe {
        setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr().cast(), 8);
    }
}

/// The process at the other end of a channel on this machine, if it can be found.
fn owner_of(stream: &TcpStream) -> Option<u32> {
    let (peer, own) = (stream.peer_addr().ok()?, stream.local_addr().ok()?);
    let (peer, own) = (hex(peer), hex(own));
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let line = table.lines().find(|line| {
        let mut words = line.split_whitespace().skip(1);
        words.next() == Some(&peer) && words.next() == Some(&own)
    })?;
    let inode = line.split_whitespace().nth(9)?;
    let wanted = format!("socket:[{inode}]");
    for entry in fs::read_dir("/proc").ok()?.flatten() {
        let Ok(pid) = entry.file_name().to_string_lossy().parse::<u32>() else { continue };
        let Ok(name) = fs::read_to_string(entry.path().join("comm")) else { continue };
        if !name.starts_with("anvillift-plat") {
            continue;
        }
        let Ok(files) = fs::read_dir(entry.path().join("fd")) else { continue };
        for file in files.flatten() {
            if fs::read_link(file.path()).is_ok_and(|link| link.to_string_lossy() == wanted) {
                return Some(pid);
            }
        }
    }
    None
}

/// An address as the table of the kernel shows it.
fn hex(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else { return String::new() };
    let ip = u32::from_ne_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}
