//! A core host: the control log, workers' reports, and the directory.

mod calls;
mod control_log;
mod gossip;
mod reports;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use anvillift_http::RequestHead;
use anvillift_schema::event::Event;
use anvillift_schema::fleet::{FleetFrame, FleetHostState};
use anvillift_schema::name::Name;
use anvillift_storage::DataFolder;
use bytes::Bytes;
use snafu::{OptionExt, ResultExt};
use tokio::{task, time};

use crate::core::control_log::ControlLog;
use crate::core::reports::Reports;
pub(crate) use crate::core::reports::seen;
use crate::dialect::Dialect;
use crate::error::{NodeError, SettingsSnafu, StorageSnafu};
use crate::hub::{Hub, HubHooks};
use crate::listen;
use crate::node::Node;
use crate::serve_calls;
use crate::serve_calls::ReplyFuture;
use crate::settings::NodeSettings;

/// Between checks of what time alone changes.
const HOUSEKEEPING: Duration = Duration::from_millis(250);
/// Longest time for handing over leadership at a planned stop.
const HAND_OVER_WITHIN: Duration = Duration::from_millis(1_500);

/// A core host.
pub(crate) struct Core {
    pub(crate) node: Rc<Node>,
    pub(crate) log: ControlLog,
    pub(crate) reports: RefCell<Reports>,
}

impl Core {
    /// Starts the host's tasks.
    pub(crate) fn start(settings: NodeSettings, dialect: Dialect) -> Result<Rc<Self>, NodeError> {
        let path = settings.data_folder.clone();
        let path = path.context(SettingsSnafu { reason: "a core host needs a data folder" })?;
        let folder = DataFolder::open(&path).context(StorageSnafu)?;
        let node = Node::new(settings, dialect, folder.storage_id().clone());
        let log = ControlLog::start(&node, folder)?;
        let core = Rc::new(Self { node, log, reports: RefCell::default() });
        core.listen()?;
        core.node.dial_cores();
        core.node.set_state(FleetHostState::Ready);
        let keeper = Rc::clone(&core);
        task::spawn_local(async move { keeper.keep_house().await });
        let publisher = Rc::clone(&core);
        task::spawn_local(async move { publisher.publish_control().await });
        let supervisor = Rc::clone(&core);
        task::spawn_local(async move { supervisor.log.supervise().await });
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
                Box::pin(async move { core.answer(&head, &body).await })
            };
            serve_calls::serve(listen::listen(address)?, Rc::new(answer));
        }
        let (on_frame, on_up) = (Rc::downgrade(self), Rc::downgrade(self));
        let describe = Rc::clone(&self.node);
        let hub = Hub::new(HubHooks {
            on_frame: Box::new(move |from, frame| {
                if let Some(core) = on_frame.upgrade() {
                    core.on_frame(from, frame);
                }
            }),
            on_up: Box::new(move |name| {
                on_up.upgrade().map(|core| core.on_link_up(name)).unwrap_or_default()
            }),
            describe: Box::new(move || describe.me()),
        });
        hub.take_links(links);
        self.node.set_hub(Rc::clone(&hub));
        self.log.send_over(hub);
        Ok(())
    }

    fn on_frame(&self, from: &Name, frame: FleetFrame) {
        match frame {
            FleetFrame::Hello(host) => {
                if self.node.learn_host(host.clone(), true) {
                    self.tell_host(host);
                }
            }
            FleetFrame::Consensus(envelope) => self.log.receive(from.clone(), envelope),
            FleetFrame::Worker(worker) => self.on_relayed_report(from, worker),
            FleetFrame::WorkerSeen(seen) => self.reports.borrow_mut().on_seen(from, &seen),
            FleetFrame::Hosts(hosts) => self.node.learn_hosts(hosts),
            FleetFrame::Ping(_) | FleetFrame::Pong(_) => {
                let now_ms = crate::clock::now_ms();
                self.node.known.borrow_mut().hosts.heard(now_ms, from);
            }
            FleetFrame::Load(load) => {
                let now_ms = crate::clock::now_ms();
                self.node.known.borrow_mut().loads.tell_host(now_ms, from, load);
            }
            FleetFrame::ControlWanted(_) => {
                let control = self.node.known.borrow().control.clone();
                if let Some(hub) = self.node.hub() {
                    hub.send(from, FleetFrame::Control(control));
                }
            }
            // Cores learn control from the log, and add up the loads themselves.
            FleetFrame::Control(_)
            | FleetFrame::ControlNews(_)
            | FleetFrame::Heard(_)
            | FleetFrame::Loads(_) => (),
        }
    }

    async fn keep_house(self: Rc<Self>) {
        let mut turn = time::interval(HOUSEKEEPING);
        let mut turns: u64 = 0;
        loop {
            turn.tick().await;
            turns += 1;
            self.node.note_alive();
            self.node.dial_cores();
            self.expire_workers();
            self.tell_loads();
            self.gossip(turns);
            self.tell_heard(turns);
            self.change_voters().await;
            self.show_voters();
        }
    }

    /// Hands over what this host leads, and closes its storage.
    pub(crate) async fn stop(&self) {
        self.node.leave();
        log::info!(event = Event::HostDraining.number(); "the planned stop has begun");
        if time::timeout(HAND_OVER_WITHIN, self.log.stop()).await.is_err() {
            log::warn!("leadership was not handed over in time");
        }
    }
}
