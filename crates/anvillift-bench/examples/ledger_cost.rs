//! Latency that the ledger adds to a command in its own region.
//!
//! Three hosts of one region and a plain service run in this process on loopback.
//! Commands with an idempotency key, which the ledger records, alternate with
//! commands on the same path without one. The table shows both, with the ledger in
//! memory and on disk.
//!
//! `cargo run --release -p anvillift-bench --example ledger_cost`

#![allow(clippy::print_stdout, missing_docs)]

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::time::{Duration, Instant};

use anvillift_bench::announce::AnnounceSettings;
use anvillift_bench::plain::{self, PlainSettings};
use anvillift_gateway::{Gateway, RunningGateway};
use anvillift_schema::configuration::{Configuration, Profile, Service, ServiceKind, Team};
use anvillift_schema::name::Name;
use anvillift_schema::settings::{
    GroupSettings, HostSettings, Identity, KeySettings, ListenSettings, PeerSettings,
    StorageSettings,
};
use hdrhistogram::Histogram;
use reqwest::Client;
use sha2::{Digest, Sha256};
use tempfile::TempDir;
use tokio::task::JoinSet;

const HOSTS: [&str; 3] = ["a", "b", "c"];
const KEY: &str = "key";
const COMMANDS: u32 = 2_000;
const WARM_UP_COMMANDS: u32 = 200;

#[tokio::main]
async fn main() {
    println!("ledger  callers  path     p50 us  p99 us  commands/s");
    for on_disk in [false, true] {
        let folder = tempfile::tempdir().expect("cannot create a temporary folder");
        let hosts = start(on_disk.then_some(&folder)).await;
        let urls: Vec<String> =
            hosts.iter().map(|host| format!("http://{}", host.caller_addr)).collect();
        let announce =
            AnnounceSettings { hosts: urls.clone(), key: KEY.to_owned(), ..Default::default() };
        let settings = PlainSettings { announce, ..PlainSettings::default() };
        let service = plain::start(settings).await.expect("cannot start the plain service");
        for callers in [1, 16] {
            for has_key in [false, true] {
                run(&urls, callers, has_key, WARM_UP_COMMANDS).await;
                let (latency, elapsed) = run(&urls, callers, has_key, COMMANDS).await;
                println!(
                    "{:6}  {callers:7}  {:7}  {:6}  {:6}  {:10.0}",
                    if on_disk { "disk" } else { "memory" },
                    if has_key { "keyed" } else { "without" },
                    latency.value_at_quantile(0.5),
                    latency.value_at_quantile(0.99),
                    f64::from(COMMANDS) / elapsed.as_secs_f64(),
                );
            }
        }
        service.crash().await;
        hosts.into_iter().for_each(RunningGateway::stop);
    }
}

/// Sends commands from concurrent callers, each to the hosts in turn.
///
/// Returns the latency of successful commands in microseconds and the total time.
async fn run(
    urls: &[String],
    callers: u32,
    has_key: bool,
    commands: u32,
) -> (Histogram<u64>, Duration) {
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        let urls = urls.to_vec();
        tasks.spawn(async move { send_commands(&urls, has_key, commands / callers).await });
    }
    let mut latency = Histogram::new(3).expect("invalid histogram precision");
    while let Some(caller_latency) = tasks.join_next().await {
        latency
            .add(caller_latency.expect("a caller task panicked"))
            .expect("histograms have different ranges");
    }
    (latency, started.elapsed())
}

async fn send_commands(urls: &[String], has_key: bool, commands: u32) -> Histogram<u64> {
    let client = Client::builder().no_proxy().build().expect("cannot build the HTTP client");
    let mut latency = Histogram::new(3).expect("invalid histogram precision");
    let mut done = 0;
    while done < commands {
        let url = &urls[done as usize % urls.len()];
        let mut request = client.post(format!("{url}/s/plain/pivots/7/start")).bearer_auth(KEY);
        if has_key {
            request = request.header("Idempotency-Key", uuid::Uuid::now_v7().to_string());
        }
        let started = Instant::now();
        let response = request.body("{}").send().await.expect("no response from the host");
        let (status, _) =
            (response.status(), response.bytes().await.expect("response body interrupted"));
        if status == 200 {
            latency
                .record(started.elapsed().as_micros() as u64)
                .expect("latency exceeds the histogram range");
            done += 1;
        }
    }
    latency
}

async fn start(folder: Option<&TempDir>) -> Vec<RunningGateway> {
    let peers: BTreeMap<Name, PeerSettings> = HOSTS
        .iter()
        .map(|host| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a port");
            let link = listener.local_addr().expect("cannot read the local address").to_string();
            let peer = PeerSettings { region: "r".into(), data_centre: "d".into(), link };
            (Name::from(*host), peer)
        })
        .collect();
    let mut hosts = Vec::new();
    for host in HOSTS {
        let mut settings = settings(host, &peers);
        settings.storage = folder.map(|folder| StorageSettings {
            folder: folder.path().join(host).display().to_string(),
            snapshot_entries: 4_096,
        });
        hosts.push(Gateway::start(settings).await.expect("cannot start the host"));
    }
    hosts
}

fn settings(host: &str, peers: &BTreeMap<Name, PeerSettings>) -> HostSettings {
    let hash = hex::encode(Sha256::digest(KEY));
    let profile = Profile { name: "p".into(), ..Profile::default() };
    let service = Service { name: "plain".into(), kind: ServiceKind::Plain, profile: "p".into() };
    let team = Team {
        name: "t".into(),
        key_hashes: vec![hash.clone()],
        home: Some("r".into()),
        ..Team::default()
    };
    let group = GroupSettings { voters: HOSTS.into_iter().map(Name::from).collect() };
    HostSettings {
        host: Identity { name: host.into(), region: "r".into(), data_centre: "d".into() },
        listen: ListenSettings { links: peers[host].link.clone(), ..ListenSettings::default() },
        peers: peers.clone(),
        ledgers: BTreeMap::from([(Name::from("r"), group)]),
        keys: KeySettings {
            link_key: "link-key".to_owned(),
            operator_key_hashes: vec![hash.clone()],
            upstream_key_hashes: vec![hash],
        },
        configuration: Configuration {
            profiles: BTreeMap::from([(profile.name.clone(), profile)]),
            services: BTreeMap::from([(service.name.clone(), service)]),
            teams: BTreeMap::from([(team.name.clone(), team)]),
            revision: 0,
        },
        ..HostSettings::default()
    }
}
