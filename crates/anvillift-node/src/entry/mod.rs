//! An entry host: callers' requests and where they go.
//!
//! A connection of a caller, or of another entry host that passes a request
//! on, is served by [`front`]; [`admit`] turns a head into a request that may
//! be served; [`forward`] makes the attempts that [`target`] chooses, and
//! [`relay`] passes the answer on. Everything that decides stands in
//! `anvillift-fleet`.

mod admit;
mod attempt;
mod final_answer;
mod forward;
mod front;
mod load;
mod pool;
mod relay;
mod request;
mod resume;
mod target;
mod wait;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use anvillift_fleet::{ControlPull, ServiceLoads, seed};
use anvillift_http::RequestHead;
use anvillift_schema::event::Event;
use anvillift_schema::fleet::{
    FleetControlNews, FleetFrame, FleetHostState, FleetLoad, FleetWorkerState,
};
use anvillift_schema::name::Name;
use bytes::Bytes;
use tokio::sync::Notify;
use tokio::{task, time};

use crate::core::seen;
use crate::dialect::{CallError, ControlCall, Dialect};
use crate::entry::load::Load;
use crate::entry::pool::Pool;
use crate::error::NodeError;
use crate::hub::{Hub, HubHooks};
use crate::node::Node;
use crate::respond::Reply;
use crate::serve_calls::ReplyFuture;
use crate::settings::NodeSettings;
use crate::{clock, listen, serve_calls};

/// Between checks of what time alone changes.
const HOUSEKEEPING: Duration = Duration::from_millis(500);
/// Turns of housekeeping between two looks for what is gone.
const FORGET_TURNS: u64 = 10;
/// Between two reports of the own load.
const TELL_LOAD: Duration = Duration::from_millis(250);
/// Shortest stay after the planned stop has begun: callers use what the
/// directory told them for a while.
const STAY_AT_LEAST_MS: u64 = 1_200;
/// Kept of the grace for the process to end by itself, in milliseconds.
const END_BEFORE_GRACE_MS: u64 = 900;
/// Between looks at whether everything has ended.
const LOOK: Duration = Duration::from_millis(20);

/// An entry host.
pub(crate) struct Entry {
    pub(crate) node: Rc<Node>,
    pub(crate) load: RefCell<Load>,
    pub(crate) pool: Rc<Pool>,
    control_pull: RefCell<ControlPull>,
    pub(crate) started_ms: u64,
    /// Requests that are being served.
    pub(crate) in_service: Cell<u64>,
    /// Requests that wait for what is not known yet.
    waiting: Cell<usize>,
    /// Tells those of each change of what is known.
    news: Notify,
    /// Bodies held in memory, in bytes.
    pub(crate) held_body_bytes: Cell<u64>,
    /// When the planned stop began.
    pub(crate) leaving_since_ms: Cell<Option<u64>>,
}

impl Entry {
    /// Starts the host's tasks.
    pub(crate) fn start(settings: NodeSettings, dialect: Dialect) -> Result<Rc<Self>, NodeError> {
        let node = Node::new(settings, dialect, Name::default());
        let me = node.me();
        let seed = seed::of_host(&me.name, me.boot);
        let load = RefCell::new(Load::new(node.settings.retries.clone(), seed));
        let entry = Rc::new(Self {
            node,
            load,
            pool: Pool::new(),
            control_pull: RefCell::default(),
            started_ms: clock::now_ms(),
            in_service: Cell::new(0),
            waiting: Cell::new(0),
            news: Notify::new(),
            held_body_bytes: Cell::new(0),
            leaving_since_ms: Cell::new(None),
        });
        entry.listen()?;
        entry.node.dial_cores();
        let keeper = Rc::clone(&entry);
        task::spawn_local(async move { keeper.keep_house().await });
        let teller = Rc::clone(&entry);
        task::spawn_local(async move { teller.tell_load().await });
        Ok(entry)
    }

    fn listen(self: &Rc<Self>) -> Result<(), NodeError> {
        let settings = &self.node.settings;
        let links = listen::listen(settings.link_address())?;
        if let Some(address) = settings.caller_address {
            front::serve(self, listen::listen(address)?, front::Origin::Caller);
        }
        let forwards = listen::listen(settings.forward_address())?;
        front::serve(self, forwards, front::Origin::Host);
        for address in [settings.ready_address, settings.directory_address].into_iter().flatten() {
            let entry = Rc::clone(self);
            let answer = move |head: RequestHead, body: Bytes| -> ReplyFuture {
                let reply = entry.answer_call(&head, &body);
                Box::pin(async move { reply })
            };
            serve_calls::serve(listen::listen(address)?, Rc::new(answer));
        }
        let on_frame = Rc::downgrade(self);
        let describe = Rc::clone(&self.node);
        let hub = Hub::new(HubHooks {
            on_frame: Box::new(move |from, frame| {
                if let Some(entry) = on_frame.upgrade() {
                    entry.on_frame(from, frame);
                }
            }),
            on_up: Box::new(|_| Vec::new()),
            describe: Box::new(move || describe.me()),
        });
        hub.take_links(links);
        self.node.set_hub(hub);
        Ok(())
    }

    fn answer_call(&self, head: &RequestHead, body: &[u8]) -> Reply {
        let began_ms = clock::now_ms();
        match (self.node.dialect.decode_call)(head, body) {
            Ok(ControlCall::Readiness) if self.is_ready() => Reply::new(200, b"{}".to_vec()),
            Ok(ControlCall::Readiness) => Reply::new(503, b"{}".to_vec()),
            Ok(ControlCall::Resolve { region }) => {
                let mut reply = self.node.resolve(&region);
                reply.closes |= self.node.is_leaving();
                self.node.note_call("resolve", head, reply.status, began_ms);
                reply
            }
            Ok(_) => self.node.refuse_call(head, &CallError::Unknown),
            Err(error) => self.node.refuse_call(head, &error),
        }
    }

    fn is_ready(&self) -> bool {
        !self.node.is_leaving() && self.node.known.borrow().configuration.is_some()
    }

    fn on_frame(&self, from: &Name, frame: FleetFrame) {
        match frame {
            FleetFrame::Hello(host) => {
                self.node.learn_host(host, true);
            }
            FleetFrame::Hosts(hosts) => self.node.learn_hosts(hosts),
            FleetFrame::Control(control) => {
                if self.node.adopt_control(control) {
                    self.tell_waiting();
                    if self.is_ready() {
                        self.node.set_state(FleetHostState::Ready);
                    }
                }
            }
            FleetFrame::ControlNews(news) => {
                let held_index = self.node.known.borrow().control.index;
                let mut pull = self.control_pull.borrow_mut();
                if pull.on_news(clock::now_ms(), from, news.index, held_index) {
                    self.want_control(from);
                }
            }
            FleetFrame::Heard(heard) => {
                let now_ms = clock::now_ms();
                let hosts = &mut self.node.known.borrow_mut().hosts;
                heard.hosts.iter().for_each(|name| hosts.told(now_ms, name));
            }
            FleetFrame::Worker(report) => self.on_worker(from, report),
            FleetFrame::Ping(_) | FleetFrame::Pong(_) => {
                self.node.known.borrow_mut().hosts.heard(clock::now_ms(), from);
            }
            FleetFrame::Loads(loads) => {
                self.node.known.borrow_mut().loads.tell_regions(clock::now_ms(), loads);
            }
            FleetFrame::Consensus(_)
            | FleetFrame::ControlWanted(_)
            | FleetFrame::WorkerSeen(_)
            | FleetFrame::Load(_) => (),
        }
    }

    /// Asks a core for its state of control.
    fn want_control(&self, core: &Name) {
        let known = self.node.known.borrow();
        let held = FleetControlNews { index: known.control.index, version: known.control.version };
        if let Some(hub) = self.node.hub() {
            hub.send(core, FleetFrame::ControlWanted(held));
        }
    }

    fn on_worker(&self, from: &Name, report: anvillift_schema::fleet::FleetWorker) {
        let ends = matches!(report.state, FleetWorkerState::Draining | FleetWorkerState::Left);
        let confirmation = seen(&report);
        let (id, state, sequence) = (report.id.clone(), report.state, report.sequence);
        let matters = self.node.known.borrow_mut().workers.merge(clock::now_ms(), report);
        if matters {
            self.tell_waiting();
            log::info!(
                event = Event::WorkerChanged.number(), worker = id.as_str(), sequence = sequence,
                from = from.as_str();
                "worker is {state}"
            );
        }
        if ends && let Some(hub) = self.node.hub() {
            hub.send(from, confirmation);
        }
    }

    /// Tells the cores what this host has under way at the workers.
    async fn tell_load(self: Rc<Self>) {
        let mut turn = time::interval(TELL_LOAD);
        loop {
            turn.tick().await;
            let load = self.own_load();
            let Some(hub) = self.node.hub() else { continue };
            hub.send_all(&FleetFrame::Load(load));
        }
    }

    fn own_load(&self) -> FleetLoad {
        let known = self.node.known.borrow();
        let load = self.load.borrow();
        let mut services = ServiceLoads::default();
        for entry in known.workers.iter() {
            services.add(&entry.report.service, load.work(&entry.report.id));
        }
        FleetLoad { region: self.node.settings.region.clone(), services: services.told() }
    }

    async fn keep_house(self: Rc<Self>) {
        let mut turn = time::interval(HOUSEKEEPING);
        let mut turns: u64 = 0;
        loop {
            turn.tick().await;
            let now_ms = clock::now_ms();
            self.node.dial_cores();
            self.pool.prune(now_ms);
            let held_index = self.node.known.borrow().control.index;
            let again = self.control_pull.borrow_mut().ask_again(now_ms, held_index);
            if let Some(core) = again {
                self.want_control(&core);
            }
            self.node.note_alive();
            turns += 1;
            if turns.is_multiple_of(FORGET_TURNS) {
                let mut known = self.node.known.borrow_mut();
                known.hosts.forget(now_ms);
                known.workers.forget_gone(now_ms);
                self.load.borrow_mut().forget_gone(&known);
            }
            metrics::gauge!("anvillift_requests_in_service").set(self.in_service.get() as f64);
        }
    }

    /// Leaves: out of the directory at once, and out of the process when what
    /// is under way has ended.
    pub(crate) async fn stop(&self) {
        let began_ms = clock::now_ms();
        self.leaving_since_ms.set(Some(began_ms));
        self.node.leave();
        log::info!(
            event = Event::HostDraining.number(), in_service = self.in_service.get();
            "the planned stop has begun"
        );
        let end_ms = began_ms + self.node.settings.grace_ms.saturating_sub(END_BEFORE_GRACE_MS);
        loop {
            time::sleep(LOOK).await;
            let now_ms = clock::now_ms();
            let stayed = now_ms >= began_ms + STAY_AT_LEAST_MS;
            if now_ms >= end_ms || (stayed && self.in_service.get() == 0) {
                return;
            }
        }
    }
}
