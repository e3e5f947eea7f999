//! A small deployment on loopback addresses: the project's own programs as processes, and the
//! operator and callers of the platform as plain sockets. Standard library only.

#![allow(dead_code)]

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const REGIONS: [&str; 3] = ["oriente", "costa-sur", "altiplano"];
pub const ZONES: [&str; 3] = ["zacapa-a", "escuintla-a", "xela-a"];
pub const FRONT_PORT: u16 = 8144;
pub const READY_PORT: u16 = 8140;
pub const CONTROL_PORT: u16 = 8146;
pub const DIRECTORY_PORT: u16 = 8143;
pub const WORKER_PORT: u16 = 8080;
/// Bounds of the small installation, as its sheet gives them.
pub const BOUNDS: &str = "{\"seed_lag_s\":3,\"reuse_after_s\":2,\"connectivity_window_ms\":5000,\"ack_timeout_ms\":6000,\"catch_up_s\":4,\"drain_ms\":3000,\"grace_s\":8,\"loss_slack_ms\":200,\"configuration_apply_ms\":3000,\"rollback_slack_ms\":250,\"outer_bound_ms\":8000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\"budget_slack\":56,\"cold_overage\":1.5,\"cold_slack\":3,\"evacuation_ms\":5000,\"recovery_s\":12,\"pass_ms\":600,\"reuse_window_s\":10,\"ttl_max_s\":5}";

/// What was sent, answered and run, with the time since the start of the script.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("record.txt");
        Self { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:8.3} s  {text}").ok();
        println!("{at:8.3} s  {text}");
    }
}

/// Exits with 2: the case could not run.
pub fn cannot_run(record: &Record, reason: &str) -> ! {
    record.line(&format!("CANNOT RUN: {reason}"));
    std::process::exit(2);
}

pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn field(&self, name: &str) -> Option<String> {
        field(&self.head, name)
    }
}

pub fn field(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.trim().eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

/// Reads the head of a message; what follows it stays in `rest`.
pub fn read_head(stream: &mut TcpStream, rest: &mut Vec<u8>) -> std::io::Result<String> {
    loop {
        if let Some(end) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            let head: Vec<u8> = rest.drain(..end + 4).collect();
            return Ok(String::from_utf8_lossy(&head).into_owned());
        }
        let mut chunk = [0; 4096];
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        rest.extend_from_slice(&chunk[..count]);
    }
}

pub fn read_exact_from(
    stream: &mut TcpStream,
    rest: &mut Vec<u8>,
    length: usize,
) -> std::io::Result<Vec<u8>> {
    while rest.len() < length {
        let mut chunk = [0; 4096];
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        rest.extend_from_slice(&chunk[..count]);
    }
    Ok(rest.drain(..length).collect())
}

/// One call on a channel of its own; a second without a response is a failure.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes())?;
    let mut rest = Vec::new();
    let head = read_head(&mut stream, &mut rest)?;
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let length = field(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let body = read_exact_from(&mut stream, &mut rest, length)?;
    Ok(Answer { status, head, body })
}

/// A machine of the platform and the process that runs there.
pub struct Machine {
    pub name: String,
    pub role: &'static str,
    pub region: usize,
    pub ip: Ipv4Addr,
    pub child: Option<Child>,
}

pub struct Deployment {
    pub folder: PathBuf,
    pub network: (u8, u8),
    pub machines: Vec<Machine>,
    pub record: Record,
}

impl Deployment {
    pub fn new(record: &Record) -> Self {
        let folder =
            std::env::temp_dir().join(format!("anvillift-review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let network = unused_network();
        Self { folder, network, machines: Vec::new(), record: record.clone() }
    }

    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1, last)
    }

    pub fn address(&self, name: &str, port: u16) -> SocketAddr {
        let machine = self.machines.iter().find(|machine| machine.name == name).expect("a machine");
        SocketAddr::V4(SocketAddrV4::new(machine.ip, port))
    }

    /// Three cores and `entries` entry hosts in each region, started together for the first time.
    pub fn start_all(&mut self, entries: u8) {
        for region in 0..3 {
            self.add("core", region, 30 + region as u8);
        }
        for region in 0..3 {
            for number in 0..entries {
                self.add("entry", region, 50 + 10 * number + region as u8);
            }
        }
        let names: Vec<String> = self.machines.iter().map(|it| it.name.clone()).collect();
        let seeds = self.seeds(&["core-0", "core-1", "core-2"]);
        for name in names {
            self.start(&name, true, &seeds);
        }
    }

    /// Adds a machine without starting its process.
    pub fn add(&mut self, role: &'static str, region: usize, last: u8) -> String {
        let count = self
            .machines
            .iter()
            .filter(|machine| machine.role == role && machine.region == region)
            .count();
        let name = if count == 0 {
            format!("{role}-{region}")
        } else {
            format!("{role}-{region}-{count}")
        };
        let ip = self.ip(last);
        self.machines.push(Machine { name: name.clone(), role, region, ip, child: None });
        name
    }

    pub fn seeds(&self, names: &[&str]) -> Vec<SocketAddr> {
        names.iter().map(|name| self.address(name, CONTROL_PORT)).collect()
    }

    pub fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.join(format!("data-{name}"))
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start(&mut self, name: &str, bootstrap: bool, seeds: &[SocketAddr]) {
        let machine = self.machines.iter().find(|machine| machine.name == name).expect("a machine");
        let (role, region, ip) = (machine.role, machine.region, machine.ip);
        let is_core = role == "core";
        let listen = if is_core {
            format!("{{\"control\":\"{ip}:{CONTROL_PORT}\"}}")
        } else {
            format!(
                "{{\"front\":\"{ip}:{FRONT_PORT}\",\"ready\":\"{ip}:{READY_PORT}\",\"directory\":\"{ip}:{DIRECTORY_PORT}\"}}"
            )
        };
        let data = self.data_folder(name);
        if is_core {
            fs::create_dir_all(&data).expect("a data folder");
        }
        let data_text =
            if is_core { format!("{:?}", data.display().to_string()) } else { "null".to_owned() };
        let zones: Vec<String> =
            (0..3).map(|index| format!("\"{}\":\"{}\"", ZONES[index], REGIONS[index])).collect();
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let (class, cpu, memory, fds) =
            if is_core { ("core", 0.3, 256, 4096) } else { ("frontend", 0.25, 260, 4100) };
        let text = format!(
            "{{\"node_name\":\"{name}\",\"role\":\"{role}\",\"machine_class\":\"{class}\",\"serves\":[],\"ip_address\":\"{ip}\",\"zone\":\"{}\",\"region\":\"{}\",\"zones\":{{{}}},\"listen\":{listen},\"internal_ports\":[7660,7675],\"seeds\":[{}],\"bootstrap\":{bootstrap},\"failure_counted\":{is_core},\"limits\":{{\"cpu_share\":{cpu},\"cores\":1,\"memory_mb\":{memory},\"file_descriptors\":{fds},\"link_mbps\":1000.0,\"disk_mb\":128}},\"data_directory\":{data_text},\"discovery\":\"registration\",\"entry\":\"directory\",\"heartbeat_interval_ms\":1200,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"places\"],\"tolerate\":{{\"machines\":1,\"zones\":1,\"regions\":1}},\"bounds\":{BOUNDS},\"configuration_mode\":\"highest\"}}",
            ZONES[region],
            REGIONS[region],
            zones.join(","),
            seeds.join(",")
        );
        let settings = self.folder.join(format!("{name}.json"));
        fs::write(&settings, text).expect("a settings file");
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).expect("a log file");
        let child = Command::new("target/release/anvillift-platform")
            .arg(role)
            .env("ANVILLIFT_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        let child = match child {
            Ok(child) => child,
            Err(error) => {
                self.end();
                cannot_run(&self.record, &format!("cannot start {name}: {error}"));
            }
        };
        self.record.line(&format!("started {name} at {ip}, bootstrap {bootstrap}"));
        let machine = self.machines.iter_mut().find(|machine| machine.name == name).unwrap();
        machine.child = Some(child);
    }

    pub fn pid(&self, name: &str) -> u32 {
        let machine = self.machines.iter().find(|machine| machine.name == name).expect("a machine");
        machine.child.as_ref().expect("a process").id()
    }

    /// Sends a signal to a process that this script started.
    pub fn signal(&self, name: &str, signal: &str) {
        let pid = self.pid(name).to_string();
        self.record.line(&format!("signal {signal} to {name}"));
        Command::new("kill").arg(format!("-{signal}")).arg(pid).status().ok();
    }

    /// SIGKILL, and waits for the end.
    pub fn kill(&mut self, name: &str) {
        self.record.line(&format!("signal KILL to {name}"));
        let machine = self.machines.iter_mut().find(|machine| machine.name == name).unwrap();
        if let Some(mut child) = machine.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    /// Waits for a process to end by itself, and kills it after `grace`.
    pub fn wait_end(&mut self, name: &str, grace: Duration) {
        let machine = self.machines.iter_mut().find(|machine| machine.name == name).unwrap();
        let Some(mut child) = machine.child.take() else { return };
        let until = Instant::now() + grace;
        while Instant::now() < until {
            if let Ok(Some(status)) = child.try_wait() {
                self.record.line(&format!("{name} has ended: {status}"));
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        child.kill().ok();
        child.wait().ok();
        self.record.line(&format!("{name} killed after its grace period"));
    }

    pub fn wipe(&self, name: &str) {
        fs::remove_dir_all(self.data_folder(name)).ok();
        self.record.line(&format!("the disk of {name} is empty"));
    }

    /// Waits until the entry hosts say that they are ready.
    pub fn wait_ready(&mut self) {
        let until = Instant::now() + Duration::from_secs(20);
        let entries: Vec<String> = self
            .machines
            .iter()
            .filter(|machine| machine.role == "entry" && machine.child.is_some())
            .map(|machine| machine.name.clone())
            .collect();
        for name in entries {
            loop {
                let answer = call(
                    self.address(&name, READY_PORT),
                    "GET",
                    "/-/readiness",
                    "",
                    Duration::from_secs(1),
                );
                if answer.is_ok_and(|answer| answer.status == 200) {
                    break;
                }
                if Instant::now() > until {
                    self.end();
                    cannot_run(&self.record, &format!("{name} is not ready"));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.line("all entry hosts are ready");
    }

    /// An operator's call: it tries the cores in turn, follows a 307 twice, and moves on after a
    /// failure, a 5xx, a 408 or 429, or a second without a response, until `patience` is over.
    pub fn operate(
        &self,
        cores: &[&str],
        method: &str,
        path: &str,
        body: &str,
        patience: Duration,
    ) -> Option<Answer> {
        let until = Instant::now() + patience;
        let mut pause = Duration::from_millis(50);
        let mut turn = 0;
        while Instant::now() < until {
            let mut address = self.address(cores[turn % cores.len()], CONTROL_PORT);
            turn += 1;
            for _ in 0..3 {
                let answer = match call(address, method, path, body, Duration::from_secs(1)) {
                    Ok(answer) => answer,
                    Err(error) => {
                        let kind = error.kind();
                        self.record
                            .line(&format!("operator: {method} {path} at {address}: {kind}"));
                        break;
                    }
                };
                let status = answer.status;
                self.record.line(&format!("operator: {method} {path} at {address}: {status}"));
                if status == 307 {
                    let location = answer.field("location").unwrap_or_default();
                    let target = location.trim_start_matches("http://");
                    let Some(next) = target.split('/').next().and_then(|it| it.parse().ok()) else {
                        break;
                    };
                    address = next;
                    continue;
                }
                if status < 500 && status != 408 && status != 429 {
                    return Some(answer);
                }
                break;
            }
            thread::sleep(pause);
            pause = (pause * 3 / 2).min(Duration::from_millis(400));
        }
        None
    }

    /// Ends all processes and removes the temporary folder, unless `KEEP` is set.
    pub fn end(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut child) = machine.child.take() {
                child.kill().ok();
                child.wait().ok();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            fs::remove_dir_all(&self.folder).ok();
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}

/// Whether the script runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Second and third octet of a loopback network in which nothing listens.
fn unused_network() -> (u8, u8) {
    let start = std::process::id() % 200;
    for number in 0..200 {
        let second = 20 + ((start + number) % 200) as u8;
        let ports = [(30, CONTROL_PORT), (50, FRONT_PORT), (101, WORKER_PORT), (30, 9464)];
        let is_free = ports.iter().all(|(last, port)| {
            TcpListener::bind((Ipv4Addr::new(127, second, 77, *last), *port)).is_ok()
        });
        if is_free {
            return (second, 77);
        }
    }
    (19, 77)
}
