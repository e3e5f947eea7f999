//! Daemon process, and its resource usage as read from `/proc`.

use std::fs;
use std::path::Path;
use std::process::Stdio;

use tokio::process::{Child, Command};

use crate::error::{BenchError, HostSnafu};

/// Clock ticks per second in `/proc`, fixed by the kernel's interface.
const TICKS_PER_S: f64 = 100.0;
const KIB_PER_MIB: f64 = 1024.0;
/// Index of `utime` and of `stime` in `/proc/PID/stat`, counted from the field after
/// the command name.
const UTIME_FIELD: usize = 11;
const STIME_FIELD: usize = 12;

/// Daemon process that is killed when the value is dropped.
pub(super) struct DaemonProcess {
    child: Child,
}

impl DaemonProcess {
    pub(super) fn start(binary: &Path, settings: &Path, host: &str) -> Result<Self, BenchError> {
        let child = Command::new(binary)
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| HostSnafu { host, message: error.to_string() }.build())?;
        Ok(Self { child })
    }

    /// Processor time used so far, in seconds; 0 when `/proc` cannot be read.
    pub(super) fn cpu_s(&self) -> f64 {
        let stat = self.read("stat");
        let after_name = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |field: usize| fields.get(field).and_then(|text| text.parse::<f64>().ok());
        (ticks(UTIME_FIELD).unwrap_or(0.0) + ticks(STIME_FIELD).unwrap_or(0.0)) / TICKS_PER_S
    }

    /// Resident memory in MiB; 0 when `/proc` cannot be read.
    pub(super) fn rss_mib(&self) -> f64 {
        let status = self.read("status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
        kib.unwrap_or(0.0) / KIB_PER_MIB
    }

    fn read(&self, file: &str) -> String {
        let path = self.child.id().map(|id| format!("/proc/{id}/{file}"));
        path.and_then(|path| fs::read_to_string(path).ok()).unwrap_or_default()
    }
}
