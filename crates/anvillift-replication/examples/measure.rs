//! Measures a group with disks: commit latency, throughput, time to a new leader,
//! and catch-up time of a follower.
//!
//! Usage: `measure VOTERS FOLDER`. The replicas run in one process and deliver
//! messages without delay, so the results show the cost of the log, its syncs and
//! its timers, without a network.

use std::collections::BTreeMap;
use std::env;
use std::error::Error;
use std::fs;
use std::io;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anvillift_consensus::RoleKind;
use anvillift_replication::{
    GroupDriver, GroupDriverSettings, GroupHandle, GroupMachine, OpenedGroup, SendFn, StorageOpener,
};
use anvillift_schema::consensus::Voter;
use anvillift_schema::name::Name;
use anvillift_storage::{DataFolder, StorageIo};
use tokio::task::JoinSet;
use tokio::time;

const COMMAND_BYTES: usize = 256;
const SEQUENTIAL_COMMANDS: usize = 2_000;
const PROPOSERS: usize = 256;
const THROUGHPUT_TIME: Duration = Duration::from_secs(5);
const ELECTIONS: usize = 20;
const MISSED_ENTRIES: usize = 10_000;
const POLL_INTERVAL: Duration = Duration::from_millis(1);

type Handles = Arc<Mutex<BTreeMap<Name, GroupHandle>>>;

struct Member {
    handle: GroupHandle,
    _folder: Arc<DataFolder>,
}

struct Group {
    names: Vec<Name>,
    members: BTreeMap<Name, Member>,
    handles: Handles,
    root: PathBuf,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = env::args().skip(1);
    let voters: usize = arguments.next().unwrap_or_else(|| "3".to_owned()).parse()?;
    let root = PathBuf::from(arguments.next().unwrap_or_else(|| "target/measure".to_owned()));
    fs::remove_dir_all(&root).ok();
    let names: Vec<Name> = (0..voters).map(|number| Name::from(format!("host-{number}"))).collect();
    let mut group = Group { names, members: BTreeMap::new(), handles: Handles::default(), root };
    for name in group.names.clone() {
        group.start(&name)?;
    }
    group.leader().await;
    let mut out = io::stdout();
    writeln!(out, "{voters} voters, commands of {COMMAND_BYTES} bytes")?;
    writeln!(out, "commit latency, one at a time: {}", group.latency().await)?;
    let (rate_per_s, latency) = group.throughput().await;
    writeln!(out, "{PROPOSERS} proposers: {rate_per_s} commits/s, {latency}")?;
    writeln!(out, "time to a new leader: {}", group.elections().await?)?;
    writeln!(out, "catch-up after {MISSED_ENTRIES} entries: {} ms", group.catch_up().await?)?;
    fs::remove_dir_all(&group.root)?;
    Ok(())
}

impl Group {
    fn start(&mut self, name: &Name) -> Result<(), Box<dyn Error>> {
        let folder = DataFolder::open(&Path::new(&self.root).join(name.as_str()))?;
        let folder = Arc::new(folder);
        let opened = Arc::clone(&folder);
        let storage = StorageOpener::new(move || {
            let group = Name::from("group");
            let (storage, recovered) = opened.open_group(&group, StorageIo::default())?;
            Ok(OpenedGroup { storage_id: opened.storage_id().clone(), storage, recovered })
        });
        let settings = GroupDriverSettings {
            group: Name::from("group"),
            identity: Voter { host: name.clone(), storage_id: folder.storage_id().clone() },
            voters: self.names.clone(),
            storage: Some(storage),
            snapshot_entries: 1_000_000,
            seed: rand::random(),
            ..GroupDriverSettings::default()
        };
        let machine = GroupMachine {
            apply: Box::new(|_, _| Vec::new()),
            snapshot: Box::new(Vec::new),
            restore: Box::new(|_| ()),
        };
        let handle = GroupDriver::start(settings, machine, self.sender(name));
        self.handles.lock().expect("lock").insert(name.clone(), handle.clone());
        self.members.insert(name.clone(), Member { handle, _folder: folder });
        Ok(())
    }

    fn sender(&self, from: &Name) -> SendFn {
        let (handles, from) = (Arc::clone(&self.handles), from.clone());
        Arc::new(move |to, envelope| {
            if let Some(handle) = handles.lock().expect("lock").get(&to) {
                handle.receive(from.clone(), envelope);
            }
        })
    }

    async fn stop(&mut self, name: &Name) {
        self.handles.lock().expect("lock").remove(name);
        if let Some(member) = self.members.remove(name) {
            member.handle.stop().await;
        }
    }

    async fn leader(&self) -> Name {
        loop {
            let is_leader = |member: &Member| member.handle.status().role == RoleKind::Leader;
            if let Some((name, _)) = self.members.iter().find(|(_, member)| is_leader(member)) {
                return name.clone();
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn latency(&self) -> String {
        let handle = self.members[&self.leader().await].handle.clone();
        let mut times = Vec::new();
        for _ in 0..SEQUENTIAL_COMMANDS {
            let started = Instant::now();
            if handle.propose(vec![7; COMMAND_BYTES]).await.is_ok() {
                times.push(started.elapsed());
            }
        }
        summary(times)
    }

    async fn throughput(&self) -> (u64, String) {
        let handle = self.members[&self.leader().await].handle.clone();
        let started = Instant::now();
        let mut proposers = JoinSet::new();
        for _ in 0..PROPOSERS {
            let handle = handle.clone();
            proposers.spawn(async move {
                let mut times = Vec::new();
                while started.elapsed() < THROUGHPUT_TIME {
                    let proposed_at = Instant::now();
                    if handle.propose(vec![7; COMMAND_BYTES]).await.is_ok() {
                        times.push(proposed_at.elapsed());
                    }
                }
                times
            });
        }
        let times: Vec<Duration> = proposers.join_all().await.into_iter().flatten().collect();
        let rate_per_s = times.len() as f64 / started.elapsed().as_secs_f64();
        (rate_per_s as u64, summary(times))
    }

    /// Measures the time from the stop of the leader to the first commit under
    /// its successor.
    async fn elections(&mut self) -> Result<String, Box<dyn Error>> {
        let mut times = Vec::new();
        for _ in 0..ELECTIONS {
            let leader = self.leader().await;
            let started = Instant::now();
            self.stop(&leader).await;
            loop {
                let successor = self.leader().await;
                let handle = &self.members[&successor].handle;
                if handle.propose(vec![7; COMMAND_BYTES]).await.is_ok() {
                    break;
                }
            }
            times.push(started.elapsed());
            self.start(&leader)?;
            time::sleep(Duration::from_secs(1)).await;
        }
        Ok(summary(times))
    }

    async fn catch_up(&mut self) -> Result<u128, Box<dyn Error>> {
        let leader = self.leader().await;
        let stopped_follower =
            self.names.iter().find(|name| **name != leader).cloned().ok_or("no follower")?;
        self.stop(&stopped_follower).await;
        let handle = self.members[&leader].handle.clone();
        let mut proposers = JoinSet::new();
        for _ in 0..MISSED_ENTRIES {
            let handle = handle.clone();
            proposers.spawn(async move { handle.propose(vec![7; COMMAND_BYTES]).await.is_ok() });
        }
        proposers.join_all().await;
        let target_index = handle.status().commit_index;
        let started = Instant::now();
        self.start(&stopped_follower)?;
        while self.members[&stopped_follower].handle.status().commit_index < target_index {
            time::sleep(POLL_INTERVAL).await;
        }
        Ok(started.elapsed().as_millis())
    }
}

fn summary(mut times: Vec<Duration>) -> String {
    times.sort_unstable();
    let at = |milli: usize| {
        let position = (times.len() * milli / 1_000).min(times.len().saturating_sub(1));
        times.get(position).map_or(0.0, |time| time.as_secs_f64() * 1_000.0)
    };
    format!(
        "p50 {:.2} ms, p99 {:.2} ms, max {:.2} ms over {}",
        at(500),
        at(990),
        at(1_000),
        times.len()
    )
}
