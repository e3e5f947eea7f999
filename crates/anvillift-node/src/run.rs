//! Runs a process: reads its settings, starts the host of its role, reloads the
//! settings when they change, and stops on SIGTERM.

use std::rc::Rc;
use std::time::Duration;

use anvillift_schema::event::Event;
use snafu::ResultExt;
use tokio::signal::unix::{SignalKind, signal};
use tokio::{task, time};

use crate::call_count::CallCount;
use crate::core::Core;
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::error::{NodeError, SetUpSnafu};
use crate::node::Node;
use crate::respond::Reply;
use crate::serve_calls::ReplyFuture;
use crate::settings::{HostRole, NodeSettings};
use crate::{listen, recorder, serve_calls};

/// Interval at which the settings are read again, since they may change without
/// a SIGHUP.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the settings; called at the start and at each reload.
type LoadSettings = Box<dyn Fn() -> Result<NodeSettings, NodeError>>;

/// Runs a process until SIGTERM. `load` reads the settings; it is called again on
/// SIGHUP and at a fixed interval, and changed settings are applied.
pub fn run(load: LoadSettings, dialect: Dialect) -> Result<(), NodeError> {
    let settings = load()?;
    recorder::install();
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context(SetUpSnafu)?;
    let tasks = task::LocalSet::new();
    tasks.block_on(&runtime, serve(settings, load, dialect))
}

enum Process {
    Entry(Rc<Entry>),
    Core(Rc<Core>),
}

impl Process {
    fn node(&self) -> &Rc<Node> {
        match self {
            Self::Entry(entry) => &entry.node,
            Self::Core(core) => &core.node,
        }
    }

    async fn stop(&self) {
        match self {
            Self::Entry(entry) => entry.stop().await,
            Self::Core(core) => core.stop().await,
        }
    }
}

async fn serve(
    settings: NodeSettings,
    load: LoadSettings,
    dialect: Dialect,
) -> Result<(), NodeError> {
    let mut terminate = signal(SignalKind::terminate()).context(SetUpSnafu)?;
    let mut hang_up = signal(SignalKind::hangup()).context(SetUpSnafu)?;
    serve_metrics(&settings)?;
    export_quota_bounds(&settings);
    let mut current = settings.clone();
    let role = settings.role;
    let process = match role {
        HostRole::Entry => Process::Entry(Entry::start(settings, dialect)?),
        HostRole::Core => Process::Core(Core::start(settings, dialect)?),
    };
    log::info!(
        event = Event::HostStarted.number(), machine = current.machine.as_str(),
        boot = process.node().own_host().boot,
        is_first_start = process.node().settings.is_first_start;
        "started as {role}"
    );
    let mut settings_poll = time::interval(SETTINGS_POLL_INTERVAL);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hang_up.recv() => (),
            _ = settings_poll.tick() => (),
        }
        match load() {
            Ok(loaded) if loaded != current => {
                log::info!(event = Event::SettingsReloaded.number(); "settings reloaded");
                process.node().reload(&loaded);
                current = loaded;
            }
            Ok(_) => (),
            Err(error) => {
                log::error!(event = Event::SettingsRefused.number(); "cannot reload the settings, keeping the previous ones: {error}");
            }
        }
    }
    process.stop().await;
    log::info!(event = Event::HostStopped.number(); "stopped");
    Ok(())
}

/// Exports the bounds on the use of quotas, so that the use of a team can be compared with them.
fn export_quota_bounds(settings: &NodeSettings) {
    let window_s = settings.quota_window_ms as f64 / 1_000.0;
    metrics::gauge!("anvillift_quota_bound_window_s").set(window_s);
    metrics::gauge!("anvillift_quota_bound_overage").set(settings.quota_overage);
    metrics::gauge!("anvillift_quota_bound_slack").set(settings.quota_slack as f64);
}

fn serve_metrics(settings: &NodeSettings) -> Result<(), NodeError> {
    let address = (settings.machine_ip, settings.metrics_port).into();
    let answer = |_, _| -> ReplyFuture {
        Box::pin(async { Reply::new(200, recorder::render().into_bytes()) })
    };
    serve_calls::serve(listen::listen(address)?, &CallCount::default(), Rc::new(answer));
    Ok(())
}
