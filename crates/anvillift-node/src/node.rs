//! State and behaviour that entry and core hosts share: this host's view of the
//! fleet, its own description, and the control state that it applies.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use anvillift_fleet::{
    HostTable, HostTableSettings, Quarantine, RegionLoads, RouteTable, StreamVersions, TeamTable,
    WorkerTable,
};
use anvillift_schema::code::Code;
use anvillift_schema::event::Event;
use anvillift_schema::fleet::{FleetFrame, FleetHost, FleetHostRole, FleetHostState, FleetHosts};
use anvillift_schema::name::Name;

use crate::call_count::CallCount;
use crate::clock;
use crate::dialect::Dialect;
use crate::fleet_view::FleetView;
use crate::hub::Hub;
use crate::pending_control::PendingControl;
use crate::respond::Reply;
use crate::settings::{HostRole, NodeSettings};

/// Time for which a core host considers a host alive after another core host has
/// reported it, in milliseconds.
const CORE_RELAYED_TTL_MS: u64 = 7_000;
/// Time for which an entry host considers a host alive after a core host has
/// reported it, in milliseconds. It covers a few of the core's full host lists.
const ENTRY_RELAYED_TTL_MS: u64 = 16_000;
/// Time for which an entry host considers a host certainly alive after a core host
/// has reported it, in milliseconds. It covers a few of the core's regional host
/// lists.
const ENTRY_RELAYED_FRESH_MS: u64 = 2_500;

/// Callback after a control state is applied.
type OnControlApplied = Box<dyn Fn()>;

/// The part of a process that entry and core hosts share.
pub(crate) struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) dialect: Dialect,
    pub(crate) view: RefCell<FleetView>,
    /// Description of this host, as sent to the others.
    own_host: RefCell<FleetHost>,
    hub: OnceCell<Rc<Hub>>,
    /// Control states whose configuration is being decoded.
    pub(crate) pending_control: RefCell<PendingControl>,
    on_control_applied: OnceCell<OnControlApplied>,
    is_leaving: Cell<bool>,
    /// Calls that this host is answering.
    pub(crate) calls: CallCount,
    /// Names of the seed hosts; replaced when the settings are reloaded.
    seeds: RefCell<Vec<Name>>,
}

impl Node {
    pub(crate) fn new(settings: NodeSettings, dialect: Dialect, storage_id: Name) -> Rc<Self> {
        let role = match settings.role {
            HostRole::Entry => FleetHostRole::Entry,
            HostRole::Core => FleetHostRole::Core,
        };
        let table_settings = match settings.role {
            HostRole::Entry => HostTableSettings {
                reported_alive_ms: ENTRY_RELAYED_TTL_MS,
                reported_confirmed_ms: ENTRY_RELAYED_FRESH_MS,
            },
            HostRole::Core => HostTableSettings {
                reported_alive_ms: CORE_RELAYED_TTL_MS,
                ..HostTableSettings::default()
            },
        };
        let is_entry = settings.role == HostRole::Entry;
        let address_text = |address: Option<std::net::SocketAddr>| {
            address.map(|address| address.to_string()).unwrap_or_default()
        };
        let own_host = FleetHost {
            name: Name::from(settings.link_address().to_string()),
            role,
            state: FleetHostState::Starting,
            data_centre: settings.data_centre.clone(),
            region: settings.region.clone(),
            boot: clock::start_number(),
            revision: 0,
            caller_address: address_text(settings.caller_address),
            operator_address: address_text(settings.operator_address),
            forward_address: address_text(is_entry.then(|| settings.forward_address())),
            storage_id,
            remembers_streams: true,
            shares_quarantine: true,
            cpu_millicores: settings.cpu_millicores,
            shares_quotas: true,
            shares_trials: true,
            takes_leaves: true,
        };
        let mut hosts = HostTable::new(table_settings);
        hosts.merge(clock::now_ms(), own_host.clone(), true);
        let view = FleetView {
            hosts,
            workers: WorkerTable::default(),
            loads: RegionLoads::default(),
            control: anvillift_fleet::ControlMachine::default().state().clone(),
            configuration: None,
            document_hash: None,
            routes: RouteTable::default(),
            teams: TeamTable::default(),
            streams: StreamVersions::default(),
            weights_percent: BTreeMap::new(),
            quarantine: Quarantine::default(),
            stream_retention_ms: None,
            started_ms: clock::now_ms(),
        };
        let seeds = RefCell::new(settings.seed_names());
        Rc::new(Self {
            seeds,
            settings,
            dialect,
            view: RefCell::new(view),
            own_host: RefCell::new(own_host),
            hub: OnceCell::new(),
            pending_control: RefCell::default(),
            on_control_applied: OnceCell::new(),
            is_leaving: Cell::new(false),
            calls: CallCount::default(),
        })
    }

    /// Sets the links of this host. Called once, at the start.
    pub(crate) fn set_hub(&self, hub: Rc<Hub>) {
        self.hub.set(hub).ok();
    }

    pub(crate) fn hub(&self) -> Option<&Rc<Hub>> {
        self.hub.get()
    }

    /// The description of this host that is sent to the others.
    pub(crate) fn own_host(&self) -> FleetHost {
        self.own_host.borrow().clone()
    }

    /// Changes the state of this host and sends it over every link.
    pub(crate) fn set_state(&self, state: FleetHostState) {
        if self.own_host.borrow().state == state {
            return;
        }
        {
            let mut own_host = self.own_host.borrow_mut();
            own_host.state = state;
            own_host.revision += 1;
        }
        let own_host = self.own_host();
        self.view.borrow_mut().hosts.merge(clock::now_ms(), own_host.clone(), true);
        if let Some(hub) = self.hub() {
            hub.send_all(&FleetFrame::Hello(own_host));
        }
    }

    /// Refreshes this host's own entry in the host table. Entries are otherwise
    /// refreshed by messages over links, and a host has no link to itself.
    pub(crate) fn refresh_own_entry(&self) {
        let own_host = self.own_host();
        self.view.borrow_mut().hosts.record_message(clock::now_ms(), &own_host.name);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    /// Starts the planned stop: this host is announced as leaving.
    pub(crate) fn leave(&self) {
        self.is_leaving.set(true);
        self.set_state(FleetHostState::Leaving);
    }

    /// Applies the settings that may change while the process runs, which are the
    /// seeds.
    pub(crate) fn reload(&self, settings: &NodeSettings) {
        self.seeds.replace(settings.seed_names());
        self.dial_cores();
    }

    /// Maintains links to the seeds and to every core host in the host table.
    pub(crate) fn dial_cores(&self) {
        let Some(hub) = self.hub() else { return };
        let mut names = self.seeds.borrow().clone();
        let now_ms = clock::now_ms();
        let view = self.view.borrow();
        let cores = view.hosts.iter(now_ms).filter(|(host, _)| host.role == FleetHostRole::Core);
        names.extend(cores.map(|(host, _)| host.name.clone()));
        drop(view);
        for name in names {
            hub.maintain_link(&name);
        }
    }

    /// Merges the description of a host into the host table. Returns whether it
    /// changed the table. `is_direct` means that the host itself sent it.
    pub(crate) fn learn_host(&self, host: FleetHost, is_direct: bool) -> bool {
        if host.name == self.own_host.borrow().name {
            return false;
        }
        let is_core = host.role == FleetHostRole::Core;
        let name = host.name.clone();
        let (state, boot) = (host.state, host.boot);
        let is_new = self.view.borrow_mut().hosts.merge(clock::now_ms(), host, is_direct);
        if is_new {
            log::info!(
                event = Event::HostDiscovered.number(), peer = name.as_str(), boot = boot,
                direct = is_direct;
                "host is {state}"
            );
        }
        if is_core && let Some(hub) = self.hub() {
            hub.maintain_link(&name);
        }
        is_new
    }

    /// Merges the hosts that another host reports.
    pub(crate) fn learn_hosts(&self, hosts: FleetHosts) {
        for host in hosts.hosts {
            self.learn_host(host, false);
        }
    }

    /// Builds an error answer whose message has the result code, `detail` and
    /// whether the request was executed.
    pub(crate) fn error_reply(&self, code: Code, detail: &str) -> Reply {
        let text = format!("{} {detail} ({})", code.number(), code.outcome());
        Reply::new(code.status(), (self.dialect.encode_error)(&text))
    }

    /// Sets what happens after a control state is applied. Called once, at the start.
    pub(crate) fn set_on_control_applied(&self, hook: OnControlApplied) {
        self.on_control_applied.set(hook).ok();
    }

    pub(crate) fn call_on_control_applied(&self) {
        if let Some(hook) = self.on_control_applied.get() {
            hook();
        }
    }
}
