//! Applies the control states that a host receives.
//!
//! A small configuration is decoded at once. A large one is decoded on a thread of its own while
//! the host serves requests with the one that it has. A state is applied only if its log index is
//! higher than that of the state in force, so that the order in which decoding ends does not
//! matter. A configuration that can't be decoded leaves the one in force unchanged.

use std::rc::Rc;
use std::sync::Arc;

use anvillift_fleet::{ConfigurationError, FleetConfiguration, document};
use anvillift_schema::event::Event;
use anvillift_schema::fleet::FleetControl;
use anvillift_schema::payload::Payload;
use anvillift_schema::rendezvous;
use tokio::task;

use crate::decoded_configuration::DecodedConfiguration;
use crate::dialect::DecodeConfiguration;
use crate::fleet_view::FleetView;
use crate::node::Node;
use crate::off_thread::LARGE_BYTES;
use crate::paced_read::PacedRead;
use crate::{clock, off_thread};

/// Number of teams from which a replaced configuration is freed on a thread of its own.
const MANY_TEAMS: usize = 500;

/// `None` if the configuration of a state is the one in force, or older.
type Decoded = Result<Option<DecodedConfiguration>, ConfigurationError>;

impl Node {
    /// Highest log index of the control states that are in force or being decoded.
    pub(crate) fn received_index(&self) -> u64 {
        self.pending_control.borrow().newest_index().max(self.view.borrow().control.index)
    }

    /// Applies a control state if it is newer than those received before, at once or when its
    /// configuration has been decoded.
    pub(crate) fn receive_control_state(self: &Rc<Self>, control: FleetControl) {
        if control.index <= self.received_index() {
            return;
        }
        let held_version = self.view.borrow().control.version;
        if control.version == 0 || control.version < held_version {
            return self.apply_control_state(control, Ok(None));
        }
        match document::unpack_small(&control.document, LARGE_BYTES) {
            Ok(Some(document)) => {
                let decode = self.dialect.decode_configuration;
                let decoded = DecodedConfiguration::decode(decode, &mut document.as_slice());
                self.apply_control_state(control, decoded.map(Some));
            }
            Ok(None) => self.decode_later(control),
            Err(error) => self.apply_control_state(control, Err(unreadable(&error))),
        }
    }

    /// Decodes a large configuration on another thread, after the one that is being decoded.
    fn decode_later(self: &Rc<Self>, control: FleetControl) {
        let mut next = self.pending_control.borrow_mut().add(control);
        if next.is_none() {
            return;
        }
        let node = Rc::clone(self);
        task::spawn_local(async move {
            while let Some(control) = next {
                node.decode_and_apply(control).await;
                next = node.pending_control.borrow_mut().finish();
            }
        });
    }

    async fn decode_and_apply(&self, control: FleetControl) {
        if control.index <= self.view.borrow().control.index {
            return;
        }
        let (index, decode) = (control.index, self.dialect.decode_configuration);
        let held_hash = self.view.borrow().document_hash;
        let cpu_millicores = self.settings.cpu_millicores;
        let work = move || {
            let decoded = decode_large(decode, &control.document, held_hash, cpu_millicores);
            (control, decoded)
        };
        match off_thread::result("decode", work).await {
            Ok((control, decoded)) => self.apply_control_state(control, decoded),
            // The state counts as not received, and is requested again.
            Err(error) => log::error!(index = index; "cannot decode a control state: {error}"),
        }
    }

    fn apply_control_state(&self, control: FleetControl, decoded: Decoded) {
        let mut view = self.view.borrow_mut();
        if control.index <= view.control.index {
            return;
        }
        let mut replaced = None;
        match decoded {
            Ok(Some(decoded)) if control.version >= view.control.version => {
                replaced = view.put_in_force(decoded);
            }
            Ok(_) => (),
            Err(error) => {
                log::error!(version = control.version; "committed configuration can't be decoded; keeping the previous one: {error}");
            }
        }
        log::info!(
            event = Event::ConfigurationApplied.number(), version = control.version,
            index = control.index, evacuated = control.evacuated.len();
            "control state in force"
        );
        let now_ms = clock::now_ms();
        // Workers of a data centre whose evacuation has ended may be cold.
        let before = view.control.evacuated.clone();
        for data_centre in before.iter().filter(|name| !control.evacuated.contains(name)) {
            view.workers.suspect_data_centre_cold(now_ms, data_centre);
        }
        // The document contains the keys of the teams in clear text, so it is not kept. A version
        // is never replaced by an older one, as its configuration isn't.
        let version = control.version.max(view.control.version);
        view.control = FleetControl { version, document: Payload::default(), ..control };
        drop(view);
        self.release_quarantine();
        free(replaced);
        self.call_on_control_applied();
    }
}

impl FleetView {
    /// Puts a configuration in force, and returns the one before.
    fn put_in_force(&mut self, decoded: DecodedConfiguration) -> Option<Arc<FleetConfiguration>> {
        let retention_ms = decoded.configuration.stream_retention_ms();
        self.stream_retention_ms = self.stream_retention_ms.max(Some(retention_ms));
        self.routes = decoded.routes;
        self.teams = decoded.teams;
        self.document_hash = decoded.document_hash;
        self.configuration.replace(decoded.configuration)
    }
}

/// Decodes a packed document with pauses, unless it is the one in force: a change such as an
/// evacuation leaves the configuration as it is.
fn decode_large(
    decode: DecodeConfiguration,
    packed: &[u8],
    held_hash: Option<u64>,
    cpu_millicores: Option<u64>,
) -> Decoded {
    let document_hash = Some(rendezvous::hash(packed));
    if document_hash == held_hash {
        return Ok(None);
    }
    let mut document = PacedRead::new(document::reader(packed), cpu_millicores);
    let decoded = DecodedConfiguration::decode(decode, &mut document)?;
    Ok(Some(DecodedConfiguration { document_hash, ..decoded }))
}

/// Frees a configuration that is no longer in force. The many allocations of a large one take
/// too long for the thread that serves requests.
fn free(configuration: Option<Arc<FleetConfiguration>>) {
    let has_many_teams =
        |configuration: &Arc<FleetConfiguration>| configuration.teams.len() >= MANY_TEAMS;
    if let Some(configuration) = configuration.filter(has_many_teams) {
        // Without a thread, it is freed here.
        off_thread::spawn("free", move || drop(configuration)).ok();
    }
}

fn unreadable(error: &std::io::Error) -> ConfigurationError {
    ConfigurationError::Unreadable { reason: error.to_string() }
}
