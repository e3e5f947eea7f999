//! What every process knows, whatever its role.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use anvillift_fleet::{
    ConfigurationError, FleetConfiguration, HostTable, HostTableSettings, RegionLoads, RouteTable,
    WorkerTable, document,
};
use anvillift_schema::code::Code;
use anvillift_schema::event::Event;
use anvillift_schema::fleet::{
    FleetControl, FleetFrame, FleetHost, FleetHostRole, FleetHostState, FleetHosts,
};
use anvillift_schema::name::Name;

use crate::clock;
use crate::dialect::Dialect;
use crate::hub::Hub;
use crate::respond::Reply;
use crate::settings::{HostRole, NodeSettings};

/// Time for which a core trusts what another says of a host, in milliseconds.
const CORE_TOLD_MS: u64 = 7_000;
/// Time for which an entry host trusts what a core says of a host: a few of its
/// long lists, in milliseconds.
const ENTRY_TOLD_MS: u64 = 16_000;
/// Time for which a host that a core hears is surely alive to an entry host: a
/// few of its short lists, in milliseconds.
const ENTRY_TOLD_SURE_MS: u64 = 2_500;

/// What a process knows of the fleet.
pub(crate) struct Known {
    pub(crate) hosts: HostTable,
    pub(crate) workers: WorkerTable,
    pub(crate) loads: RegionLoads,
    pub(crate) control: FleetControl,
    /// The configuration in force here, once one has arrived.
    pub(crate) configuration: Option<Arc<FleetConfiguration>>,
    pub(crate) routes: RouteTable,
}

/// The part of a process that both roles share.
pub(crate) struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) dialect: Dialect,
    pub(crate) known: RefCell<Known>,
    me: RefCell<FleetHost>,
    hub: OnceCell<Rc<Hub>>,
    is_leaving: Cell<bool>,
    seeds: RefCell<Vec<Name>>,
}

impl Node {
    pub(crate) fn new(settings: NodeSettings, dialect: Dialect, storage_id: Name) -> Rc<Self> {
        let role = match settings.role {
            HostRole::Entry => FleetHostRole::Entry,
            HostRole::Core => FleetHostRole::Core,
        };
        let trust = match settings.role {
            HostRole::Entry => {
                HostTableSettings { told_alive_ms: ENTRY_TOLD_MS, told_sure_ms: ENTRY_TOLD_SURE_MS }
            }
            HostRole::Core => {
                HostTableSettings { told_alive_ms: CORE_TOLD_MS, ..HostTableSettings::default() }
            }
        };
        let forwards = settings.role == HostRole::Entry;
        let text = |address: Option<std::net::SocketAddr>| {
            address.map(|address| address.to_string()).unwrap_or_default()
        };
        let me = FleetHost {
            name: Name::from(settings.link_address().to_string()),
            role,
            state: FleetHostState::Starting,
            data_centre: settings.data_centre.clone(),
            region: settings.region.clone(),
            boot: clock::start_number(),
            revision: 0,
            caller_address: text(settings.caller_address),
            operator_address: text(settings.operator_address),
            forward_address: text(forwards.then(|| settings.forward_address())),
            storage_id,
        };
        let mut hosts = HostTable::new(trust);
        hosts.merge(clock::now_ms(), me.clone(), true);
        let known = Known {
            hosts,
            workers: WorkerTable::default(),
            loads: RegionLoads::default(),
            control: anvillift_fleet::ControlMachine::default().state().clone(),
            configuration: None,
            routes: RouteTable::default(),
        };
        let seeds = RefCell::new(settings.seed_names());
        Rc::new(Self {
            seeds,
            settings,
            dialect,
            known: RefCell::new(known),
            me: RefCell::new(me),
            hub: OnceCell::new(),
            is_leaving: Cell::new(false),
        })
    }

    /// Gives the node its links; called once, at the start.
    pub(crate) fn set_hub(&self, hub: Rc<Hub>) {
        self.hub.set(hub).ok();
    }

    pub(crate) fn hub(&self) -> Option<&Rc<Hub>> {
        self.hub.get()
    }

    /// This host as it describes itself.
    pub(crate) fn me(&self) -> FleetHost {
        self.me.borrow().clone()
    }

    /// Changes the own state and tells every link.
    pub(crate) fn set_state(&self, state: FleetHostState) {
        if self.me.borrow().state == state {
            return;
        }
        {
            let mut me = self.me.borrow_mut();
            me.state = state;
            me.revision += 1;
        }
        let me = self.me();
        self.known.borrow_mut().hosts.merge(clock::now_ms(), me.clone(), true);
        if let Some(hub) = self.hub() {
            hub.send_all(&FleetFrame::Hello(me));
        }
    }

    /// Notes that this host itself is there.
    pub(crate) fn note_alive(&self) {
        let me = self.me();
        self.known.borrow_mut().hosts.heard(clock::now_ms(), &me.name);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    /// Begins the planned stop.
    pub(crate) fn leave(&self) {
        self.is_leaving.set(true);
        self.set_state(FleetHostState::Leaving);
    }

    /// Takes over what may change while the process runs: the seeds.
    pub(crate) fn reload(&self, settings: &NodeSettings) {
        self.seeds.replace(settings.seed_names());
        self.dial_cores();
    }

    /// Keeps links to the seeds and to every core host that is known.
    pub(crate) fn dial_cores(&self) {
        let Some(hub) = self.hub() else { return };
        let mut names = self.seeds.borrow().clone();
        let now_ms = clock::now_ms();
        let known = self.known.borrow();
        let cores = known.hosts.iter(now_ms).filter(|(host, _)| host.role == FleetHostRole::Core);
        names.extend(cores.map(|(host, _)| host.name.clone()));
        drop(known);
        for name in names {
            hub.keep_link(&name);
        }
    }

    /// Takes the description of a host; whether it is new.
    pub(crate) fn learn_host(&self, host: FleetHost, direct: bool) -> bool {
        if host.name == self.me.borrow().name {
            return false;
        }
        let is_core = host.role == FleetHostRole::Core;
        let name = host.name.clone();
        let (state, boot) = (host.state, host.boot);
        let new = self.known.borrow_mut().hosts.merge(clock::now_ms(), host, direct);
        if new {
            log::info!(
                event = Event::HostLearned.number(), peer = name.as_str(), boot = boot,
                direct = direct;
                "host is {state}"
            );
        }
        if is_core && let Some(hub) = self.hub() {
            hub.keep_link(&name);
        }
        new
    }

    /// Takes what another host says of the hosts that it hears.
    pub(crate) fn learn_hosts(&self, hosts: FleetHosts) {
        for host in hosts.hosts {
            self.learn_host(host, false);
        }
    }

    /// An answer with a numbered code.
    pub(crate) fn coded(&self, code: Code, detail: &str) -> Reply {
        let text = format!("{} {detail} ({})", code.number(), code.outcome());
        Reply::new(code.status(), (self.dialect.encode_error)(&text))
    }

    fn decode(&self, control: &FleetControl) -> Result<FleetConfiguration, ConfigurationError> {
        let document = document::unpack(&control.document)
            .map_err(|error| ConfigurationError::Unreadable { reason: error.to_string() })?;
        (self.dialect.decode_configuration)(&document)
    }

    /// Puts a newer state of control in force; whether it was newer.
    pub(crate) fn adopt_control(&self, control: FleetControl) -> bool {
        if control.index <= self.known.borrow().control.index {
            return false;
        }
        let decoded = self.decode(&control);
        let mut known = self.known.borrow_mut();
        if control.version > 0 {
            match decoded {
                Ok(configuration) => {
                    known.routes = RouteTable::new(&configuration);
                    known.configuration = Some(Arc::new(configuration));
                }
                Err(error) => {
                    log::error!(version = control.version; "an accepted configuration is unreadable: {error}");
                }
            }
        }
        log::info!(
            event = Event::ConfigurationApplied.number(), version = control.version,
            index = control.index, evacuated = control.evacuated.len();
            "control state in force"
        );
        let now_ms = clock::now_ms();
        let ended = known.control.evacuated.clone();
        for data_centre in ended.iter().filter(|name| !control.evacuated.contains(name)) {
            known.workers.doubt_data_centre(now_ms, data_centre);
        }
        known.control = control;
        true
    }
}
