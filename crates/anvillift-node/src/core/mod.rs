//! A core host: a replica of the control log, the receiver of workers' reports,
//! and a directory.
//!
//! [`calls`] answers operators, workers and callers; [`reports`] relays workers'
//! reports to the other hosts, and [`departures`] those of workers that drain or leave; [`control_log`] runs the replica; [`gossip`] sends
//! host lists, region loads and control versions; [`voters`] changes the voters; [`streams`]
//! remembers which version began a stream; [`crashes`] finds parts of prompts that crash
//! workers, [`saved_crashes`] and [`saved_quarantine`] keep what they know across restarts, and
//! [`trials`] lets one of the refused requests be tried;
//! [`quota`] grants hosts amounts of the quotas of teams.

mod calls;
mod control_log;
mod crashes;
mod departure_log;
mod departures;
mod gossip;
mod quota;
mod reports;
mod saved_crashes;
mod saved_quarantine;
mod streams;
mod trials;
mod voters;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anvillift_fleet::{
    ControlMachine, CrashEvidence, CrashReporters, QuarantineTrials, UnansweredQueries,
    WorkerWeights,
};
use anvillift_http::RequestHead;
use anvillift_schema::event::Event;
use anvillift_schema::fleet::{FleetControl, FleetFrame, FleetHostState};
use anvillift_schema::name::Name;
use anvillift_storage::DataFolder;
use bytes::Bytes;
use snafu::{OptionExt, ResultExt};
use tokio::{task, time};

use crate::core::control_log::ControlLog;
use crate::core::departure_log::DepartureLog;
pub(crate) use crate::core::departures::{confirmation_frame, leave_confirmation};
use crate::core::quota::OwnedQuotas;
use crate::core::saved_crashes::SavedCrashes;
use crate::core::saved_quarantine::SavedQuarantine;
use crate::dialect::Dialect;
use crate::error::{NodeError, SettingsSnafu, StorageSnafu};
use crate::hub::{Hub, HubHooks};
use crate::listen;
use crate::node::Node;
use crate::serve_calls::ReplyFuture;
use crate::settings::NodeSettings;
use crate::{clock, serve_calls};

/// Interval of the periodic tasks.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);
/// Housekeeping ticks between two removals of old crashes.
const CLEANUP_TICKS: u64 = 8;
/// Part of the grace period that is kept for closing the storage, for the last answers and for the
/// process to exit.
const CLOSE_RESERVE: Duration = Duration::from_millis(3_000);
/// Longest time for a planned stop to close the storage.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time for the answers to the calls that wait for the control log when it is closed.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(1);

/// State of a core host, shared by its tasks.
pub(crate) struct Core {
    pub(crate) node: Rc<Node>,
    pub(crate) log: ControlLog,
    /// The control state that this host sends to entry hosts. It may be newer than the one in
    /// force here, so that entry hosts decode a large configuration at the same time.
    published: RefCell<FleetControl>,
    departures: RefCell<DepartureLog>,
    /// Start of the process, by the monotonic clock, in milliseconds.
    started_ms: u64,
    crash_evidence: RefCell<CrashEvidence>,
    crash_file: SavedCrashes,
    crash_reporters: RefCell<CrashReporters>,
    quarantine_file: SavedQuarantine,
    /// Trials of quarantined requests that this host has granted.
    trials: RefCell<QuarantineTrials>,
    quotas: RefCell<OwnedQuotas>,
    /// Queries about streams of which there was no record.
    unanswered: RefCell<UnansweredQueries>,
    /// Speeds and weights of the workers of the fleet.
    weights: RefCell<WorkerWeights>,
}

impl Core {
    /// Opens the storage and the listening sockets, and starts the host's tasks.
    pub(crate) fn start(settings: NodeSettings, dialect: Dialect) -> Result<Rc<Self>, NodeError> {
        let path = settings.data_folder.clone();
        let path = path.context(SettingsSnafu { reason: "a core host requires a data folder" })?;
        let folder = DataFolder::open(&path).context(StorageSnafu)?;
        let node = Node::new(settings, dialect, folder.storage_id().clone());
        let folder = Arc::new(folder);
        let quarantine_file = SavedQuarantine::load(Arc::clone(&folder), &node);
        let crash_file = SavedCrashes::new(Arc::clone(&folder));
        let log = ControlLog::start(&node, folder)?;
        let core = Rc::new(Self {
            node,
            log,
            published: RefCell::new(ControlMachine::default().state().clone()),
            departures: RefCell::default(),
            started_ms: clock::now_ms(),
            crash_evidence: RefCell::new(crash_file.load()),
            crash_file,
            crash_reporters: RefCell::default(),
            quarantine_file,
            trials: RefCell::default(),
            quotas: RefCell::default(),
            unanswered: RefCell::default(),
            weights: RefCell::default(),
        });
        core.listen()?;
        core.node.dial_cores();
        core.node.set_state(FleetHostState::Ready);
        let housekeeper = Rc::clone(&core);
        task::spawn_local(async move { housekeeper.run_housekeeping().await });
        task::spawn_local(Rc::clone(&core).save_crashes());
        let publisher = Rc::clone(&core);
        task::spawn_local(async move { publisher.publish_control().await });
        Ok(core)
    }

    fn listen(self: &Rc<Self>) -> Result<(), NodeError> {
        let settings = &self.node.settings;
        let links = listen::listen(settings.link_address())?;
        for address in [settings.operator_address, settings.directory_address].into_iter().flatten()
        {
            let core = Rc::clone(self);
            let answer = move |head: RequestHead, body: Bytes| -> ReplyFuture {
                let core = Rc::clone(&core);
                Box::pin(async move { core.answer(&head, body).await })
            };
            serve_calls::serve(listen::listen(address)?, &self.node.calls, Rc::new(answer));
        }
        let (on_frame, on_link_up) = (Rc::downgrade(self), Rc::downgrade(self));
        let describe = Rc::clone(&self.node);
        let hub = Hub::new(HubHooks {
            on_frame: Box::new(move |from, frame| {
                if let Some(core) = on_frame.upgrade() {
                    core.on_frame(from, frame);
                }
            }),
            on_link_up: Box::new(move |name| {
                on_link_up.upgrade().map(|core| core.on_link_up(name)).unwrap_or_default()
            }),
            describe: Box::new(move || describe.own_host()),
        });
        hub.accept_links(links);
        self.node.set_hub(Rc::clone(&hub));
        self.log.send_messages_over(hub);
        Ok(())
    }

    fn on_frame(self: &Rc<Self>, from: &Name, frame: FleetFrame) {
        match frame {
            FleetFrame::Hello(host) => {
                self.node.send_quarantine(&host);
                if self.node.learn_host(host.clone(), true) {
                    self.broadcast_host(host);
                }
            }
            FleetFrame::Consensus(envelope) => {
                self.note_follower(from, &envelope);
                self.log.receive(from.clone(), envelope);
            }
            FleetFrame::Worker(worker) => self.on_relayed_report(from, worker),
            FleetFrame::WorkerSeen(confirmation) => {
                self.departures.borrow_mut().on_confirmation(from, &confirmation)
            }
            FleetFrame::Hosts(hosts) => self.node.learn_hosts(hosts),
            FleetFrame::Ping(_) | FleetFrame::Pong(_) => {
                let now_ms = crate::clock::now_ms();
                self.node.view.borrow_mut().hosts.record_message(now_ms, from);
            }
            FleetFrame::Load(load) => {
                let now_ms = crate::clock::now_ms();
                let mut view = self.node.view.borrow_mut();
                self.weights.borrow_mut().record(now_ms, &load.stream_speeds, &view.workers);
                view.loads.record_host(now_ms, from, load);
            }
            FleetFrame::ControlWanted(_) => {
                let control = self.published.borrow().clone();
                if let Some(hub) = self.node.hub() {
                    hub.send(from, FleetFrame::Control(control));
                }
            }
            FleetFrame::Streams(streams) => self.on_streams(streams),
            FleetFrame::StreamWanted(query) => self.on_stream_query(from, &query),
            FleetFrame::Crashes(crashes) => self.on_crashes(from, crashes),
            FleetFrame::PartsServed(served) => self.on_parts_served(&served),
            FleetFrame::Quarantine(entry) => self.node.add_quarantine(&entry, from),
            FleetFrame::Leave(leave) => self.on_relayed_leave(from, leave),
            FleetFrame::Trial(trial) => self.on_trial(from, trial),
            FleetFrame::QuotaWanted(wanted) => self.on_quota_wanted(from, &wanted),
            // A core host takes the control state from its log and sums up the loads
            // itself.
            FleetFrame::Control(_)
            | FleetFrame::ControlNews(_)
            | FleetFrame::Heard(_)
            | FleetFrame::Loads(_)
            | FleetFrame::PartsWanted(_)
            | FleetFrame::QuotaGranted(_)
            | FleetFrame::StreamKnown(_) => (),
        }
    }

    async fn run_housekeeping(self: Rc<Self>) {
        let mut tick = time::interval(HOUSEKEEPING_INTERVAL);
        let mut ticks: u64 = 0;
        loop {
            tick.tick().await;
            ticks += 1;
            self.node.refresh_own_entry();
            self.node.dial_cores();
            self.expire_workers();
            self.node.view.borrow_mut().remove_old_streams(clock::now_ms());
            self.send_region_loads(ticks);
            self.evaluate_crashes();
            self.save_quarantine();
            self.update_quotas();
            if ticks.is_multiple_of(CLEANUP_TICKS) {
                self.remove_old_crashes();
                self.remove_old_trials();
                self.remove_old_departures();
                self.unanswered.borrow_mut().remove_old(clock::now_ms());
            }
            self.send_hosts_to_cores(ticks);
            self.send_live_entries(ticks);
            self.change_voters().await;
            self.export_voter_metrics();
        }
    }

    /// Announces the planned stop, hands over control and closes the storage.
    pub(crate) async fn stop(&self) {
        self.node.leave();
        log::info!(event = Event::HostDraining.number(); "planned stop started");
        let grace = Duration::from_millis(self.node.settings.grace_ms);
        self.hand_over(grace.saturating_sub(CLOSE_RESERVE)).await;
        if time::timeout(CLOSE_TIMEOUT, self.log.stop()).await.is_err() {
            log::warn!("control log not closed within {CLOSE_TIMEOUT:?}");
        }
        self.node.calls.wait_until_answered(LAST_ANSWERS_TIMEOUT).await;
    }
}
