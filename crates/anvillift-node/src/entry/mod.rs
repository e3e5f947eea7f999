//! An entry host: a reverse proxy from callers to workers.
//!
//! [`front`] serves the connections of callers and of other entry hosts that
//! forward requests. [`admit`] checks a request and finds its route; [`forward`]
//! makes attempts at the targets that [`target`] and [`host_target`] choose, by whether this host
//! reaches workers ([`contact`]), and keeps [`attempt_records`] of them, unless [`deadline`], [`calls`] or
//! [`overload`] rejects the request, the last by the share of its team ([`team_shares`]) where
//! there are teams, or the [`quota`] of its team has no room; [`notices`] keeps what workers say in
//! their answers. [`relay`] streams the response to the caller, and [`resume`] continues a broken
//! stream at another worker of its version. A request that resumes a stream goes to the version
//! that [`stream_lookup`] finds, in what [`stream_version`] has recorded here or told to cores, and
//! waits a moment for a host that reaches workers of that version ([`resume_wait`]).
//! [`crashes`] finds out which prompts were in flight at workers that crash, [`quarantined`] refuses
//! them, and [`trials`] sends one of those again. [`planned_stop`] lets
//! requests end, or ends them. The policies behind these decisions are in `anvillift-fleet`.

mod admit;
mod answer_log;
mod answer_outcome;
mod attempt;
mod attempt_records;
mod attempts;
mod body_memory;
mod calls;
mod carried_requests;
mod contact;
mod counted_quota;
mod crashes;
mod deadline;
mod dispatch_state;
mod eligible;
mod ended_workers;
mod exchange;
mod forward;
mod forward_headers;
mod frames;
mod front;
mod host_target;
mod housekeeping;
mod load_decision;
mod notices;
mod overload;
mod planned_stop;
mod pool;
mod quarantined;
mod quota;
mod read_body;
mod region_loads;
mod relay;
mod request;
mod request_bytes;
mod request_failure;
mod request_progress;
mod response_writer;
mod resume;
mod resume_wait;
mod retries;
mod served_request;
mod standstill;
mod stream_lookup;
mod stream_lookups;
mod stream_version;
mod target;
mod target_reason;
mod team;
mod team_shares;
mod trials;
mod upstream_response;
mod wait;
mod worker_speeds;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use anvillift_fleet::{BrokenRequests, ColdShare, ControlFetch, CrashEvidence, RetryShare, seed};
use anvillift_http::RequestHead;
use anvillift_schema::name::Name;
use bytes::Bytes;
use tokio::sync::{Notify, watch};
use tokio::task::{self, JoinHandle};

use crate::dialect::{CallError, ControlCall, Dialect};
use crate::entry::body_memory::BodyMemory;
use crate::entry::contact::ContactState;
use crate::entry::dispatch_state::DispatchState;
use crate::entry::planned_stop::PlannedStop;
use crate::entry::pool::Pool;
use crate::entry::quota::Quotas;
use crate::entry::served_request::ServedRequests;
use crate::entry::standstill::Standstill;
use crate::entry::stream_lookups::StreamLookups;
use crate::entry::team_shares::TeamSharing;
use crate::entry::trials::EntryTrials;
use crate::error::NodeError;
use crate::hub::{Hub, HubHooks};
use crate::log_budget::LogBudget;
use crate::node::Node;
use crate::respond::Reply;
use crate::serve_calls::ReplyFuture;
use crate::settings::NodeSettings;
use crate::{clock, listen, serve_calls};

/// State of an entry host, shared by its tasks.
pub(crate) struct Entry {
    pub(crate) node: Rc<Node>,
    pub(crate) dispatch: RefCell<DispatchState>,
    pub(crate) pool: Rc<Pool>,
    control_fetch: RefCell<ControlFetch>,
    pub(crate) started_ms: u64,
    /// Requests being received or served.
    pub(crate) served: Rc<ServedRequests>,
    /// Number of requests that wait for a change of the fleet view.
    waiting_requests: Cell<usize>,
    /// Wakes the waiting requests when the fleet view changes.
    view_changed: Notify,
    /// Tasks that accept connections, one for each listening socket.
    accepting: RefCell<Vec<JoinHandle<()>>>,
    /// Makes these tasks close their listening sockets.
    accepting_ends: Notify,
    /// Wakes the task that tells cores about streams.
    announcement_due: Notify,
    /// How far this host reaches the workers of its region.
    contact: RefCell<ContactState>,
    /// Wakes the task that checks workers while none is reached.
    contact_check_due: Notify,
    /// Answers that broke off, until it is known whether their worker has crashed.
    broken: RefCell<BrokenRequests>,
    /// Crashes that this host has confirmed. It tells cores of them, and decides by them while it
    /// hears no core.
    crash_evidence: RefCell<CrashEvidence>,
    /// Trials of quarantined requests at this host.
    trials: RefCell<EntryTrials>,
    /// Wakes the task that checks workers for crashes.
    crash_check_due: Notify,
    /// Quotas of teams.
    quotas: Quotas,
    /// Bounds the log lines about rejected calls.
    call_rejection_lines: LogBudget,
    /// Shares of teams in services that are overloaded.
    team_sharing: TeamSharing,
    /// Running lookups of the version that began a stream.
    stream_lookups: RefCell<StreamLookups>,
    /// Memory for request bodies.
    body_memory: BodyMemory,
    /// Whether this host has stood still and has not caught up.
    standstill: Standstill,
    /// The planned stop, or `None` before.
    pub(crate) planned_stop: Cell<Option<PlannedStop>>,
    /// Whether the planned stop ends the requests in service.
    requests_end: watch::Sender<bool>,
}

/// This host's share of the retry budgets. At the first start of the fleet nothing can have
/// been spent of them.
fn retry_share(settings: &NodeSettings) -> RetryShare {
    let retries = settings.retries.clone();
    if settings.is_first_start {
        RetryShare::new(retries)
    } else {
        RetryShare::after_restart(retries, clock::now_ms())
    }
}

/// This host's share of the request rate of cold workers, which it may have spent before a restart.
fn cold_share(settings: &NodeSettings) -> ColdShare {
    if settings.is_first_start {
        ColdShare::default()
    } else {
        ColdShare::after_restart(clock::now_ms())
    }
}

impl Entry {
    /// Opens the listening sockets and starts the host's tasks.
    pub(crate) fn start(settings: NodeSettings, dialect: Dialect) -> Result<Rc<Self>, NodeError> {
        let node = Node::new(settings, dialect, Name::default());
        let own_host = node.own_host();
        let seed = seed::of_host(&own_host.name, own_host.boot);
        let cores = node.settings.seed_names().len();
        let (retries, cold) = (retry_share(&node.settings), cold_share(&node.settings));
        let dispatch = RefCell::new(DispatchState::new(retries, cold, seed));
        let body_memory = BodyMemory::of_machine(node.settings.memory_bytes);
        let entry = Rc::new(Self {
            node,
            dispatch,
            pool: Pool::new(),
            control_fetch: RefCell::new(ControlFetch::beside(cores)),
            started_ms: clock::now_ms(),
            served: Rc::default(),
            waiting_requests: Cell::new(0),
            view_changed: Notify::new(),
            accepting: RefCell::default(),
            accepting_ends: Notify::new(),
            announcement_due: Notify::new(),
            contact: RefCell::default(),
            contact_check_due: Notify::new(),
            broken: RefCell::default(),
            crash_evidence: RefCell::default(),
            trials: RefCell::default(),
            crash_check_due: Notify::new(),
            quotas: Quotas::new(&own_host.name),
            call_rejection_lines: calls::rejection_lines(),
            team_sharing: TeamSharing::new(),
            stream_lookups: RefCell::default(),
            body_memory,
            standstill: Standstill::new(clock::now_ms()),
            planned_stop: Cell::new(None),
            requests_end: watch::Sender::new(false),
        });
        entry.listen()?;
        entry.node.dial_cores();
        let housekeeper = Rc::clone(&entry);
        task::spawn_local(async move { housekeeper.run_housekeeping().await });
        let reporter = Rc::clone(&entry);
        task::spawn_local(async move { reporter.report_load().await });
        let announcer = Rc::clone(&entry);
        task::spawn_local(async move { announcer.run_announcements().await });
        let checker = Rc::clone(&entry);
        task::spawn_local(async move { checker.run_crash_checks().await });
        let connection_checker = Rc::clone(&entry);
        task::spawn_local(async move { connection_checker.run_connection_checks().await });
        let standstill_checker = Rc::clone(&entry);
        task::spawn_local(async move { standstill_checker.run_standstill_checks().await });
        let contact_checker = Rc::clone(&entry);
        task::spawn_local(async move { contact_checker.run_contact_checks().await });
        let asker = Rc::clone(&entry);
        task::spawn_local(async move { asker.run_quota_questions().await });
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
            serve_calls::serve(listen::listen(address)?, &self.node.calls, Rc::new(answer));
        }
        let (on_frame, on_link_up) = (Rc::downgrade(self), Rc::downgrade(self));
        let on_applied = Rc::downgrade(self);
        self.node.set_on_control_applied(Box::new(move || {
            if let Some(entry) = on_applied.upgrade() {
                entry.on_control_applied();
            }
        }));
        let describe = Rc::clone(&self.node);
        let hub = Hub::new(HubHooks {
            on_frame: Box::new(move |from, frame| {
                if let Some(entry) = on_frame.upgrade() {
                    entry.on_frame(from, frame);
                }
            }),
            on_link_up: Box::new(move |name| {
                on_link_up.upgrade().map(|entry| entry.queries_for(name)).unwrap_or_default()
            }),
            describe: Box::new(move || describe.own_host()),
        });
        hub.accept_links(links);
        self.node.set_hub(hub);
        Ok(())
    }

    fn answer_call(&self, head: &RequestHead, body: &[u8]) -> Reply {
        let began_ms = clock::now_ms();
        match (self.node.dialect.decode_call)(head, body) {
            Ok(ControlCall::Readiness) if self.is_ready() => Reply::new(200, b"{}".to_vec()),
            Ok(ControlCall::Readiness) => Reply::new(503, b"{}".to_vec()),
            Ok(ControlCall::Resolve { region, data_centre }) => {
                let mut reply = self.node.resolve(&region, &data_centre);
                reply.closes_connection |= self.node.is_leaving();
                self.node.record_call("resolve", head, reply.status, began_ms);
                reply
            }
            Ok(_) => self.node.reject_call(head, &CallError::Unknown),
            Err(error) => self.node.reject_call(head, &error),
        }
    }

    fn is_ready(&self) -> bool {
        !self.node.is_leaving() && self.node.view.borrow().configuration.is_some()
    }
}
