//! The process of one host.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};

use rustix::process::{Pid, Signal, kill_process};

use super::layout::Place;
use super::wait;

/// One daemon, running or not.
pub(crate) struct Host {
    /// Where it stands.
    pub(crate) place: Place,
    folder: PathBuf,
    child: Option<Child>,
}

impl Host {
    /// A host whose files go to `folder`; not started.
    pub(crate) fn new(place: Place, folder: &Path) -> Self {
        Self { place, folder: folder.to_owned(), child: None }
    }

    /// Writes the settings file.
    pub(crate) fn write_settings(&self, text: &str) {
        fs::create_dir_all(&self.folder).expect("a folder");
        fs::write(self.folder.join("host.ini"), text).expect("written");
    }

    /// Folder of its data.
    pub(crate) fn data_folder(&self) -> PathBuf {
        self.folder.join("data")
    }

    /// Starts the daemon; its log is appended to `host.log`.
    pub(crate) fn start(&mut self) {
        assert!(self.child.is_none(), "{} is running", self.place.host);
        let log = File::options().create(true).append(true).open(self.log_path()).expect("a log");
        let child = Command::new(daemon_path())
            .arg("--settings")
            .arg(self.folder.join("host.ini"))
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the daemon starts");
        self.child = Some(child);
    }

    /// Ends the process at once.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            child.wait().expect("reaped");
        }
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("the host runs");
        kill_process(Pid::from_child(child), signal).expect("signalled");
    }

    /// Whether the process runs.
    pub(crate) fn runs(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().expect("a state").is_none())
    }

    /// Waits for the process to end by itself; gives its exit code.
    pub(crate) async fn ended(&mut self) -> Option<i32> {
        let name = self.place.host.clone();
        wait::until(&format!("{name} ended"), async || !self.runs()).await;
        let mut child = self.child.take().expect("the host ran");
        child.wait().expect("reaped").code()
    }

    /// What the daemon logged so far.
    pub(crate) fn log(&self) -> String {
        fs::read_to_string(self.log_path()).unwrap_or_default()
    }

    fn log_path(&self) -> PathBuf {
        self.folder.join("host.log")
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The daemon beside the tool; built by `cargo test --workspace`.
fn daemon_path() -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_anvillift")).with_file_name("anvilliftd");
    assert!(path.exists(), "build the daemon first: cargo build -p anvillift-daemon");
    path
}
