//! Queries about streams that a core could not answer with a record.
//!
//! The host that relays the stream may be about to tell this core of it: its link has been down, or
//! it has stood still. The core then answers again, for a lookup that still waits for other cores.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_schema::name::Name;

use crate::stream_versions::StreamKey;

/// Time for which a lookup may wait for answers, in milliseconds.
const LOOKUP_MS: u64 = 1_000;
/// Most streams for which queries are kept; further ones are not answered again.
const MAX_STREAMS: usize = 4_096;

#[derive(Clone, Debug)]
struct Query {
    asked_ms: u64,
    hosts: BTreeSet<Name>,
}

/// The hosts that wait for the version of a stream, by stream.
#[derive(Clone, Debug, Default)]
pub struct UnansweredQueries {
    by_stream: BTreeMap<StreamKey, Query>,
}

impl UnansweredQueries {
    /// Records that a host asks for a stream of which there is no record.
    pub fn record(&mut self, now_ms: u64, stream: StreamKey, host: &Name) {
        if self.by_stream.len() >= MAX_STREAMS && !self.by_stream.contains_key(&stream) {
            self.remove_old(now_ms);
            if self.by_stream.len() >= MAX_STREAMS {
                return;
            }
        }
        let new = Query { asked_ms: now_ms, hosts: BTreeSet::new() };
        let query = self.by_stream.entry(stream).or_insert(new);
        query.asked_ms = now_ms;
        query.hosts.insert(host.clone());
    }

    /// The hosts that still wait for a stream, of which there is a record now. Each is returned
    /// once.
    pub fn take(&mut self, now_ms: u64, stream: StreamKey) -> BTreeSet<Name> {
        let query = self.by_stream.remove(&stream).filter(|query| query.is_open(now_ms));
        query.map(|query| query.hosts).unwrap_or_default()
    }

    /// Removes the queries that are no longer waited for.
    pub fn remove_old(&mut self, now_ms: u64) {
        self.by_stream.retain(|_, query| query.is_open(now_ms));
    }
}

impl Query {
    fn is_open(&self, now_ms: u64) -> bool {
        self.asked_ms + LOOKUP_MS >= now_ms
    }
}
