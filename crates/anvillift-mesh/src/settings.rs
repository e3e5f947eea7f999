//! Settings of the links of one host.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_schema::name::Name;
use anvillift_schema::settings::{Identity, PeerSettings, TlsSettings};

const KIBIBYTE: u64 = 1024;

/// Settings of [`crate::Mesh`].
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// The own host.
    pub identity: Identity,
    /// Start of the process; grows with every start.
    pub incarnation: u64,
    /// All hosts of the system by name.
    pub peers: BTreeMap<Name, PeerSettings>,
    /// Hosts to keep a link to; none for all.
    pub linked: Option<BTreeSet<Name>>,
    /// Secret shared by all hosts.
    pub link_key: String,
    /// TLS of the links, if any.
    pub tls: Option<TlsSettings>,
    /// Address to listen on.
    pub listen: String,
    /// Bytes a stream may have under way in one direction.
    pub stream_credit_bytes: u64,
    /// A link on which nothing was heard for this time is closed, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Between pings of a link, in milliseconds.
    pub ping_ms: u64,
    /// First wait before dialling again, in milliseconds.
    pub redial_ms: u64,
    /// Longest wait before dialling again, in milliseconds.
    pub max_redial_ms: u64,
    /// Messages that may wait for a link.
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
            idle_timeout_ms: 3_000,
            ping_ms: 1_000,
            redial_ms: 100,
            max_redial_ms: 2_000,
            max_queued_messages: 4_096,
        }
    }
}
