//! The software versions that began recent streams.
//!
//! Workers of two versions write streams that don't fit together, so a stream that
//! its caller takes up again may go on only at the version that began it. Entry hosts
//! record each resumable stream here and tell cores about it, since the caller may come
//! back to another host.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use anvillift_schema::name::Name;
use anvillift_schema::rendezvous;

/// Most streams remembered; the oldest ones are forgotten first.
const MAX_STREAMS: usize = 200_000;

/// Identifies a stream: the hash of the id of the request that began it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// The key of the stream that a request began.
    pub fn of_request(id: &str) -> Self {
        Self(rendezvous::mix(rendezvous::hash(id.as_bytes())))
    }
}

#[derive(Clone, Debug)]
struct StreamRecord {
    version: Name,
    recorded_ms: u64,
}

/// The version at which each recent stream began; bounded, see [`MAX_STREAMS`].
#[derive(Clone, Debug, Default)]
pub struct StreamVersions {
    records: BTreeMap<StreamKey, StreamRecord>,
    /// Streams in the order in which they were recorded. One that was recorded again
    /// stands here more than once.
    by_age: VecDeque<(u64, StreamKey)>,
    /// Streams that this host has relayed.
    relayed: BTreeSet<StreamKey>,
    /// Those that cores have not been told about.
    unannounced: BTreeSet<StreamKey>,
}

impl StreamVersions {
    /// Records which version began a stream, or that the stream goes on there.
    pub fn record(&mut self, now_ms: u64, stream: StreamKey, version: &Name) {
        let record = StreamRecord { version: version.clone(), recorded_ms: now_ms };
        self.records.insert(stream, record);
        self.by_age.push_back((now_ms, stream));
        while self.by_age.len() > MAX_STREAMS {
            self.forget_oldest();
        }
    }

    /// Records which version began a stream that this host relays, or that the stream goes on
    /// there. Cores have to be told about it.
    pub fn record_relayed(&mut self, now_ms: u64, stream: StreamKey, version: &Name) {
        self.record(now_ms, stream, version);
        self.relayed.insert(stream);
        self.unannounced.insert(stream);
    }

    /// The version that began a stream, or `None` if it isn't recorded.
    pub fn version(&self, stream: StreamKey) -> Option<&Name> {
        self.records.get(&stream).map(|record| &record.version)
    }

    /// The streams that cores have not been told about, by version. Each is returned once.
    pub fn take_unannounced(&mut self) -> BTreeMap<Name, Vec<StreamKey>> {
        let streams = std::mem::take(&mut self.unannounced);
        self.by_version(&streams)
    }

    /// All streams that this host has relayed, by version.
    pub fn relayed(&self) -> BTreeMap<Name, Vec<StreamKey>> {
        self.by_version(&self.relayed)
    }

    fn by_version(&self, streams: &BTreeSet<StreamKey>) -> BTreeMap<Name, Vec<StreamKey>> {
        let mut groups: BTreeMap<Name, Vec<StreamKey>> = BTreeMap::new();
        for stream in streams {
            if let Some(version) = self.version(*stream) {
                groups.entry(version.clone()).or_default().push(*stream);
            }
        }
        groups
    }

    /// Forgets streams that were recorded more than `retention_ms` ago.
    pub fn remove_older(&mut self, now_ms: u64, retention_ms: u64) {
        while self
            .by_age
            .front()
            .is_some_and(|(recorded_ms, _)| recorded_ms + retention_ms < now_ms)
        {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((recorded_ms, stream)) = self.by_age.pop_front() else { return };
        if self.records.get(&stream).is_some_and(|record| record.recorded_ms == recorded_ms) {
            self.records.remove(&stream);
            self.relayed.remove(&stream);
            self.unannounced.remove(&stream);
        }
    }
}
