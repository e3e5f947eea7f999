//! Cost of idle daemons at several sizes of the system.
//!
//! The size is the number of daemons; the slope is the growth of the cost of one daemon
//! with it.
//! For each size, [`run`] starts daemon processes on loopback, waits until they
//! settle, and measures processor time, memory and bytes on links over a window.
//! Relays in front of the link addresses share one byte counter, so traffic is
//! known only as the mean over all daemons.

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
use crate::fleet::relay::{self, LinkDirection, LinkDirectionSettings};
use crate::fleet::wait;

const KIB: f64 = 1024.0;

/// Sizes of the system and times of the measurement.
#[derive(Clone, Debug)]
pub struct SlopeSettings {
    /// Path of the daemon's binary.
    pub daemon: PathBuf,
    /// Numbers of daemons, each measured in turn.
    pub sizes: Vec<usize>,
    /// Number of entry hosts in each data centre; the last one may have fewer.
    pub hosts_per_data_centre: usize,
    /// Wait between start and window, in seconds.
    pub settle_s: u64,
    /// Length of the measured window, in seconds.
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

/// Cost of a daemon at one size of the system.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct SlopeRow {
    /// Number of daemons at this size.
    pub daemons: usize,
    /// Number of data centres that the daemons are spread over.
    pub data_centres: usize,
    /// Mean processor time of a daemon, in percent of a core.
    pub cpu_percent: f64,
    /// Largest processor time of a daemon, in percent of a core.
    pub cpu_percent_max: f64,
    /// Mean resident memory of a daemon, in MiB.
    pub rss_mib: f64,
    /// Largest resident memory of a daemon, in MiB.
    pub rss_mib_max: f64,
    /// Mean traffic that a daemon sends on links, in KiB per second.
    pub sent_kib_per_s: f64,
}

/// Measures each size in turn.
///
/// Fails when a daemon does not start or is not ready within 15 s.
pub async fn run(settings: &SlopeSettings) -> Result<Vec<SlopeRow>, BenchError> {
    let mut rows = Vec::new();
    for size in &settings.sizes {
        rows.push(measure(settings, *size).await?);
    }
    Ok(rows)
}

async fn measure(settings: &SlopeSettings, daemons: usize) -> Result<SlopeRow, BenchError> {
    let folder = wait::temporary_folder()?;
    let mut plan = Plan::new(daemons, settings.hosts_per_data_centre)?;
    let link_direction =
        Arc::new(LinkDirection::new(LinkDirectionSettings { delay_ms: 0, rate_bytes_per_s: 0 }));
    let mut relays = Vec::new();
    for host in &mut plan.hosts {
        let relay =
            relay::start(host.link_addr, Arc::clone(&link_direction), Arc::clone(&link_direction))
                .await?;
        host.relay_addr = relay.addr;
        relays.push(relay);
    }
    let processes = start_daemons(settings, &plan, folder.path())?;
    wait::until_ready(&plan.urls()).await?;
    time::sleep(Duration::from_secs(settings.settle_s)).await;
    let cpu_before = cpu_s(&processes);
    let bytes_before = link_direction.received_bytes();
    time::sleep(Duration::from_secs(settings.window_s)).await;
    let window_s = settings.window_s as f64;
    let cpu: Vec<f64> = cpu_s(&processes)
        .iter()
        .zip(&cpu_before)
        .map(|(after, before)| (after - before) * 100.0 / window_s)
        .collect();
    let rss: Vec<f64> = processes.iter().map(DaemonProcess::rss_mib).collect();
    let sent_bytes = (link_direction.received_bytes() - bytes_before) as f64;
    Ok(SlopeRow {
        daemons,
        data_centres: plan.data_centres(),
        cpu_percent: mean(&cpu),
        cpu_percent_max: max(&cpu),
        rss_mib: mean(&rss),
        rss_mib_max: max(&rss),
        sent_kib_per_s: sent_bytes / KIB / window_s / daemons as f64,
    })
}

fn start_daemons(
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

fn max(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}
