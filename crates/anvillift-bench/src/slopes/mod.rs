//! What an idle daemon costs, at several sizes of the system.
//!
//! Starts real daemons as processes on loopback, lets them settle, and
//! measures processor time, memory and bytes on links over a window. Bytes are
//! counted by a relay before each daemon's link address, so they are a mean
//! over all daemons. Start at [`run`].

mod process;
mod settings_file;

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use snafu::ResultExt;
use tokio::time;

use self::process::DaemonProcess;
use self::settings_file::Plan;
use crate::error::{BenchError, WriteSnafu};
use crate::fleet::relay::{self, Pipe, PipeSettings};
use crate::fleet::wait;

const KIB: f64 = 1024.0;

/// What is measured.
#[derive(Clone, Debug)]
pub struct SlopeSettings {
    /// The daemon's binary.
    pub daemon: PathBuf,
    /// Numbers of daemons.
    pub sizes: Vec<usize>,
    /// Entry hosts in a data centre.
    pub hosts_per_data_centre: usize,
    /// Before the window.
    pub settle_s: u64,
    /// Length of the window.
    pub window_s: u64,
}

impl Default for SlopeSettings {
    fn default() -> Self {
        Self {
            daemon: PathBuf::from("anvilliftd"),
            sizes: vec![8, 24, 72],
            hosts_per_data_centre: 8,
            settle_s: 10,
            window_s: 20,
        }
    }
}

/// What one size measured, a daemon.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct SlopeRow {
    /// Daemons.
    pub daemons: usize,
    /// Data centres.
    pub data_centres: usize,
    /// Mean processor time, in percent of a core.
    pub cpu_percent: f64,
    /// Largest processor time of a daemon, in percent of a core.
    pub cpu_percent_max: f64,
    /// Mean resident memory, in MiB.
    pub rss_mib: f64,
    /// Largest resident memory, in MiB.
    pub rss_mib_max: f64,
    /// Mean bytes sent on links, in KiB a second.
    pub sent_kib_per_s: f64,
}

/// Measures each size in turn.
pub async fn run(settings: &SlopeSettings) -> Result<Vec<SlopeRow>, BenchError> {
    let mut rows = Vec::new();
    for size in &settings.sizes {
        rows.push(measure(settings, *size).await?);
    }
    Ok(rows)
}

async fn measure(settings: &SlopeSettings, daemons: usize) -> Result<SlopeRow, BenchError> {
    let folder = wait::folder()?;
    let mut plan = Plan::new(daemons, settings.hosts_per_data_centre)?;
    let pipe = Arc::new(Pipe::new(PipeSettings { delay_ms: 0, rate_bytes_per_s: 0 }));
    let mut relays = Vec::new();
    for host in &mut plan.hosts {
        let relay = relay::start(host.links, Arc::clone(&pipe), Arc::clone(&pipe)).await?;
        host.dialled = relay.addr;
        relays.push(relay);
    }
    let processes = start(settings, &plan, folder.path())?;
    wait::until_ready(&plan.urls()).await?;
    time::sleep(Duration::from_secs(settings.settle_s)).await;
    let cpu_before = cpu_s(&processes);
    let bytes_before = pipe.carried_bytes();
    time::sleep(Duration::from_secs(settings.window_s)).await;
    let window_s = settings.window_s as f64;
    let cpu: Vec<f64> = cpu_s(&processes)
        .iter()
        .zip(&cpu_before)
        .map(|(after, before)| (after - before) * 100.0 / window_s)
        .collect();
    let rss: Vec<f64> = processes.iter().map(DaemonProcess::rss_mib).collect();
    let sent_bytes = (pipe.carried_bytes() - bytes_before) as f64;
    Ok(SlopeRow {
        daemons,
        data_centres: plan.data_centres(),
        cpu_percent: mean(&cpu),
        cpu_percent_max: largest(&cpu),
        rss_mib: mean(&rss),
        rss_mib_max: largest(&rss),
        sent_kib_per_s: sent_bytes / KIB / window_s / daemons as f64,
    })
}

fn start(
    settings: &SlopeSettings,
    plan: &Plan,
    folder: &Path,
) -> Result<Vec<DaemonProcess>, BenchError> {
    let mut processes = Vec::new();
    for (number, host) in plan.hosts.iter().enumerate() {
        let path = folder.join(format!("{}.ini", host.name));
        let text = plan.text(number, folder);
        std::fs::write(&path, text)
            .with_context(|_| WriteSnafu { path: path.display().to_string() })?;
        processes.push(DaemonProcess::start(&settings.daemon, &path, host.name.as_str())?);
    }
    Ok(processes)
}

fn cpu_s(processes: &[DaemonProcess]) -> Vec<f64> {
    processes.iter().map(DaemonProcess::cpu_s).collect()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn largest(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}
