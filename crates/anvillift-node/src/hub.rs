//! The links of a host.
//!
//! Every host takes links, and dials the core hosts that it knows. Frames to a
//! host go over the link that this host dialled if there is one, else over the
//! one that was dialled from there; a frame for a host without a link is lost,
//! as the protocols above expect.

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

/// Longest time for a connection: shorter than a lost packet's second try takes,
/// so that a host that comes back is reached at once.
const CONNECT_WITHIN: Duration = Duration::from_millis(350);
/// Longest time for a connection and its handshake.
const DIAL_WITHIN: Duration = Duration::from_millis(900);
/// Before a link is dialled again.
const DIAL_AGAIN: Duration = Duration::from_millis(120);

type OnFrame = Box<dyn Fn(&Name, FleetFrame)>;
type OnUp = Box<dyn Fn(&Name) -> Vec<FleetFrame>>;
type Describe = Box<dyn Fn() -> FleetHost>;

/// What the host does with its links.
pub(crate) struct HubHooks {
    /// Takes a frame from a host.
    pub(crate) on_frame: OnFrame,
    /// Frames for a host whose link has come up.
    pub(crate) on_up: OnUp,
    /// Describes this host.
    pub(crate) describe: Describe,
}

#[derive(Default)]
struct Links {
    dialled: BTreeMap<Name, Option<FrameSender>>,
    taken: BTreeMap<Name, FrameSender>,
}

/// The links of a host.
pub(crate) struct Hub {
    hooks: HubHooks,
    links: RefCell<Links>,
}

impl Hub {
    pub(crate) fn new(hooks: HubHooks) -> Rc<Self> {
        Rc::new(Self { hooks, links: RefCell::default() })
    }

    /// Takes links from now on.
    pub(crate) fn take_links(self: &Rc<Self>, listener: TcpListener) {
        let hub = Rc::clone(self);
        task::spawn_local(async move {
            loop {
                let stream = listen::accept(&listener).await;
                let hub = Rc::clone(&hub);
                task::spawn_local(async move { hub.serve(stream).await });
            }
        });
    }

    /// Keeps a link to a host, by the address that is its name.
    pub(crate) fn keep_link(self: &Rc<Self>, name: &Name) {
        if *name == (self.hooks.describe)().name {
            return;
        }
        if self.links.borrow().dialled.contains_key(name) {
            return;
        }
        let Ok(address) = name.parse::<SocketAddr>() else {
            log::warn!("host {name} has no address to dial");
            return;
        };
        self.links.borrow_mut().dialled.insert(name.clone(), None);
        let (hub, name) = (Rc::clone(self), name.clone());
        task::spawn_local(async move { hub.dial_on(name, address).await });
    }

    /// Sends a frame to a host, if it has a link.
    pub(crate) fn send(&self, name: &str, frame: FleetFrame) {
        let links = self.links.borrow();
        let dialled = links.dialled.get(name).and_then(Option::as_ref);
        if let Some(queue) = dialled.or_else(|| links.taken.get(name)) {
            push(name, queue, frame);
        }
    }

    /// Sends a frame to every host with a link; gives their names.
    pub(crate) fn send_all(&self, frame: &FleetFrame) -> Vec<Name> {
        let names = self.connected();
        for name in &names {
            self.send(name, frame.clone());
        }
        names
    }

    /// Hosts with a link.
    pub(crate) fn connected(&self) -> Vec<Name> {
        let links = self.links.borrow();
        let dialled = links.dialled.iter().filter(|(_, queue)| queue.is_some());
        let mut names: Vec<Name> = dialled.map(|(name, _)| name.clone()).collect();
        names.extend(links.taken.keys().cloned());
        names.sort();
        names.dedup();
        names
    }

    async fn dial_on(self: Rc<Self>, name: Name, address: SocketAddr) {
        loop {
            let dialled = time::timeout(DIAL_WITHIN, dial(address)).await;
            if let Ok(Ok(socket)) = dialled {
                let (tx, rx) = link::queue();
                if let Some(slot) = self.links.borrow_mut().dialled.get_mut(&name) {
                    *slot = Some(tx.clone());
                }
                self.greet(&name, &tx);
                let error = link::carry(socket, rx, |frame| self.receive(&name, &tx, frame)).await;
                if let Some(slot) = self.links.borrow_mut().dialled.get_mut(&name) {
                    *slot = None;
                }
                log_down(&name, &error.to_string());
            }
            time::sleep(DIAL_AGAIN).await;
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let accepted = time::timeout(DIAL_WITHIN, tokio_tungstenite::accept_async(stream)).await;
        let Ok(Ok(socket)) = accepted else { return };
        let (tx, rx) = link::queue();
        let from: RefCell<Option<Name>> = RefCell::default();
        let error = link::carry(socket, rx, |frame| {
            let known = from.borrow().clone();
            match (known, frame) {
                (Some(name), frame) => self.receive(&name, &tx, frame),
                (None, FleetFrame::Hello(host)) => {
                    let name = host.name.clone();
                    from.replace(Some(name.clone()));
                    self.links.borrow_mut().taken.insert(name.clone(), tx.clone());
                    (self.hooks.on_frame)(&name, FleetFrame::Hello(host));
                    self.greet(&name, &tx);
                }
                (None, _) => (),
            }
        })
        .await;
        let Some(name) = from.take() else { return };
        let mut links = self.links.borrow_mut();
        if links.taken.get(&name).is_some_and(|other| other.same_channel(&tx)) {
            links.taken.remove(&name);
        }
        drop(links);
        log_down(&name, &error.to_string());
    }

    fn greet(&self, name: &Name, queue: &FrameSender) {
        log::info!(event = Event::LinkUp.number(), peer = name.as_str(); "link up");
        push(name, queue, FleetFrame::Hello((self.hooks.describe)()));
        for frame in (self.hooks.on_up)(name) {
            push(name, queue, frame);
        }
    }

    fn receive(&self, name: &Name, queue: &FrameSender, frame: FleetFrame) {
        if let FleetFrame::Ping(ping) = &frame {
            push(name, queue, FleetFrame::Pong(ping.clone()));
        }
        (self.hooks.on_frame)(name, frame);
    }
}

async fn dial(
    address: SocketAddr,
) -> Result<tokio_tungstenite::WebSocketStream<TcpStream>, SocketError> {
    let stream = listen::connect(address, CONNECT_WITHIN).await?;
    let (socket, _) = tokio_tungstenite::client_async(format!("ws://{address}/"), stream).await?;
    Ok(socket)
}

fn push(name: &str, queue: &FrameSender, frame: FleetFrame) {
    if queue.try_send(frame).is_err() {
        metrics::counter!("anvillift_link_frames_lost_total", "peer" => name.to_owned())
            .increment(1);
    }
}

fn log_down(name: &str, reason: &str) {
    log::warn!(event = Event::LinkDown.number(), peer = name, reason = reason; "link down");
}
