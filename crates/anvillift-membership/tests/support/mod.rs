//! Simulates a network of [`Membership`] in virtual time, with seeded faults.
//!
//! Every step delivers the messages that have arrived, lets upstreams announce
//! themselves and ticks every host.

#![allow(dead_code, unreachable_pub, missing_docs, reason = "each test uses a part of it")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use anvillift_membership::membership::{Membership, MembershipSettings, OutgoingMessage};
use anvillift_membership::view::View;
use anvillift_schema::link::{LinkFrame, PeerMessage};
use anvillift_schema::membership::{HostState, MembershipMessage};
use anvillift_schema::name::Name;
use anvillift_schema::settings::{Identity, PeerSettings};
use anvillift_schema::upstream::{Announcement, UpstreamLoad};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const STEP_MS: u64 = 50;
/// Frame header and mask of a WebSocket message of up to 64 KiB.
const FRAME_BYTES: u64 = 8;

/// Loss, duplication and delay of messages; delays in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub lost_permille: u32,
    pub duplicated_permille: u32,
    pub local_delay_ms: u64,
    pub remote_delay_ms: u64,
    pub jitter_ms: u64,
}

/// Number of hosts, data centres, regions, upstreams and services of a network.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub hosts: usize,
    pub data_centres: usize,
    pub regions: usize,
    pub upstreams: usize,
    pub services: usize,
}

pub struct Host {
    pub membership: Membership,
    pub settings: MembershipSettings,
    pub running: bool,
    pub frozen: bool,
    /// Messages received while the host is frozen.
    waiting: VecDeque<(Name, MembershipMessage)>,
    pub sent_bytes: u64,
    pub received_bytes: u64,
}

pub struct Upstream {
    pub announcement: Announcement,
    pub host: Name,
    pub running: bool,
}

pub struct Network {
    pub now_ms: u64,
    pub hosts: BTreeMap<Name, Host>,
    pub upstreams: BTreeMap<Name, Upstream>,
    pub faults: Faults,
    pub cut_links: BTreeSet<(Name, Name)>,
    pub count_bytes: bool,
    in_transit: BTreeMap<(u64, u64), (Name, Name, MembershipMessage)>,
    sent_count: u64,
    rng: SmallRng,
}

pub fn host_name(number: usize) -> Name {
    Name::from(format!("host-{number:03}"))
}

pub fn upstream_name(number: usize) -> Name {
    Name::from(format!("upstream-{number:04}"))
}

impl Network {
    pub fn new(size: Size, faults: Faults, seed: u64) -> Self {
        let peers: BTreeMap<Name, PeerSettings> = (0..size.hosts)
            .map(|number| {
                let data_centre = number % size.data_centres;
                let peer = PeerSettings {
                    data_centre: Name::from(format!("centre-{data_centre:02}")),
                    region: Name::from(format!("region-{:02}", data_centre % size.regions)),
                    link: format!("10.0.{}.{}:7000", number / 250, number % 250),
                };
                (host_name(number), peer)
            })
            .collect();
        let hosts = peers.iter().map(|(name, peer)| {
            let settings = MembershipSettings {
                identity: Identity {
                    name: name.clone(),
                    data_centre: peer.data_centre.clone(),
                    region: peer.region.clone(),
                },
                peers: peers.clone(),
                caller_url: format!("http://{}", peer.link),
                incarnation: 1_790_000_000_000,
                storage_id: None,
                heartbeat_ms: 500,
                silent_after_ms: 2_000,
                upstream_expiry_ms: 3_000,
            };
            (name.clone(), Host::start(settings, seed))
        });
        let mut network = Self {
            now_ms: 0,
            hosts: hosts.collect(),
            upstreams: BTreeMap::new(),
            faults,
            cut_links: BTreeSet::new(),
            count_bytes: false,
            in_transit: BTreeMap::new(),
            sent_count: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for number in 0..size.upstreams {
            network.add_upstream(number, number % size.hosts, number % size.services.max(1));
        }
        network
    }

    pub fn add_upstream(&mut self, number: usize, host: usize, service: usize) {
        let name = upstream_name(number);
        let announcement = Announcement {
            upstream: name.clone(),
            service: Name::from(format!("service-{service}")),
            url: format!("http://10.1.{}.{}:9000", number / 250, number % 250),
            incarnation: 1_790_000_000_000,
            models: vec![Name::from("model-a")],
            can_resume: true,
            ..Announcement::default()
        };
        let upstream = Upstream { announcement, host: host_name(host), running: true };
        self.upstreams.insert(name, upstream);
    }

    /// Advances the time; each upstream announces itself once a second.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.deliver();
            self.announce();
            self.tick();
        }
    }

    pub fn view(&self, host: usize) -> View {
        self.hosts[&host_name(host)].membership.view(self.now_ms)
    }

    pub fn is_alive(&self, seen_by: usize, host: usize) -> bool {
        let view = self.view(seen_by);
        view.hosts.get(&host_name(host)).is_some_and(|host| host.alive)
    }

    pub fn host(&mut self, host: usize) -> &mut Host {
        self.hosts.get_mut(&host_name(host)).expect("host exists")
    }

    pub fn restart(&mut self, host: usize) {
        let seed = self.sent_count;
        let host = self.host(host);
        let incarnation = host.settings.incarnation + 60_000;
        *host = Host::start(MembershipSettings { incarnation, ..host.settings.clone() }, seed);
    }

    pub fn cut_link(&mut self, left: usize, right: usize) {
        self.cut_links.insert((host_name(left), host_name(right)));
        self.cut_links.insert((host_name(right), host_name(left)));
    }

    /// Delivers an announcement of an upstream to its host at once.
    pub fn announce_now(&mut self, upstream: &Name) -> bool {
        let upstream = self.upstreams.get_mut(upstream).expect("upstream exists");
        upstream.announcement.sequence += 1;
        let announcement = upstream.announcement.clone();
        let host = self.hosts.get_mut(&upstream.host).expect("host exists");
        host.membership.announce(self.now_ms, announcement)
    }

    fn announce(&mut self) {
        for (number, upstream) in self.upstreams.values_mut().enumerate() {
            let staggered_ms = self.now_ms + number as u64 * STEP_MS;
            let host = self.hosts.get_mut(&upstream.host).expect("host exists");
            if !staggered_ms.is_multiple_of(1000)
                || !upstream.running
                || !host.running
                || host.frozen
            {
                continue;
            }
            let announcement = &mut upstream.announcement;
            announcement.sequence += 1;
            announcement.load = UpstreamLoad {
                max_running_requests: 64,
                running_requests: self.rng.random_range(20..64),
                queued_requests: self.rng.random_range(0..30),
                queued_tokens: self.rng.random_range(0..60_000),
                token_rate_milli: self.rng.random_range(2_000_000..4_000_000),
                prefill_rate_tokens_per_s: self.rng.random_range(8_000..20_000),
                sampled_ms: self.now_ms,
            };
            host.membership.announce(self.now_ms, announcement.clone());
        }
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms;
        let mut outgoing = Vec::new();
        for (name, host) in &mut self.hosts {
            if host.running && !host.frozen {
                while let Some((from, message)) = host.waiting.pop_front() {
                    let replies = host.membership.receive(now_ms, &from, message);
                    outgoing.extend(replies.into_iter().map(|reply| (name.clone(), reply)));
                }
                let messages = host.membership.tick(now_ms);
                outgoing.extend(messages.into_iter().map(|message| (name.clone(), message)));
            }
        }
        for (from, message) in outgoing {
            self.send(from, message);
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_transit.first_entry() {
            if entry.key().0 > self.now_ms {
                return;
            }
            let (from, to, message) = entry.remove();
            let Some(host) = self.hosts.get_mut(&to) else { continue };
            if !host.running {
                continue;
            }
            if host.frozen {
                host.waiting.push_back((from, message));
                continue;
            }
            if self.count_bytes {
                host.received_bytes += encoded_bytes(&message);
            }
            for reply in host.membership.receive(self.now_ms, &from, message) {
                self.send(to.clone(), reply);
            }
        }
    }

    fn send(&mut self, from: Name, outgoing: OutgoingMessage) {
        let OutgoingMessage { to, message } = outgoing;
        if self.count_bytes {
            let host = self.hosts.get_mut(&from).expect("sender exists");
            host.sent_bytes += encoded_bytes(&message);
        }
        let lost = self.rng.random_range(0..1000) < self.faults.lost_permille;
        if lost || self.cut_links.contains(&(from.clone(), to.clone())) {
            return;
        }
        let copies =
            1 + u32::from(self.rng.random_range(0..1000) < self.faults.duplicated_permille);
        for _ in 0..copies {
            let is_local = self.hosts[&from].settings.peers[&to].data_centre
                == self.hosts[&from].settings.identity.data_centre;
            let delay =
                if is_local { self.faults.local_delay_ms } else { self.faults.remote_delay_ms };
            let jitter = self.rng.random_range(0..=self.faults.jitter_ms);
            self.sent_count += 1;
            let arrival = (self.now_ms + delay + jitter, self.sent_count);
            self.in_transit.insert(arrival, (from.clone(), to.clone(), message.clone()));
        }
    }
}

impl Host {
    fn start(settings: MembershipSettings, seed: u64) -> Self {
        let mut membership = Membership::new(settings.clone(), seed);
        membership.set_state(HostState::Ready);
        Self {
            membership,
            settings,
            running: true,
            frozen: false,
            waiting: VecDeque::new(),
            sent_bytes: 0,
            received_bytes: 0,
        }
    }
}

/// Size of a message on the wire, with its frame header.
pub fn encoded_bytes(message: &MembershipMessage) -> u64 {
    let frame = LinkFrame::Peer(PeerMessage::Membership(message.clone()));
    let mut bytes = Vec::new();
    ciborium::into_writer(&frame, &mut bytes).expect("frame encodes");
    bytes.len() as u64 + FRAME_BYTES
}
