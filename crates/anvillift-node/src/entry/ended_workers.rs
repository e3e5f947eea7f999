//! Notices that a worker has ended while no request of this host was in flight there.
//!
//! Nothing breaks off then, but idle connections end before their time. If the worker can't be
//! reached either, its version is doubted, as after a crash: it may start again under its id
//! with another one, and its first report may come late.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anvillift_fleet::WorkerStart;
use anvillift_fleet::target_order::Contact;
use anvillift_schema::event::Event;
use anvillift_schema::fleet::{FleetCrash, FleetCrashes, FleetFrame};
use tokio::{task, time};

use crate::clock;
use crate::entry::Entry;

/// Interval at which idle connections are looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for connecting to a worker that is checked.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

impl Entry {
    /// Drops idle connections that are over, and checks the workers that have ended some.
    pub(super) async fn run_connection_checks(self: Rc<Self>) {
        let mut tick = time::interval(CHECK_INTERVAL);
        loop {
            tick.tick().await;
            self.pool.prune(clock::now_ms());
            for address in self.pool.take_ended() {
                let Some(worker) = self.worker_at(address) else { continue };
                let entry = Rc::clone(&self);
                task::spawn_local(async move { entry.check_idle_worker(worker, address).await });
            }
        }
    }

    /// The worker that takes requests at an address. One that leaves may end as it likes.
    fn worker_at(&self, address: SocketAddr) -> Option<WorkerStart> {
        let view = self.node.view.borrow();
        let worker = view.workers.at_address(&address.to_string())?;
        worker.is_ready().then(|| worker.start())
    }

    async fn check_idle_worker(&self, worker: WorkerStart, address: SocketAddr) {
        if self.pool.is_reachable(address, CONNECT_TIMEOUT).await {
            return;
        }
        // While no worker is reached, it is not known which of them have ended.
        if self.contact.borrow().contact() != Contact::Full {
            return;
        }
        let now_ms = clock::now_ms();
        if !self.node.view.borrow_mut().workers.doubt_version(now_ms, &worker) {
            return;
        }
        log::warn!(
            event = Event::WorkerCrashed.number(), worker = worker.id.as_str(),
            born_ms = worker.born_ms, requests = 0;
            "worker has ended its idle connections and can't be reached"
        );
        self.report_ended_worker(worker);
    }

    /// Tells cores of a worker that has ended with nothing in flight.
    fn report_ended_worker(&self, worker: WorkerStart) {
        let Some(hub) = self.node.hub() else { return };
        let crash = FleetCrash {
            worker: worker.id,
            born_ms: worker.born_ms,
            age_ms: 0,
            is_given_up: false,
            parts: Vec::new(),
            requests: Vec::new(),
        };
        let frame = FleetFrame::Crashes(FleetCrashes { crashes: vec![crash] });
        for core in self.crash_cores() {
            hub.send(&core, frame.clone());
        }
    }
}
