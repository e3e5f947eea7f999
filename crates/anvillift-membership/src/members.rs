//! The membership state of one host.

use std::collections::BTreeMap;

use anvillift_schema::membership::{
    DataCentreSummary, Heartbeat, HostRecord, HostState, MembershipMessage, ServiceSummary,
    SummaryExchange, UpstreamRecord,
};
use anvillift_schema::name::Name;
use anvillift_schema::settings::{Identity, PeerSettings};
use anvillift_schema::upstream::Announcement;

use crate::view::{DataCentreView, HostView, UpstreamView, View};

/// Settings of [`Members`].
#[derive(Clone, Debug, Default)]
pub struct MembersSettings {
    /// The own host.
    pub identity: Identity,
    /// All hosts of the system by name.
    pub peers: BTreeMap<Name, PeerSettings>,
    /// Base URL told to callers.
    pub caller_url: String,
    /// Start of the process; grows with every start.
    pub incarnation: u64,
    /// Id of the data folder, if there is one.
    pub storage_id: Option<String>,
    /// Between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// A host is silent after this time, in milliseconds.
    pub silent_after_ms: u64,
    /// An upstream is dropped after this time, in milliseconds.
    pub upstream_expiry_ms: u64,
}

/// A message to another host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outgoing {
    /// Receiver.
    pub to: Name,
    /// Message.
    pub message: MembershipMessage,
}

#[derive(Clone, Debug)]
struct Heard<T> {
    value: T,
    heard_ms: u64,
}

/// Hosts, upstreams and data centres known to one host.
#[derive(Debug)]
pub struct Members {
    settings: MembersSettings,
    own: HostRecord,
    hosts: BTreeMap<Name, Heard<HostRecord>>,
    upstreams: BTreeMap<Name, Heard<Announcement>>,
    summaries: BTreeMap<Name, Heard<DataCentreSummary>>,
    next_tick_ms: u64,
    sequence: u64,
}

impl Members {
    /// Members that know only the own host. `_seed` starts the random choices.
    pub fn new(settings: MembersSettings, _seed: u64) -> Self {
        let own = HostRecord {
            host: settings.identity.name.clone(),
            region: settings.identity.region.clone(),
            data_centre: settings.identity.data_centre.clone(),
            incarnation: settings.incarnation,
            heartbeat: 0,
            state: HostState::Starting,
            caller_url: settings.caller_url.clone(),
            revision: 0,
            in_flight_requests: 0,
            storage_id: settings.storage_id.clone(),
        };
        Self {
            settings,
            own,
            hosts: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            summaries: BTreeMap::new(),
            next_tick_ms: 0,
            sequence: 0,
        }
    }

    /// Sends what is due at `now_ms`.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Outgoing> {
        if now_ms < self.next_tick_ms {
            return Vec::new();
        }
        self.next_tick_ms = now_ms + self.settings.heartbeat_ms;
        self.own.heartbeat += 1;
        self.sequence += 1;
        let near = MembershipMessage::Heartbeat(Heartbeat {
            hosts: vec![self.own.clone()],
            upstreams: self.upstream_records(now_ms),
            reply: false,
        });
        let far =
            MembershipMessage::Summary(SummaryExchange { summaries: vec![self.summary(now_ms)] });
        let own_name = &self.own.host;
        let others = self.settings.peers.iter().filter(|(name, _)| *name != own_name);
        others
            .map(|(name, peer)| {
                let inside = peer.data_centre == self.own.data_centre;
                Outgoing {
                    to: name.clone(),
                    message: if inside { near.clone() } else { far.clone() },
                }
            })
            .collect()
    }

    /// Takes a message from another host.
    pub fn receive(
        &mut self,
        now_ms: u64,
        _from: &Name,
        message: MembershipMessage,
    ) -> Vec<Outgoing> {
        match message {
            MembershipMessage::Heartbeat(heartbeat) => {
                for record in heartbeat.hosts {
                    self.hosts
                        .insert(record.host.clone(), Heard { value: record, heard_ms: now_ms });
                }
                for record in heartbeat.upstreams {
                    let heard_ms = now_ms.saturating_sub(record.heard_age_ms);
                    self.take_announcement(heard_ms, record.announcement);
                }
            }
            MembershipMessage::Summary(exchange) => {
                for summary in exchange.summaries {
                    for record in &summary.hosts {
                        let heard = Heard { value: record.clone(), heard_ms: now_ms };
                        self.hosts.insert(record.host.clone(), heard);
                    }
                    let heard = Heard { value: summary, heard_ms: now_ms };
                    self.summaries.insert(heard.value.data_centre.clone(), heard);
                }
            }
        }
        Vec::new()
    }

    /// Takes an announcement of an upstream; false if it is older than what is known.
    pub fn announce(&mut self, now_ms: u64, announcement: Announcement) -> bool {
        self.take_announcement(now_ms, announcement)
    }

    /// Sets whether the own host takes requests.
    pub fn set_state(&mut self, state: HostState) {
        self.own.state = state;
        self.next_tick_ms = 0;
    }

    /// Sets the configuration revision applied by the own host.
    pub fn set_revision(&mut self, revision: u64) {
        self.own.revision = revision;
    }

    /// Sets the number of requests in flight on the own host.
    pub fn set_in_flight(&mut self, requests: u32) {
        self.own.in_flight_requests = requests;
    }

    /// Adds tokens that the own host sent to an upstream.
    pub fn add_sent_tokens(&mut self, _upstream: &Name, _tokens: u64) {}

    /// What is known at `now_ms`.
    pub fn view(&self, now_ms: u64) -> View {
        let mut hosts: BTreeMap<Name, HostView> = self
            .hosts
            .iter()
            .map(|(name, heard)| {
                let heard_age_ms = now_ms.saturating_sub(heard.heard_ms);
                let alive = heard_age_ms <= self.settings.silent_after_ms;
                (name.clone(), HostView { record: heard.value.clone(), heard_age_ms, alive })
            })
            .collect();
        let own = HostView { record: self.own.clone(), heard_age_ms: 0, alive: true };
        hosts.insert(self.own.host.clone(), own);
        let upstreams = self.available(now_ms).map(|(name, heard)| {
            let view = UpstreamView {
                announcement: heard.value.clone(),
                heard_age_ms: now_ms.saturating_sub(heard.heard_ms),
                peer_sent_tokens: 0,
            };
            (name.clone(), view)
        });
        let data_centres = self.summaries.iter().map(|(name, heard)| {
            let age_ms = now_ms.saturating_sub(heard.heard_ms);
            (name.clone(), DataCentreView { summary: heard.value.clone(), age_ms })
        });
        View { hosts, upstreams: upstreams.collect(), data_centres: data_centres.collect() }
    }

    fn available(&self, now_ms: u64) -> impl Iterator<Item = (&Name, &Heard<Announcement>)> {
        self.upstreams.iter().filter(move |(_, heard)| {
            let age_ms = now_ms.saturating_sub(heard.heard_ms);
            !heard.value.leaving && age_ms <= self.settings.upstream_expiry_ms
        })
    }

    fn take_announcement(&mut self, heard_ms: u64, announcement: Announcement) -> bool {
        let order = (announcement.incarnation, announcement.sequence);
        let known = self.upstreams.get(&announcement.upstream);
        if known.is_some_and(|known| order <= (known.value.incarnation, known.value.sequence)) {
            return false;
        }
        let name = announcement.upstream.clone();
        self.upstreams.insert(name, Heard { value: announcement, heard_ms });
        true
    }

    fn upstream_records(&self, now_ms: u64) -> Vec<UpstreamRecord> {
        let record = |heard: &Heard<Announcement>| UpstreamRecord {
            announcement: heard.value.clone(),
            heard_age_ms: now_ms.saturating_sub(heard.heard_ms),
            left: heard.value.leaving,
            sent_tokens: 0,
        };
        self.upstreams.values().map(record).collect()
    }

    fn summary(&self, now_ms: u64) -> DataCentreSummary {
        let mut services: BTreeMap<Name, ServiceSummary> = BTreeMap::new();
        for (_, heard) in self.available(now_ms) {
            let service = &heard.value.service;
            let load = &heard.value.load;
            let entry = services.entry(service.clone()).or_insert_with(|| ServiceSummary {
                service: service.clone(),
                upstreams: 0,
                running_requests: 0,
                queued_tokens: 0,
                free_slots: 0,
                token_rate_milli: 0,
                prefill_rate_tokens_per_s: 0,
            });
            entry.upstreams += 1;
            entry.running_requests += load.running_requests;
            entry.queued_tokens += load.queued_tokens;
            entry.free_slots += load.max_running_requests.saturating_sub(load.running_requests);
            entry.token_rate_milli += load.token_rate_milli;
            entry.prefill_rate_tokens_per_s += load.prefill_rate_tokens_per_s;
        }
        DataCentreSummary {
            data_centre: self.own.data_centre.clone(),
            region: self.own.region.clone(),
            incarnation: self.own.incarnation,
            sequence: self.sequence,
            delegate: self.own.host.clone(),
            hosts: vec![self.own.clone()],
            services: services.into_values().collect(),
        }
    }
}
