//! Keeps a stream at the software version that began it.
//!
//! [`Entry::remember_stream`] records the version of a resumable stream before its
//! first event is sent, and cores are told, since the caller may take the stream up at
//! another host, see [`stream_lookup`](super::stream_lookup). The policy is [`stream_origin`].

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use anvillift_fleet::{RepeatKind, StreamKey, stream_origin};
use anvillift_schema::fleet::{FleetFrame, FleetStreamGroup, FleetStreams};
use anvillift_schema::name::Name;
use tokio::time;

use crate::clock;
use crate::entry::Entry;
use crate::entry::request::Request;
use crate::entry::stream_lookup::answers_stream_queries;

/// Shortest time between two announcements. Streams that begin within it after an announcement
/// are collected, and can't be resumed elsewhere if this host fails meanwhile.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(25);
/// Most streams in one frame.
const MAX_STREAMS_PER_FRAME: usize = 2_000;

impl Entry {
    /// Records that a stream begins, or goes on, at a version. Call before the first
    /// event is sent.
    pub(super) fn remember_stream(&self, request: &Request, version: Option<&Name>) {
        if request.route.kind != RepeatKind::ResumableStream {
            return;
        }
        let Some(version) = version else { return };
        let now_ms = clock::now_ms();
        let streams = &mut self.node.view.borrow_mut().streams;
        for stream in stream_keys(request) {
            streams.record_relayed(now_ms, stream, version);
        }
        self.announcement_due.notify_one();
    }

    /// Announces the streams that begin: the first one at once, those that follow it within
    /// [`ANNOUNCEMENT_INTERVAL`] together.
    pub(super) async fn run_announcements(self: Rc<Self>) {
        loop {
            self.announcement_due.notified().await;
            self.announce_streams();
            time::sleep(ANNOUNCEMENT_INTERVAL).await;
        }
    }

    /// Tells cores about the recorded streams that they have not been told about.
    pub(super) fn announce_streams(&self) {
        let keepers = self.stream_keepers();
        if keepers.is_empty() {
            return;
        }
        let streams = self.node.view.borrow_mut().streams.take_unannounced();
        self.send_streams(&keepers, streams);
    }

    /// Tells a core, to which the link has come up, about all streams that this host has relayed
    /// if it is one of those that keep them: its process may be a new one.
    pub(super) fn announce_again(&self, core: &Name) {
        if self.stream_keepers().contains(core) {
            let streams = self.node.view.borrow().streams.relayed();
            self.send_streams(std::slice::from_ref(core), streams);
        }
        self.announcement_due.notify_one();
    }

    fn send_streams(&self, cores: &[Name], by_version: BTreeMap<Name, Vec<StreamKey>>) {
        let Some(hub) = self.node.hub() else { return };
        for (version, streams) in by_version {
            for part in streams.chunks(MAX_STREAMS_PER_FRAME) {
                let streams = part.iter().map(|stream| stream.0).collect();
                let group = FleetStreamGroup { streams, version: version.clone() };
                let frame = FleetFrame::Streams(FleetStreams { groups: vec![group] });
                cores.iter().for_each(|core| hub.send(core, frame.clone()));
            }
        }
    }

    /// Linked cores that answer queries about streams.
    pub(super) fn stream_cores(&self) -> Vec<Name> {
        let Some(hub) = self.node.hub() else { return Vec::new() };
        let view = self.node.view.borrow();
        let mut names = hub.connected();
        names.retain(|name| view.hosts.get(name).is_some_and(answers_stream_queries));
        names
    }

    fn stream_keepers(&self) -> Vec<Name> {
        let names = self.stream_cores();
        let view = self.node.view.borrow();
        let cores = names.iter().filter_map(|name| view.hosts.get(name));
        let own_name = self.node.own_host().name;
        stream_origin::keepers(cores, &own_name, &self.node.settings.region)
    }
}

/// The streams of a request: its own, and the one that it resumes.
fn stream_keys(request: &Request) -> impl Iterator<Item = StreamKey> {
    let ids = [Some(request.id.as_str()), request.resumes.as_ref().map(Name::as_str)];
    ids.into_iter().flatten().map(StreamKey::of_request)
}
