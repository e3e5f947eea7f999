//! Stand-in workers as processes, and requesters.

#![allow(dead_code)]

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::deployment::{
    CONTROL_PORT, Deployment, Record, WORKER_PORT, ZONES, field, read_exact_from, read_head,
};

/// A configuration with resumable streams (`/consulta/`), streams (`/plan/`), commands (`/orden/`)
/// and reads (`/estado/`), as on the sheet of the small installation.
pub fn document(version: u64) -> String {
    let route = |name: &str,
                 prefix: &str,
                 kind: &str,
                 timeout: u64,
                 target: u64,
                 service: &str,
                 attempts: u32,
                 resumable: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"riego.example\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout},\"target_latency_ms\":{target},\"priority\":1,\"service\":\"{service}\",\"attempts\":{attempts},\"session_affinity\":false,\"resumable\":{resumable},\"gap_target_ms\":400,\"home_regions\":[]}}"
        )
    };
    let routes = [
        route("consulta", "/consulta/", "streaming", 5000, 800, "asistente", 2, true),
        route("plan", "/plan/", "streaming", 8000, 1200, "asistente", 1, false),
        route("orden", "/orden/", "non_idempotent", 4000, 500, "control", 1, false),
        route("estado", "/estado/", "idempotent", 4000, 500, "control", 2, false),
    ];
    let service = |name: &str, limit: u32| {
        format!(
            "{{\"name\":\"{name}\",\"health_check_path\":\"/health\",\"connection_limit\":{limit},\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{}],\"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        service("asistente", 370),
        service("control", 110)
    )
}

/// The same configuration with one home region of the resumable streams.
pub fn document_with_home(version: u64, home: &str) -> String {
    // The route of these streams comes first.
    let homes = format!("\"home_regions\":[\"{home}\"]");
    document(version).replacen("\"home_regions\":[]", &homes, 1)
}

/// The stand-in workers of a script.
pub struct Workers {
    running: Vec<(String, Child)>,
    runs: PathBuf,
    record: Record,
}

impl Workers {
    pub fn new(deployment: &Deployment) -> Self {
        let runs = deployment.folder.join("runs.txt");
        Self { running: Vec::new(), runs, record: deployment.record.clone() }
    }

    pub fn address(deployment: &Deployment, last: u8) -> SocketAddr {
        SocketAddr::from((deployment.ip(last), WORKER_PORT))
    }

    pub fn start(
        &mut self,
        deployment: &Deployment,
        id: &str,
        service: &str,
        region: usize,
        last: u8,
        version: &str,
        variables: &[(&str, &str)],
    ) {
        let controls: Vec<String> = ["core-0", "core-1", "core-2"]
            .iter()
            .map(|core| deployment.address(core, CONTROL_PORT).to_string())
            .collect();
        let child = Command::new("target/review-3/worker")
            .args([
                id,
                service,
                &Self::address(deployment, last).to_string(),
                ZONES[region],
                version,
            ])
            .args(["64", &controls.join(",")])
            .arg(&self.runs)
            .envs(variables.iter().copied())
            .stdin(Stdio::null())
            .spawn();
        let Ok(child) = child else {
            crate::deployment::cannot_run(&self.record, "cannot start a worker");
        };
        self.record.line(&format!("worker {id} started, version {version}, {variables:?}"));
        self.running.push((id.to_owned(), child));
    }

    /// The nine workers of the sheet: four, three and two in the regions, of version v1. Their ids are
    /// `i-REGION-NUMBER`.
    pub fn start_nine(&mut self, deployment: &Deployment, variables: &[(&str, &str)]) {
        for (region, count) in [4, 3, 2].into_iter().enumerate() {
            for number in 0..count {
                let id = format!("i-{region}-{number}");
                let last = Self::last_octet(region, number);
                self.start(deployment, &id, "asistente", region, last, "v1", variables);
            }
        }
    }

    pub fn last_octet(region: usize, number: u8) -> u8 {
        101 + 10 * region as u8 + number
    }

    pub fn kill(&mut self, id: &str) {
        if let Some(position) = self.running.iter().position(|(name, _)| name == id) {
            let (_, mut child) = self.running.remove(position);
            child.kill().ok();
            child.wait().ok();
            self.record.line(&format!("worker {id} killed"));
        }
    }

    pub fn signal(&self, id: &str, signal: &str) {
        if let Some((_, child)) = self.running.iter().find(|(name, _)| name == id) {
            Command::new("kill")
                .arg(format!("-{signal}"))
                .arg(child.id().to_string())
                .status()
                .ok();
            self.record.line(&format!("signal {signal} to worker {id}"));
        }
    }

    /// What the workers ran so far, a line each.
    pub fn runs(&self) -> Vec<String> {
        let text = fs::read_to_string(&self.runs).unwrap_or_default();
        text.lines().map(str::to_owned).collect()
    }

    pub fn copy_runs(&self, record: &Record) {
        for line in self.runs() {
            record.line(&format!("worker: {line}"));
        }
    }

    pub fn end(&mut self) {
        for (_, mut child) in self.running.drain(..) {
            child.kill().ok();
            child.wait().ok();
        }
    }
}

#[derive(Debug, Default)]
pub struct StreamAnswer {
    pub status: u16,
    /// Data of the events.
    pub events: Vec<String>,
    /// Id of the last event.
    pub last_id: u64,
    pub is_complete: bool,
}

/// Pause after which a requester abandons a stream: the longest of two seconds, four times the
/// target latency of 800 ms and eight times the pause of 400 ms.
pub const ABANDON_AFTER: Duration = Duration::from_millis(3_200);

/// Time limit of a requester.
pub const TIME_LIMIT: Duration = Duration::from_millis(5_000);

/// Sends a resumable stream and reads its events, until it ends, breaks off or pauses for too long.
pub fn stream(front: SocketAddr, id: &str) -> StreamAnswer {
    let mut answer = StreamAnswer::default();
    let _ = read_stream(front, id, TIME_LIMIT, "", &mut answer);
    answer
}

/// Takes a stream up that another request began.
pub fn take_up(
    front: SocketAddr,
    id: &str,
    left: Duration,
    began: &str,
    last_id: u64,
) -> StreamAnswer {
    let mut answer = StreamAnswer::default();
    let fields = format!("Resumes: {began}\r\nLast-Event-Id: {last_id}\r\n");
    let _ = read_stream(front, id, left, &fields, &mut answer);
    answer
}

fn read_stream(
    front: SocketAddr,
    id: &str,
    left: Duration,
    fields: &str,
    answer: &mut StreamAnswer,
) -> std::io::Result<()> {
    let mut socket = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(ABANDON_AFTER))?;
    let request = format!(
        "POST /consulta/1 HTTP/1.1\r\nHost: riego.example\r\nX-Anvillift-Request-Id: {id}\r\nX-Anvillift-Deadline: {}\r\nX-Anvillift-Model: m\r\nX-Anvillift-Token-Counts: 291,45\r\nX-Anvillift-Prompt-Prefix: 5c1e07a2:55,{:x}:236\r\n{fields}Content-Length: 4\r\n\r\nagua",
        left.as_millis(),
        id.bytes().fold(7u64, |hash, byte| hash.wrapping_mul(31).wrapping_add(byte.into()))
    );
    socket.write_all(request.as_bytes())?;
    let mut rest = Vec::new();
    let head = read_head(&mut socket, &mut rest)?;
    answer.status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    if !field(&head, "transfer-encoding").is_some_and(|it| it == "chunked") {
        return Ok(());
    }
    let mut text = String::new();
    loop {
        while !rest.contains(&b'\n') {
            let mut chunk = [0; 4096];
            let count = socket.read(&mut chunk)?;
            if count == 0 {
                return Ok(());
            }
            rest.extend_from_slice(&chunk[..count]);
        }
        let end = rest.iter().position(|byte| *byte == b'\n').unwrap();
        let line: Vec<u8> = rest.drain(..=end).collect();
        let size = usize::from_str_radix(String::from_utf8_lossy(&line).trim(), 16).unwrap_or(0);
        let data = read_exact_from(&mut socket, &mut rest, size + 2)?;
        if size == 0 {
            answer.is_complete = true;
            return Ok(());
        }
        text.push_str(&String::from_utf8_lossy(&data[..size]));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            if let Some(data) = event.lines().find_map(|line| line.strip_prefix("data: ")) {
                answer.events.push(data.to_owned());
            }
            let id = event.lines().find_map(|line| line.strip_prefix("id: "));
            answer.last_id = id.and_then(|id| id.parse().ok()).unwrap_or(answer.last_id);
        }
    }
}
