//! The daemon process of one host.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};

use rustix::process::{Pid, Resource, Rlimit, Signal, WaitOptions, kill_process, prlimit, waitpid};

use super::layout::HostLayout;
use super::wait;

/// Shell command that runs a program in the shell's place. A write beyond the limit of
/// [`Host::fill_disk`] fails then, and doesn't end the program by a signal.
const EXEC_WITHOUT_SIZE_SIGNAL: &str = "trap '' XFSZ; exec \"$0\" \"$@\"";

/// A daemon with its folder; its process is killed when it is dropped.
pub(crate) struct Host {
    /// Region, data centre and addresses of the host.
    pub(crate) layout: HostLayout,
    folder: PathBuf,
    child: Option<Child>,
}

impl Host {
    /// Creates a host whose files go to `folder`, without starting it.
    pub(crate) fn new(layout: HostLayout, folder: &Path) -> Self {
        Self { layout, folder: folder.to_owned(), child: None }
    }

    /// Writes `text` to the settings file, and creates the folder of the host if needed.
    pub(crate) fn write_settings(&self, text: &str) {
        fs::create_dir_all(&self.folder).expect("a folder");
        fs::write(self.folder.join("host.ini"), text).expect("written");
    }

    /// Returns the folder in which the daemon stores its data.
    pub(crate) fn data_folder(&self) -> PathBuf {
        self.folder.join("data")
    }

    /// Starts the daemon, which appends its log to `host.log`. Panics if it is running.
    pub(crate) fn start(&mut self) {
        assert!(self.child.is_none(), "{} is running", self.layout.host);
        let log = File::options().create(true).append(true).open(self.log_path()).expect("a log");
        let child = Command::new("sh")
            .args(["-c", EXEC_WITHOUT_SIZE_SIGNAL])
            .arg(daemon_path())
            .arg("--settings")
            .arg(self.folder.join("host.ini"))
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the daemon starts");
        self.child = Some(child);
    }

    /// Kills the process, if there is one, and waits for its end.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            child.wait().expect("reaped");
        }
    }

    /// Sends a signal to the process, which must have been started.
    pub(crate) fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("the host runs");
        kill_process(Pid::from_child(child), signal).expect("signalled");
    }

    /// Lets each write fail by which a file of the process would grow, its log as well, as on a
    /// full disk.
    pub(crate) fn fill_disk(&self) {
        self.limit_file_size(Some(0));
    }

    /// Lets the files of the process grow again.
    pub(crate) fn free_disk(&self) {
        self.limit_file_size(None);
    }

    fn limit_file_size(&self, bytes: Option<u64>) {
        let child = self.child.as_ref().expect("the host runs");
        let limit = Rlimit { current: bytes, maximum: None };
        prlimit(Some(Pid::from_child(child)), Resource::Fsize, limit).expect("limited");
    }

    /// Stops the process, and returns once none of its threads runs any more. The signal alone
    /// takes effect later on a busy machine.
    pub(crate) fn freeze(&self) {
        self.signal(Signal::STOP);
        let child = self.child.as_ref().expect("the host runs");
        let waited = waitpid(Some(Pid::from_child(child)), WaitOptions::UNTRACED);
        let (_, status) = waited.expect("waited").expect("a change of state");
        assert!(status.stopped(), "{} ended instead of stopping", self.layout.host);
    }

    /// Returns whether the process is running.
    pub(crate) fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().expect("a state").is_none())
    }

    /// Waits until the process exits, and returns its exit code; `None` if a signal ended it.
    pub(crate) async fn wait_for_exit(&mut self) -> Option<i32> {
        let name = self.layout.host.clone();
        wait::until(&format!("{name} exits"), async || !self.is_running()).await;
        let mut child = self.child.take().expect("the host ran");
        child.wait().expect("reaped").code()
    }

    /// Returns what the daemon has logged so far.
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

/// Returns the path of the daemon, which `cargo test --workspace` builds beside the tool.
fn daemon_path() -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_anvillift")).with_file_name("anvilliftd");
    assert!(path.exists(), "build the daemon first: cargo build -p anvillift-daemon");
    path
}
