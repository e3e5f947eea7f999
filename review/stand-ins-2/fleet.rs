//! The fleet of a case: machines with settings files, their processes, and the operator.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::{http, record};

/// Processes that the case has started, by id.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the process and all that it has started when the case takes too long.
pub fn exit_after(seconds: u64) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        record::line("VERDICT the case could not run: it took too long");
        end_all();
        std::process::exit(2);
    });
}

pub fn signal(pid: u32, name: &str) {
    Command::new("/bin/sh").args(["-c", &format!("kill -{name} {pid}")]).status().ok();
}

/// Kills all processes that the case has started and not ended yet.
pub fn end_all() {
    for pid in STARTED.lock().unwrap().drain(..) {
        signal(pid, "KILL 2>/dev/null");
    }
}

fn remember(pid: u32) {
    STARTED.lock().unwrap().push(pid);
}

fn forget(pid: u32) {
    STARTED.lock().unwrap().retain(|other| *other != pid);
}

/// A process of the case.
pub struct Process {
    child: Child,
}

impl Process {
    pub fn start(mut command: Command, log: &PathBuf) -> Result<Self, String> {
        let file = File::options().create(true).append(true).open(log).map_err(text)?;
        let errors = file.try_clone().map_err(text)?;
        let child = command
            .stdin(Stdio::null())
            .stdout(Stdio::from(file))
            .stderr(Stdio::from(errors))
            .spawn()
            .map_err(text)?;
        remember(child.id());
        Ok(Self { child })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        forget(self.child.id());
    }
}

fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

/// What differs between cases.
pub struct Plan {
    /// Region of each zone.
    pub zones: Vec<(&'static str, &'static str)>,
    /// Zones of the entry machines.
    pub entries: Vec<&'static str>,
    /// Zones of the core machines.
    pub cores: Vec<&'static str>,
    /// JSON of the bounds.
    pub bounds: &'static str,
    pub heartbeat_ms: u64,
}

/// One machine with one process.
pub struct Machine {
    pub name: String,
    role: &'static str,
    pub zone: &'static str,
    pub region: &'static str,
    pub ip: String,
    settings: PathBuf,
    log: PathBuf,
    pub process: Option<Process>,
}

/// The machines of a case and its temporary folder.
pub struct Fleet {
    pub folder: PathBuf,
    net: String,
    plan: Plan,
    pub ports: Ports,
    pub entries: Vec<Machine>,
    pub cores: Vec<Machine>,
}

/// Ports that are the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    internal: u16,
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub directory: u16,
    pub worker: u16,
}

/// Port of the metrics address in the deploy file.
const METRICS_PORT: u16 = 9_464;

impl Fleet {
    pub fn new(plan: Plan) -> Result<Self, String> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("anvillift-review-{pid}"));
        fs::create_dir_all(&folder).map_err(text)?;
        let (net, ports) = free_net(pid)?;
        let mut fleet = Self { folder, net, plan, ports, entries: Vec::new(), cores: Vec::new() };
        let (entries, cores) = (fleet.plan.entries.clone(), fleet.plan.cores.clone());
        for (index, zone) in cores.iter().enumerate() {
            let machine = fleet.machine("core", index, zone, 10);
            fleet.cores.push(machine);
        }
        for (index, zone) in entries.iter().enumerate() {
            let machine = fleet.machine("entry", index, zone, 30);
            fleet.entries.push(machine);
        }
        Ok(fleet)
    }

    fn machine(&self, role: &'static str, index: usize, zone: &'static str, first: usize) -> Machine {
        let name = format!("{role}-{zone}-{}", index + 1);
        let region = self.plan.zones.iter().find(|(other, _)| *other == zone).unwrap().1;
        Machine {
            ip: format!("{}.{}", self.net, first + index),
            settings: self.folder.join(format!("{name}.json")),
            log: self.folder.join(format!("{name}.log")),
            name,
            role,
            zone,
            region,
            process: None,
        }
    }

    /// Starts all machines for the first time, all within a moment.
    pub fn start(&mut self) -> Result<(), String> {
        self.start_all(true)
    }

    /// Starts all machines, with the settings of a first or a later start.
    pub fn start_all(&mut self, bootstrap: bool) -> Result<(), String> {
        for index in 0..self.cores.len() {
            self.start_machine("core", index, bootstrap)?;
        }
        for index in 0..self.entries.len() {
            self.start_machine("entry", index, bootstrap)?;
        }
        Ok(())
    }

    pub fn start_machine(
        &mut self,
        role: &str,
        index: usize,
        bootstrap: bool,
    ) -> Result<(), String> {
        let machine = if role == "core" { &self.cores[index] } else { &self.entries[index] };
        fs::write(&machine.settings, self.settings(machine, bootstrap)).map_err(text)?;
        let mut command = Command::new("target/release/anvillift-platform");
        command.arg(machine.role).env_clear().env("ANVILLIFT_CONFIG", &machine.settings);
        let process = Process::start(command, &machine.log)?;
        record::line(&format!("start {} pid {}", machine.name, process.pid()));
        let machine =
            if role == "core" { &mut self.cores[index] } else { &mut self.entries[index] };
        machine.process = Some(process);
        Ok(())
    }

    /// Kills the processes of all machines at the same moment.
    pub fn kill_all(&mut self) {
        for machine in self.entries.iter_mut().chain(&mut self.cores) {
            if let Some(mut process) = machine.process.take() {
                process.kill();
            }
        }
        record::line("killed all processes of the system");
    }

    fn settings(&self, machine: &Machine, bootstrap: bool) -> String {
        let Ports { internal, front, ready, control, directory, .. } = self.ports;
        let ip = &machine.ip;
        let zones: Vec<String> =
            self.plan.zones.iter().map(|(zone, region)| format!("\"{zone}\":\"{region}\"")).collect();
        let seeds: Vec<String> =
            self.cores.iter().take(3).map(|core| format!("\"{}:{control}\"", core.ip)).collect();
        let is_core = machine.role == "core";
        let data = self.folder.join(format!("{}-data", machine.name));
        let (class, serves, listen, data) = if is_core {
            fs::create_dir_all(&data).ok();
            (
                "core",
                "\"control_plane\"",
                format!("{{\"control\":\"{ip}:{control}\"}}"),
                format!("\"{}\"", data.display()),
            )
        } else {
            (
                "frontend",
                "\"frontend\",\"directory\"",
                format!(
                    "{{\"front\":\"{ip}:{front}\",\"ready\":\"{ip}:{ready}\",\"directory\":\"{ip}:{directory}\"}}"
                ),
                "null".to_owned(),
            )
        };
        format!(
            "{{\"node_name\":\"{}\",\"role\":\"{}\",\"machine_class\":\"{class}\",\"serves\":[{serves}],\
             \"ip_address\":\"{ip}\",\"zone\":\"{}\",\"region\":\"{}\",\"zones\":{{{}}},\
             \"listen\":{listen},\"internal_ports\":[{internal},{}],\"seeds\":[{}],\
             \"bootstrap\":{bootstrap},\"failure_counted\":{is_core},\
             \"limits\":{{\"cpu_share\":0.3,\"cores\":1,\"memory_mb\":260,\"file_descriptors\":4100,\
             \"link_mbps\":1000.0,\"disk_mb\":128}},\"data_directory\":{data},\
             \"discovery\":\"registration\",\"entry\":\"directory\",\"heartbeat_interval_ms\":{},\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"places\"],\
             \"tolerate\":{{\"machines\":1,\"zones\":1,\"regions\":1}},\"bounds\":{},\
             \"configuration_mode\":\"highest\"}}",
            machine.name,
            machine.role,
            machine.zone,
            machine.region,
            zones.join(","),
            internal + 15,
            seeds.join(","),
            self.plan.heartbeat_ms,
            self.plan.bounds,
        )
    }

    /// Control addresses of the core machines, separated by commas.
    pub fn control_addresses(&self) -> String {
        let addresses: Vec<String> =
            self.cores.iter().map(|core| format!("{}:{}", core.ip, self.ports.control)).collect();
        addresses.join(",")
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        format!("{}:{}", self.entries[index].ip, self.ports.front).parse().unwrap()
    }

    pub fn directory(&self, index: usize) -> SocketAddr {
        format!("{}:{}", self.entries[index].ip, self.ports.directory).parse().unwrap()
    }

    /// Address of the worker machine with this number.
    pub fn worker_address(&self, number: usize) -> String {
        format!("{}.{}:{}", self.net, 100 + number, self.ports.worker)
    }

    /// Sends a configuration until it is acknowledged, to one core after the other, as the
    /// operator does. Returns when the ack came, in Unix milliseconds.
    pub fn configure(&self, document: &str, timeout: Duration) -> Result<u64, String> {
        let until = Instant::now() + timeout;
        let mut turn = 0;
        while Instant::now() < until {
            let core = &self.cores[turn % self.cores.len()];
            turn += 1;
            let mut address = format!("{}:{}", core.ip, self.ports.control);
            for _ in 0..3 {
                let request = http::simple("POST", "/-/configuration/replace", document);
                let deadline = Instant::now() + Duration::from_millis(2_500);
                let Ok(answer) = http::call(address.parse().map_err(text)?, &request, deadline)
                else {
                    break;
                };
                record::line(&format!("configuration sent to {address}: {}", answer.status()));
                match answer.status() {
                    200 => return Ok(record::unix_ms()),
                    307 => {
                        let location = answer.header("location").unwrap_or_default();
                        let rest = location.trim_start_matches("http://");
                        address = rest.split('/').next().unwrap_or_default().to_owned();
                    }
                    400..=499 => return Err(format!("configuration refused: {}", answer.status())),
                    _ => break,
                }
            }
            thread::sleep(Duration::from_millis(150));
        }
        Err("no core acknowledged the configuration".to_owned())
    }

    /// Waits until all entry machines say that they are ready.
    pub fn wait_until_ready(&self, timeout: Duration) -> Result<(), String> {
        let until = Instant::now() + timeout;
        for machine in &self.entries {
            let address = format!("{}:{}", machine.ip, self.ports.ready).parse().map_err(text)?;
            loop {
                let request = http::simple("GET", "/-/readiness", "");
                let deadline = Instant::now() + Duration::from_millis(500);
                if http::call(address, &request, deadline).is_ok_and(|it| it.status() == 200) {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("{} is not ready", machine.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        record::line("all entry machines are ready");
        Ok(())
    }

    /// Log lines of a machine that contain a text.
    pub fn log_lines(&self, machine: &Machine, wanted: &str) -> Vec<String> {
        let log = fs::read_to_string(&machine.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(wanted)).map(str::to_owned).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        end_all();
        if std::env::var("KEEP_LOGS").is_err() {
            fs::remove_dir_all(&self.folder).ok();
        }
    }
}

/// A part of the loopback network and ports on it that nothing listens on.
fn free_net(pid: u32) -> Result<(String, Ports), String> {
    for attempt in 0..50 {
        let net = format!("127.{}.{}", 20 + (pid / 200 + attempt) % 200, pid % 200 + 20);
        let first = 21_000 + ((pid + attempt * 37) % 300) as u16 * 32;
        let wanted: Vec<u16> = (first..first + 24).chain([METRICS_PORT]).collect();
        let is_free = |host: usize| {
            wanted.iter().all(|port| TcpListener::bind(format!("{net}.{host}:{port}")).is_ok())
        };
        if [10, 11, 12, 30, 31, 32, 33, 34].iter().all(|host| is_free(*host)) {
            let ports = Ports {
                internal: first,
                front: first + 16,
                ready: first + 17,
                control: first + 18,
                directory: first + 19,
                worker: first + 20,
            };
            return Ok((net, ports));
        }
    }
    Err("no free ports".to_owned())
}

/// Workers as separate processes, by name.
#[derive(Default)]
pub struct Workers {
    processes: BTreeMap<String, Process>,
    pub logs: BTreeMap<String, PathBuf>,
}

/// Settings of a worker process.
#[derive(Clone)]
pub struct WorkerPlan {
    /// Name of the machine in the record; the id is new at each start.
    pub name: String,
    pub address: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u64,
    /// Time for which it says that it is cold after this start, in milliseconds.
    pub cold_ms: u64,
    /// Time to the first byte of an answer, in milliseconds.
    pub first_ms: u64,
    /// Events of a stream and the pause between them, in milliseconds.
    pub events: u64,
    pub gap_ms: u64,
    /// Version of its software.
    pub version: &'static str,
    /// Whether it starts again under the id that it had.
    pub keeps_id: bool,
    /// Time by which its first status report comes late.
    pub late_ms: u64,
}

impl Default for WorkerPlan {
    fn default() -> Self {
        Self {
            name: String::new(),
            address: String::new(),
            service: "mestre",
            zone: "estrela-a",
            slots: 16,
            cold_ms: 0,
            first_ms: 30,
            events: 0,
            gap_ms: 0,
            version: "v1",
            keeps_id: false,
            late_ms: 0,
        }
    }
}

impl Workers {
    pub fn start(&mut self, fleet: &Fleet, plan: &WorkerPlan, boot: u32) -> Result<(), String> {
        let log = fleet.folder.join(format!("{}.ran", plan.name));
        let own = std::env::current_exe().map_err(text)?;
        let mut command = Command::new(own);
        command
            .arg("worker")
            .args([
                if plan.keeps_id { plan.name.clone() } else { format!("{}-{boot}", plan.name) },
                plan.address.clone(),
                plan.service.to_owned(),
                plan.zone.to_owned(),
            ])
            .args([plan.slots, plan.cold_ms, plan.first_ms, plan.events, plan.gap_ms].map(|it| it.to_string()))
            .arg(fleet.plan.heartbeat_ms.to_string())
            .arg(fleet.control_addresses())
            .arg(&log)
            .arg(fleet.folder.join("cut"))
            .args([plan.version.to_owned(), plan.late_ms.to_string()]);
        let process = Process::start(command, &fleet.folder.join(format!("{}.log", plan.name)))?;
        record::line(&format!(
            "start worker {} boot {boot} version {} pid {}",
            plan.name,
            plan.version,
            process.pid()
        ));
        self.processes.insert(plan.name.clone(), process);
        self.logs.insert(plan.name.clone(), log);
        Ok(())
    }

    pub fn kill(&mut self, name: &str) {
        if let Some(mut process) = self.processes.remove(name) {
            process.kill();
            record::line(&format!("worker {name} has ended"));
        }
    }

    /// What workers have written: time, worker, and the words of the line.
    pub fn runs(&self) -> Vec<(u64, String, Vec<String>)> {
        let mut runs = Vec::new();
        for (name, log) in &self.logs {
            let lines = fs::read_to_string(log).unwrap_or_default();
            for line in lines.lines() {
                let mut words = line.split(' ').map(str::to_owned);
                let at_ms = words.next().and_then(|text| text.parse().ok()).unwrap_or(0);
                runs.push((at_ms, name.clone(), words.collect()));
            }
        }
        runs.sort();
        runs
    }

    /// Writes to the record what the workers got, ran and finished.
    pub fn record_runs(&self) {
        for (at_ms, worker, words) in self.runs() {
            record::line_at(at_ms, &format!("worker {worker} {}", words.join(" ")));
        }
    }
}
