//! Links between this host and the other hosts of the fleet.
//!
//! Every host accepts links, and dials the seeds and the core hosts in its host
//! table. A frame goes over the link that this host dialled if there is one, else
//! over the link that the other host dialled. A frame for a host without a link is
//! dropped; the protocols that use the links tolerate lost frames.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anvillift_schema::event::Event;
use anvillift_schema::fleet::{FleetFrame, FleetHost};
use anvillift_schema::name::Name;
use tokio::net::{TcpListener, TcpStream};
use tokio::task;
use tokio::time;
use tokio_tungstenite::tungstenite::Error as SocketError;

use crate::link::FrameSender;
use crate::{link, listen};

/// Longest time for a TCP connection. It is shorter than the retransmission
/// timeout of a lost SYN, so that a host that is reachable again is dialled at once.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest time for a TCP connection and its WebSocket handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(900);
/// Shortest time between two dials of a host. A link that has been up for longer is dialled again
/// at once when it fails.
const REDIAL_INTERVAL: Duration = Duration::from_millis(120);

type OnFrame = Box<dyn Fn(&Name, FleetFrame)>;
type OnLinkUp = Box<dyn Fn(&Name) -> Vec<FleetFrame>>;
type DescribeHost = Box<dyn Fn() -> FleetHost>;

/// Callbacks from the hub to its host.
pub(crate) struct HubHooks {
    /// Handles a frame received from a host.
    pub(crate) on_frame: OnFrame,
    /// Returns the frames to send first over a new link to a host.
    pub(crate) on_link_up: OnLinkUp,
    /// Returns the current description of this host.
    pub(crate) describe: DescribeHost,
}

/// A link that this host dials.
struct DialledLink {
    /// `None` while the link is down.
    queue: Option<FrameSender>,
    /// When it was last up, or first dialled.
    down_since: time::Instant,
}

impl DialledLink {
    fn new() -> Self {
        Self { queue: None, down_since: time::Instant::now() }
    }
}

#[derive(Default)]
struct Links {
    dialled: BTreeMap<Name, DialledLink>,
    /// Links that other hosts have dialled.
    accepted: BTreeMap<Name, FrameSender>,
}

/// Dials, accepts and multiplexes the links of a host.
pub(crate) struct Hub {
    hooks: HubHooks,
    links: RefCell<Links>,
}

impl Hub {
    pub(crate) fn new(hooks: HubHooks) -> Rc<Self> {
        Rc::new(Self { hooks, links: RefCell::default() })
    }

    /// Starts a task that accepts links from other hosts.
    pub(crate) fn accept_links(self: &Rc<Self>, listener: TcpListener) {
        let hub = Rc::clone(self);
        task::spawn_local(async move {
            loop {
                let stream = listen::accept(&listener).await;
                let hub = Rc::clone(&hub);
                task::spawn_local(async move { hub.run_accepted_link(stream).await });
            }
        });
    }

    /// Dials a host, and dials again whenever the link fails. The name of a host
    /// is its link address. Does nothing for this host itself or for a host that
    /// is dialled already.
    pub(crate) fn maintain_link(self: &Rc<Self>, name: &Name) {
        if *name == (self.hooks.describe)().name {
            return;
        }
        if self.links.borrow().dialled.contains_key(name) {
            return;
        }
        let Ok(address) = name.parse::<SocketAddr>() else {
            log::warn!("cannot dial host {name}: its name is not an address");
            return;
        };
        self.links.borrow_mut().dialled.insert(name.clone(), DialledLink::new());
        let (hub, name) = (Rc::clone(self), name.clone());
        task::spawn_local(async move { hub.run_dialled_link(name, address).await });
    }

    /// Queues a frame for a host, or drops it if the host has no link.
    pub(crate) fn send(&self, name: &str, frame: FleetFrame) {
        let links = self.links.borrow();
        let dialled = links.dialled.get(name).and_then(|link| link.queue.as_ref());
        if let Some(queue) = dialled.or_else(|| links.accepted.get(name)) {
            enqueue(name, queue, frame);
        }
    }

    /// Queues a frame for every host with a link and returns their names.
    pub(crate) fn send_all(&self, frame: &FleetFrame) -> Vec<Name> {
        let names = self.connected();
        for name in &names {
            self.send(name, frame.clone());
        }
        names
    }

    /// Names of the hosts with a link, sorted.
    pub(crate) fn connected(&self) -> Vec<Name> {
        let links = self.links.borrow();
        let dialled = links.dialled.iter().filter(|(_, link)| link.queue.is_some());
        let mut names: Vec<Name> = dialled.map(|(name, _)| name.clone()).collect();
        names.extend(links.accepted.keys().cloned());
        names.sort();
        names.dedup();
        names
    }

    /// Names of the hosts that this host dials whose links are up, or have been down for less than
    /// `down_time`, sorted.
    pub(crate) fn linked_within(&self, down_time: Duration) -> Vec<Name> {
        let is_recent =
            |link: &DialledLink| link.queue.is_some() || link.down_since.elapsed() < down_time;
        let links = self.links.borrow();
        let recent = links.dialled.iter().filter(|(_, link)| is_recent(link));
        recent.map(|(name, _)| name.clone()).collect()
    }

    async fn run_dialled_link(self: Rc<Self>, name: Name, address: SocketAddr) {
        loop {
            let next_dial = time::Instant::now() + REDIAL_INTERVAL;
            let dialled = time::timeout(HANDSHAKE_TIMEOUT, dial(address)).await;
            if let Ok(Ok(socket)) = dialled {
                let (tx, rx) = link::queue();
                if let Some(link) = self.links.borrow_mut().dialled.get_mut(&name) {
                    link.queue = Some(tx.clone());
                }
                self.send_first_frames(&name, &tx);
                let error =
                    link::run_link(socket, rx, |frame| self.receive(&name, &tx, frame)).await;
                if let Some(link) = self.links.borrow_mut().dialled.get_mut(&name) {
                    *link = DialledLink::new();
                }
                log_link_down(&name, &error.to_string());
            }
            time::sleep_until(next_dial).await;
        }
    }

    async fn run_accepted_link(self: Rc<Self>, stream: TcpStream) {
        let handshake =
            time::timeout(HANDSHAKE_TIMEOUT, tokio_tungstenite::accept_async(stream)).await;
        let Ok(Ok(socket)) = handshake else { return };
        let (tx, rx) = link::queue();
        let from: RefCell<Option<Name>> = RefCell::default();
        let error = link::run_link(socket, rx, |frame| {
            let peer = from.borrow().clone();
            match (peer, frame) {
                (Some(name), frame) => self.receive(&name, &tx, frame),
                (None, FleetFrame::Hello(host)) => {
                    let name = host.name.clone();
                    from.replace(Some(name.clone()));
                    self.links.borrow_mut().accepted.insert(name.clone(), tx.clone());
                    (self.hooks.on_frame)(&name, FleetFrame::Hello(host));
                    self.send_first_frames(&name, &tx);
                }
                (None, _) => (),
            }
        })
        .await;
        let Some(name) = from.take() else { return };
        let mut links = self.links.borrow_mut();
        if links.accepted.get(&name).is_some_and(|other| other.same_channel(&tx)) {
            links.accepted.remove(&name);
        }
        drop(links);
        log_link_down(&name, &error.to_string());
    }

    fn send_first_frames(&self, name: &Name, queue: &FrameSender) {
        log::info!(event = Event::LinkUp.number(), peer = name.as_str(); "link up");
        enqueue(name, queue, FleetFrame::Hello((self.hooks.describe)()));
        for frame in (self.hooks.on_link_up)(name) {
            enqueue(name, queue, frame);
        }
    }

    fn receive(&self, name: &Name, queue: &FrameSender, frame: FleetFrame) {
        if let FleetFrame::Ping(ping) = &frame {
            enqueue(name, queue, FleetFrame::Pong(ping.clone()));
        }
        (self.hooks.on_frame)(name, frame);
    }
}

async fn dial(
    address: SocketAddr,
) -> Result<tokio_tungstenite::WebSocketStream<TcpStream>, SocketError> {
    let stream = listen::connect(address, CONNECT_TIMEOUT).await?;
    let (socket, _) = tokio_tungstenite::client_async(format!("ws://{address}/"), stream).await?;
    Ok(socket)
}

fn enqueue(name: &str, queue: &FrameSender, frame: FleetFrame) {
    if queue.try_send(frame).is_err() {
        metrics::counter!("anvillift_link_frames_lost_total", "peer" => name.to_owned())
            .increment(1);
    }
}

fn log_link_down(name: &str, reason: &str) {
    log::warn!(event = Event::LinkDown.number(), peer = name, reason = reason; "link down");
}
