//! The platform: machines on loopback addresses, the processes of the deploy file on them, the
//! operator, and the memory limit.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{self, Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// The program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/anvillift-platform";
pub const REGIONS: [&str; 3] = ["oriente", "costa-sur", "altiplano"];
pub const ZONES: [&str; 3] = ["zacapa-a", "escuintla-a", "xela-a"];
const FRONT_PORT: u16 = 8144;
const READY_PORT: u16 = 8140;
const DIRECTORY_PORT: u16 = 8143;
const CONTROL_PORT: u16 = 8146;
pub const WORKER_PORT: u16 = 8080;
/// Memory limits of an entry and of a core machine, as on the sheet of the site.
pub const MEMORY_MB: u64 = 260;
const CORE_MEMORY_MB: u64 = 256;
/// Interval of the workers' reports, as in the example of the settings.
pub const HEARTBEAT_MS: u64 = 1_200;
/// Delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A process and the times at which the platform ended it.
struct Process {
    child: Option<Child>,
    ends: Vec<Instant>,
}

const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(id: i32, signal: i32) -> i32;
}

/// Number of a region's second entry machine among the machines that the platform starts.
const SECOND_ENTRY: usize = 3;

/// Three regions with one core and one entry machine each; the first region may have a second
/// entry machine.
pub struct Fleet {
    network: (u8, u8),
    folder: PathBuf,
    processes: Mutex<BTreeMap<String, Process>>,
    is_over: AtomicBool,
    record: Record,
}

impl Fleet {
    /// Starts all processes, sends the first configuration and waits until every entry machine
    /// is ready.
    pub fn start(record: &Record, configuration: &str) -> Result<Arc<Self>, String> {
        let folder = std::env::temp_dir().join(format!("anvillift-review-{}", process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let fleet = Arc::new(Self {
            network: unused_network().ok_or("no unused loopback addresses")?,
            folder,
            processes: Mutex::default(),
            is_over: AtomicBool::new(false),
            record: record.clone(),
        });
        if let Err(reason) = fleet.prepare(configuration) {
            fleet.stop();
            return Err(reason);
        }
        Ok(fleet)
    }

    fn prepare(&self, configuration: &str) -> Result<(), String> {
        for region in 0..REGIONS.len() {
            self.spawn("core", region, true)?;
            self.spawn("entry", region, true)?;
        }
        self.until("the first configuration is accepted", || {
            self.operator("POST", "/-/configuration/replace", configuration) == Some(200)
        })?;
        for region in 0..REGIONS.len() {
            let address = self.address(self.entry_ip(region), READY_PORT);
            self.until("an entry machine is ready", || {
                let answer = http::call(address, "GET", "/-/readiness", "", CALL_TIMEOUT);
                answer.is_ok_and(|(head, _)| head.status() == 200)
            })?;
        }
        Ok(())
    }

    /// Starts the second entry machine of the first region, and waits until it is ready.
    pub fn start_second_entry(&self) -> Result<(), String> {
        self.spawn("entry", SECOND_ENTRY, false)?;
        let address = self.address(self.entry_ip(SECOND_ENTRY), READY_PORT);
        self.until("the second entry machine is ready", || {
            let answer = http::call(address, "GET", "/-/readiness", "", CALL_TIMEOUT);
            answer.is_ok_and(|(head, _)| head.status() == 200)
        })
    }

    /// Kills processes, named ROLE and machine number, at the same moment, and starts them again
    /// after a delay.
    pub fn kill_and_restart(
        &self,
        machines: &[(&'static str, usize)],
        delay: Duration,
    ) -> Result<(), String> {
        {
            let mut processes = self.processes.lock().unwrap();
            for (role, number) in machines {
                let process = processes.get_mut(&name_of(role, *number));
                if let Some(child) = process.and_then(|process| process.child.as_mut()) {
                    child.kill().map_err(|error| error.to_string())?;
                }
            }
            for (role, number) in machines {
                let process = processes.get_mut(&name_of(role, *number));
                if let Some(mut child) = process.and_then(|process| process.child.take()) {
                    child.wait().ok();
                }
            }
        }
        thread::sleep(delay);
        machines.iter().try_for_each(|(role, number)| self.spawn(role, *number, false))
    }

    /// Stops a process with SIGTERM, and starts it again once it has exited.
    pub fn stop_and_restart(&self, role: &'static str, number: usize) -> Result<(), String> {
        let name = name_of(role, number);
        let child = self.processes.lock().unwrap().get_mut(&name).and_then(|it| it.child.take());
        let mut child = child.ok_or("the process does not run")?;
        // SAFETY: `kill` only sends a signal, to a process that was started here.
        unsafe { kill(child.id() as i32, SIGTERM) };
        child.wait().map_err(|error| error.to_string())?;
        self.spawn(role, number, false)
    }

    fn until(&self, what: &str, mut holds: impl FnMut() -> bool) -> Result<(), String> {
        let began = Instant::now();
        while began.elapsed() < START_TIMEOUT {
            if holds() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("not within {START_TIMEOUT:?}: {what}"))
    }

    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1, last)
    }

    fn core_ip(&self, region: usize) -> Ipv4Addr {
        self.ip(30 + region as u8)
    }

    fn entry_ip(&self, number: usize) -> Ipv4Addr {
        self.ip(40 + number as u8)
    }

    /// Address for callers of an entry machine.
    pub fn front_address(&self, number: usize) -> SocketAddr {
        self.address(self.entry_ip(number), FRONT_PORT)
    }

    fn address(&self, ip: Ipv4Addr, port: u16) -> SocketAddr {
        SocketAddr::from((ip, port))
    }

    pub fn control_address(&self, region: usize) -> SocketAddr {
        self.address(self.core_ip(region), CONTROL_PORT)
    }

    /// The first address that the directory names to a caller of a region, who asks the entry
    /// machine with this number.
    pub fn resolve(&self, region: usize, asked: usize) -> Option<SocketAddr> {
        let path = format!(
            "/-/resolve?name=riego.example&region={}&zone={}",
            REGIONS[region], ZONES[region]
        );
        let address = self.address(self.entry_ip(asked), DIRECTORY_PORT);
        let (head, body) = http::call(address, "GET", &path, "", Duration::from_secs(1)).ok()?;
        let text = String::from_utf8_lossy(&body).into_owned();
        let first = text.split('[').nth(1)?.split('"').nth(1)?;
        (head.status() == 200).then(|| first.parse().ok())?
    }

    fn spawn(&self, role: &str, number: usize, bootstrap: bool) -> Result<(), String> {
        let name = name_of(role, number);
        let settings = self.folder.join(format!("{name}.json"));
        let text = self.settings(role, number, &name, bootstrap);
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log);
        let log = log.map_err(|error| error.to_string())?;
        let child = Command::new(PROGRAM)
            .arg(role)
            .env("ANVILLIFT_CONFIG", settings)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))?;
        let mut processes = self.processes.lock().unwrap();
        let process = processes.entry(name).or_insert(Process { child: None, ends: Vec::new() });
        process.child = Some(child);
        Ok(())
    }

    fn settings(&self, role: &str, number: usize, name: &str, bootstrap: bool) -> String {
        let is_core = role == "core";
        let ip = if is_core { self.core_ip(number) } else { self.entry_ip(number) };
        let region = number % REGIONS.len();
        let listen = if is_core {
            format!("{{\"control\":\"{ip}:{CONTROL_PORT}\"}}")
        } else {
            format!(
                "{{\"front\":\"{ip}:{FRONT_PORT}\",\"ready\":\"{ip}:{READY_PORT}\",\
                 \"directory\":\"{ip}:{DIRECTORY_PORT}\"}}"
            )
        };
        let seeds: Vec<String> =
            (0..3).map(|region| format!("\"{}\"", self.control_address(region))).collect();
        let zones: Vec<String> = ZONES
            .iter()
            .zip(REGIONS)
            .map(|(zone, region)| format!("\"{zone}\":\"{region}\""))
            .collect();
        let data = match is_core {
            true => {
                format!("{:?}", self.folder.join(format!("data-{region}")).display().to_string())
            }
            false => "null".to_owned(),
        };
        format!(
            "{{\"node_name\":\"{name}\",\"role\":\"{role}\",\"machine_class\":\"{}\",\
             \"serves\":[],\"ip_address\":\"{ip}\",\"zone\":\"{}\",\"region\":\"{}\",\
             \"zones\":{{{}}},\"listen\":{listen},\"internal_ports\":[7660,7675],\
             \"seeds\":[{}],\"bootstrap\":{bootstrap},\"failure_counted\":{is_core},\
             \"limits\":{{\"cpu_share\":0.25,\"cores\":1,\"memory_mb\":{},\
             \"file_descriptors\":4100,\"link_mbps\":1000.0,\"disk_mb\":128}},\
             \"data_directory\":{data},\"discovery\":\"registration\",\"entry\":\"directory\",\
             \"heartbeat_interval_ms\":{HEARTBEAT_MS},\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\
             \"engine\",\"stream\",\"places\"],\
             \"tolerate\":{{\"machines\":1,\"zones\":1,\"regions\":1}},\
             \"bounds\":{{\"seed_lag_s\":3,\"reuse_after_s\":2,\"connectivity_window_ms\":5000,\
             \"ack_timeout_ms\":6000,\"catch_up_s\":4,\"drain_ms\":3000,\"grace_s\":8,\
             \"loss_slack_ms\":200,\"configuration_apply_ms\":3000,\"rollback_slack_ms\":250,\
             \"outer_bound_ms\":8000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\
             \"budget_slack\":56,\"cold_overage\":1.5,\"cold_slack\":3,\"evacuation_ms\":5000,\
             \"recovery_s\":12,\"pass_ms\":600,\"reuse_window_s\":10,\"ttl_max_s\":5}},\
             \"configuration_mode\":\"highest\"}}",
            if is_core { "core" } else { "frontend" },
            ZONES[region],
            REGIONS[region],
            zones.join(","),
            seeds.join(","),
            memory_limit_mb(role),
        )
    }

    /// Sends an operator's call to each core in turn until one answers; follows redirects
    /// twice. Returns the status of the last answer.
    pub fn operator(&self, method: &str, path: &str, body: &str) -> Option<u16> {
        let mut last = None;
        for region in 0..REGIONS.len() {
            let mut address = self.control_address(region);
            for _ in 0..3 {
                let Ok((head, _)) = http::call(address, method, path, body, CALL_TIMEOUT) else {
                    break;
                };
                last = Some(head.status());
                if head.status() != 307 {
                    break;
                }
                let location = head.get("location").and_then(|text| text.strip_prefix("http://"));
                let host = location.and_then(|rest| rest.split('/').next());
                let Some(leader) = host.and_then(|host| host.parse().ok()) else { break };
                address = leader;
            }
            if matches!(last, Some(200 | 400)) {
                return last;
            }
        }
        last
    }

    /// Starts the task of the platform that ends each process whose memory is over the limit,
    /// and starts it again after a short delay.
    pub fn enforce_memory_limit(self: &Arc<Self>) {
        let fleet = Arc::clone(self);
        thread::spawn(move || {
            while !fleet.is_over.load(Ordering::Relaxed) {
                for (role, region) in [
                    ("entry", 0),
                    ("entry", 1),
                    ("entry", 2),
                    ("core", 0),
                    ("core", 1),
                    ("core", 2),
                ] {
                    fleet.check_memory(role, region);
                }
                thread::sleep(Duration::from_millis(5));
            }
        });
    }

    fn check_memory(self: &Arc<Self>, role: &'static str, region: usize) {
        let name = name_of(role, region);
        let Some(bytes) = self.memory_bytes(&name) else { return };
        let limit_mb = memory_limit_mb(role);
        if bytes <= limit_mb * 1024 * 1024 {
            return;
        }
        {
            let mut processes = self.processes.lock().unwrap();
            let Some(process) = processes.get_mut(&name) else { return };
            let Some(mut child) = process.child.take() else { return };
            child.kill().ok();
            child.wait().ok();
            process.ends.push(Instant::now());
        }
        self.record.line(&format!(
            "platform: {name} uses {} MB of {limit_mb} MB and is killed",
            bytes / (1024 * 1024)
        ));
        let fleet = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(RESTART_DELAY);
            if !fleet.is_over.load(Ordering::Relaxed) {
                fleet.spawn(role, region, false).ok();
                fleet.record.line(&format!("platform: {name} is started again"));
            }
        });
    }

    /// Resident memory of a process, in bytes; `None` while it does not run.
    pub fn memory_bytes(&self, name: &str) -> Option<u64> {
        let processes = self.processes.lock().unwrap();
        let id = processes.get(name)?.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kib: u64 = line.trim().split(' ').next()?.parse().ok()?;
        Some(kib * 1024)
    }

    /// How often the platform has ended a process for its memory.
    pub fn ends(&self, name: &str) -> usize {
        self.processes.lock().unwrap().get(name).map_or(0, |process| process.ends.len())
    }
}

impl Fleet {
    /// Ends all processes and removes their folder.
    pub fn stop(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        // A restart that has begun is awaited, so that no process is left.
        thread::sleep(RESTART_DELAY + Duration::from_millis(100));
        for process in self.processes.lock().unwrap().values_mut() {
            if let Some(child) = &mut process.child {
                child.kill().ok();
                child.wait().ok();
            }
        }
        fs::remove_dir_all(&self.folder).ok();
    }
}

/// Name of the process of a machine.
fn name_of(role: &str, number: usize) -> String {
    format!("{role}-{}-{}", ZONES[number % ZONES.len()], 1 + number / ZONES.len())
}

fn memory_limit_mb(role: &str) -> u64 {
    if role == "core" { CORE_MEMORY_MB } else { MEMORY_MB }
}

/// The second and third octet of loopback addresses whose ports are free.
fn unused_network() -> Option<(u8, u8)> {
    let id = process::id();
    let candidates =
        (0..200).map(|offset| (20 + ((id + offset) % 200) as u8, (id / 200 % 250) as u8));
    let mut free = candidates.filter(|(second, third)| {
        let hosts = [(30, CONTROL_PORT), (31, CONTROL_PORT), (32, CONTROL_PORT), (40, FRONT_PORT)];
        hosts.iter().chain(&[(41, FRONT_PORT), (42, FRONT_PORT), (100, WORKER_PORT)]).all(
            |(last, port)| {
                TcpListener::bind((Ipv4Addr::new(127, *second, *third, *last), *port)).is_ok()
            },
        )
    });
    free.next()
}

/// A configuration with the routes of the first installation: two kinds of streams, commands
/// that run once, and readings.
pub fn configuration(version: u64, tenants: &str) -> String {
    let route = |name: &str, kind: &str, rest: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"riego.example\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"priority\":0,\"home_regions\":[],{rest}}}"
        )
    };
    let routes = [
        route(
            "plan",
            "streaming",
            "\"timeout_ms\":8000,\"target_latency_ms\":1200,\"service\":\"asistente\",\"attempts\":1,\"session_affinity\":true,\"resumable\":false,\"gap_target_ms\":400",
        ),
        route(
            "consulta",
            "streaming",
            "\"timeout_ms\":5000,\"target_latency_ms\":800,\"service\":\"asistente\",\"attempts\":2,\"session_affinity\":true,\"resumable\":true,\"gap_target_ms\":400",
        ),
        route(
            "orden",
            "non_idempotent",
            "\"timeout_ms\":4000,\"target_latency_ms\":500,\"service\":\"control\",\"attempts\":1,\"session_affinity\":false,\"resumable\":false,\"gap_target_ms\":0",
        ),
        route(
            "estado",
            "idempotent",
            "\"timeout_ms\":4000,\"target_latency_ms\":500,\"service\":\"control\",\"attempts\":2,\"session_affinity\":false,\"resumable\":false,\"gap_target_ms\":0",
        ),
    ];
    format!(
        "{{\"version\":{version},{tenants}\"routes\":[{}],\"services\":[\
         {{\"name\":\"asistente\",\"health_check_path\":\"/health\",\"connection_limit\":370,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\
         \"engine\":{{\"slots\":64,\"kv_capacity_tokens\":331606}}}},\
         {{\"name\":\"control\",\"health_check_path\":\"/health\",\"connection_limit\":110,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}

/// The same configuration, in which the streams that may be resumed last up to 8 s.
pub fn configuration_of_long_streams() -> String {
    configuration(1, "").replace("\"timeout_ms\":5000", "\"timeout_ms\":8000")
}

/// A configuration whose only streams may be resumed, with this timeout.
pub fn configuration_of_one_stream_route(version: u64, timeout_ms: u64) -> String {
    let document = configuration(version, "");
    let document = document.replace("\"timeout_ms\":5000", &format!("\"timeout_ms\":{timeout_ms}"));
    // The other route with streams takes commands instead.
    document.replacen("\"kind\":\"streaming\"", "\"kind\":\"non_idempotent\"", 1)
}
