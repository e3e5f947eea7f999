//! Settings of [`crate::Mesh`], with their defaults.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_schema::name::Name;
use anvillift_schema::settings::{Identity, PeerSettings, TlsSettings};

const KIBIBYTE: u64 = 1024;

/// Identity, peers and limits of the links of one host.
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// Name, region and data centre of this host.
    pub identity: Identity,
    /// Number that is larger at each start of the process, such as the start time.
    pub incarnation: u64,
    /// All hosts of the system by name, with the addresses of their links.
    pub peers: BTreeMap<Name, PeerSettings>,
    /// Hosts to keep a link to; `None` for all.
    pub linked: Option<BTreeSet<Name>>,
    /// Secret shared by all hosts, which authenticates them to each other.
    pub link_key: String,
    /// Certificate files; `None` for links without TLS.
    pub tls: Option<TlsSettings>,
    /// IP address and port on which to accept links.
    pub listen: String,
    /// Bytes that a stream may have in flight in one direction.
    pub stream_credit_bytes: u64,
    /// Time without a received frame after which a link is closed, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Interval between pings on a link, in milliseconds.
    pub ping_ms: u64,
    /// Initial back-off before dialling again, in milliseconds.
    pub redial_ms: u64,
    /// Longest back-off before dialling again, in milliseconds.
    pub max_redial_ms: u64,
    /// Number of messages that may be queued on a link; more are rejected.
    pub max_queued_messages: usize,
}

impl Default for MeshSettings {
    fn default() -> Self {
        Self {
            identity: Identity::default(),
            incarnation: 0,
            peers: BTreeMap::new(),
            linked: None,
            link_key: String::new(),
            tls: None,
            listen: "127.0.0.1:0".to_owned(),
            stream_credit_bytes: 32 * KIBIBYTE,
            // A process that is frozen for 4 s has sent its last ping up to 1 s before.
            idle_timeout_ms: 5_500,
            ping_ms: 1_000,
            redial_ms: 100,
            max_redial_ms: 2_000,
            max_queued_messages: 4_096,
        }
    }
}
