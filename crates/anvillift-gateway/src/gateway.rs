//! The state that the parts of a gateway share.

use std::future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};

use anvillift_membership::membership::Membership;
use anvillift_mesh::Mesh;
use anvillift_routing::router::Router;
use anvillift_schema::code::Code;
use anvillift_schema::configuration::{Configuration, Profile, Service};
use anvillift_schema::event::Event;
use anvillift_schema::name::Name;
use anvillift_schema::settings::HostSettings;
use anvillift_schema::team_keys::TeamKeys;
use anvillift_telemetry::BurnRecorder;
use arc_swap::ArcSwap;
use tokio::sync::watch;

use crate::admission::AdmissionState;
use crate::caller_connections::CallerConnections;
use crate::client::Clients;
use crate::clock::Clock;
use crate::commands::Commands;
use crate::control::Control;
use crate::in_flight::InFlight;
use crate::keys;
use crate::membership;
use crate::problem::Refusal;
use crate::snapshot::Snapshot;

/// Time after which a caller may retry a host that is starting or draining, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;

/// State of one gateway, shared by its requests and background tasks.
pub struct Gateway {
    /// Settings without their configuration.
    pub(crate) settings: HostSettings,
    /// The configuration of the settings, with which an empty control log is seeded; `None` on
    /// hosts that never do this.
    pub(crate) seed: Option<Arc<Configuration>>,
    pub(crate) clock: Clock,
    /// The configuration in force on this host; set by [`Self::apply_configuration`].
    pub(crate) configuration: ArcSwap<Configuration>,
    pub(crate) team_keys: ArcSwap<TeamKeys>,
    pub(crate) membership: Mutex<Membership>,
    pub(crate) snapshot: ArcSwap<Snapshot>,
    pub(crate) router: Mutex<Router>,
    pub(crate) mesh: OnceLock<Mesh>,
    pub(crate) clients: Clients,
    pub(crate) in_flight: InFlight,
    /// Whether a planned stop ends the requests in flight.
    pub(crate) requests_end: watch::Sender<bool>,
    pub(crate) connections: CallerConnections,
    pub(crate) admission: AdmissionState,
    pub(crate) burn: BurnRecorder,
    pub(crate) control: Control,
    pub(crate) commands: Commands,
    pub(crate) draining: AtomicBool,
    pub(crate) ready: AtomicBool,
}

impl Gateway {
    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Links to the other hosts. Panics before [`Self::start`] has started them.
    pub(crate) fn mesh(&self) -> &Mesh {
        self.mesh.get().expect("the mesh is started before requests are accepted")
    }

    pub(crate) fn region(&self) -> &Name {
        &self.settings.host.region
    }

    pub(crate) fn data_centre(&self) -> &Name {
        &self.settings.host.data_centre
    }

    pub(crate) fn host(&self) -> &Name {
        &self.settings.host.name
    }

    /// Puts a configuration in force on this host; `false` if its revision is lower than the
    /// current one.
    pub(crate) fn apply_configuration(self: &Arc<Self>, configuration: Arc<Configuration>) -> bool {
        if configuration.revision < self.configuration.load().revision {
            return false;
        }
        let revision = configuration.revision;
        self.team_keys.store(Arc::new(keys::team_keys(&configuration)));
        self.configuration.store(configuration);
        self.membership.lock().expect("lock").set_revision(revision);
        membership::refresh(self);
        log::info!(
            event = Event::ConfigurationApplied.number(), revision = revision;
            "configuration revision {revision} is applied"
        );
        true
    }

    /// Finds a service and its profile; refuses unknown names.
    pub(crate) fn service(&self, name: &str) -> Result<(Service, Arc<Profile>), Refusal> {
        let configuration = self.configuration.load();
        let service = configuration.services.get(name).ok_or(Code::UnknownService)?;
        let profile = configuration.profiles.get(&service.profile).ok_or(Code::UnknownService)?;
        Ok((service.clone(), Arc::new(profile.clone())))
    }

    /// Refuses requests while the host is starting or draining, and names other hosts to use.
    pub(crate) fn check_accepting(&self) -> Result<(), Refusal> {
        let code = if self.draining.load(Ordering::Acquire) {
            Code::Draining
        } else if !self.ready.load(Ordering::Acquire) {
            Code::NotReady
        } else {
            return Ok(());
        };
        let hosts = self.other_hosts(None);
        Err(Refusal { hosts, ..Refusal::retry_after(code, RETRY_AFTER_MS) })
    }

    /// Waits until a planned stop ends the requests in flight.
    pub(crate) async fn requests_end(&self) {
        let ended = self.requests_end.subscribe().wait_for(|is_over| *is_over).await.is_ok();
        if !ended {
            future::pending().await
        }
    }

    /// Base URLs of other hosts that are ready and in the places of a profile, if one is given.
    pub(crate) fn other_hosts(&self, profile: Option<&Arc<Profile>>) -> Vec<String> {
        let snapshot = self.snapshot.load();
        let hosts = snapshot.usable_hosts(profile, self.region(), self.data_centre());
        let others = hosts.iter().filter(|host| host.record.host != *self.host());
        others.map(|host| host.record.caller_url.clone()).collect()
    }

    /// Region, data centre and host in the format of the route header.
    pub(crate) fn route_part(&self) -> String {
        format!("{}/{}/{}", self.region(), self.data_centre(), self.host())
    }
}
