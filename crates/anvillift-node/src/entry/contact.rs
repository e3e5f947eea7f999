//! The contact of this host to the workers of its region, and the status checks by which it is found
//! again. The policy is [`WorkerContact`], which is asked twice: connections that are open may
//! live on while new ones fail.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anvillift_fleet::target_order::Contact;
use anvillift_fleet::{SilentWorker, WorkerContact, WorkerEntry};
use anvillift_http::{Connection, HeadLimits, HttpError};
use anvillift_schema::event::Event;
use anvillift_schema::name::Name;
use futures_util::future;
use tokio::time;

use crate::entry::Entry;
use crate::entry::target::Target;
use crate::fleet_view::FleetView;
use crate::{clock, listen};

/// Interval of the conclusions, and of the status checks while no worker is reached.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time for connecting to a worker that is checked, and for its answer after that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Workers that reported last, of those that are checked each time.
const NEWEST_CHECKED: usize = 2;

/// A status check of a worker.
struct StatusCheck {
    address: SocketAddr,
    path: String,
}

/// What is known of the contact to workers.
#[derive(Debug, Default)]
pub(super) struct ContactState {
    /// By all requests.
    any: WorkerContact,
    /// By the first requests on new connections.
    new_connections: WorkerContact,
    /// When the contact was last full no more, in milliseconds.
    lost_ms: u64,
}

impl ContactState {
    /// How far this host reaches the workers of its region.
    pub(super) fn contact(&self) -> Contact {
        match (self.any.is_lost(), self.new_connections.is_lost()) {
            (true, _) => Contact::None,
            (false, true) => Contact::OpenConnections,
            (false, false) => Contact::Full,
        }
    }

    fn record_answer(&mut self, sent_ms: u64, is_new_connection: bool) {
        self.any.record_answer(sent_ms);
        if is_new_connection {
            self.new_connections.record_answer(sent_ms);
        }
    }

    fn record_failure(&mut self, worker: &Name, sent_ms: u64, is_new_connection: bool) {
        self.any.record_failure(worker, sent_ms);
        if is_new_connection {
            self.new_connections.record_failure(worker, sent_ms);
        }
    }
}

impl Entry {
    /// Records that the head of an answer of a worker has arrived, to a request that was sent at
    /// `sent_ms`.
    pub(super) fn record_worker_answer(
        &self,
        target: &Target,
        sent_ms: u64,
        is_new_connection: bool,
    ) {
        if !target.is_host {
            self.change_contact(|state| state.record_answer(sent_ms, is_new_connection));
        }
    }

    /// Records that a worker could not be reached, or did not answer a request that was sent at
    /// `sent_ms`.
    pub(super) fn record_worker_failure(
        &self,
        target: &Target,
        sent_ms: u64,
        is_new_connection: bool,
    ) {
        if !target.is_host {
            self.change_contact(|state| {
                state.record_failure(&target.name, sent_ms, is_new_connection);
            });
            self.update_contact();
        }
    }

    /// Concludes how far workers are reached, at intervals, and checks some while none is, or not
    /// over new connections.
    pub(super) async fn run_contact_checks(self: Rc<Self>) {
        let mut turn = 0;
        loop {
            // A loss is noticed at once, and so is a worker that starts meanwhile.
            time::timeout(CHECK_INTERVAL, self.contact_check_due.notified()).await.ok();
            self.update_contact();
            if self.contact.borrow().contact() == Contact::Full {
                continue;
            }
            turn += 1;
            let sent_ms = clock::now_ms();
            let checks = self.next_checks(turn);
            metrics::counter!("anvillift_contact_checks_total").increment(checks.len() as u64);
            let answers = future::join_all(checks.iter().map(StatusCheck::run)).await;
            if answers.iter().any(Result::is_ok) {
                self.change_contact(|state| state.record_answer(sent_ms, true));
            }
        }
    }

    /// Checks workers at once if none is reached, since one has just reported.
    pub(super) fn check_contact_soon(&self) {
        if self.contact.borrow().contact() != Contact::Full {
            self.contact_check_due.notify_one();
        }
    }

    fn update_contact(&self) {
        let (ready, silent) = {
            let (view, now_ms) = (self.node.view.borrow(), clock::now_ms());
            let dispatch = self.dispatch.borrow();
            let silent = self.local_workers(&view).filter_map(|worker| {
                let since_ms = dispatch.silent_since_ms(now_ms, &worker.report.id)?;
                Some(SilentWorker { worker: worker.report.id.clone(), since_ms })
            });
            (self.local_workers(&view).count(), silent.collect::<Vec<SilentWorker>>())
        };
        self.change_contact(|state| {
            state.any.update(ready, silent.into_iter());
            state.new_connections.update_beside(ready, &state.any);
        });
    }

    /// Changes what is known. If that changes the contact, it is logged, and workers are checked at
    /// once when it is lost.
    fn change_contact(&self, change: impl FnOnce(&mut ContactState)) {
        let now_ms = clock::now_ms();
        let mut state = self.contact.borrow_mut();
        let before = state.contact();
        change(&mut state);
        let after = state.contact();
        if after == before {
            return;
        }
        if before == Contact::Full {
            state.lost_ms = now_ms;
            self.contact_check_due.notify_one();
        }
        let lost_ms = now_ms.saturating_sub(state.lost_ms);
        drop(state);
        metrics::gauge!("anvillift_workers_unreachable")
            .set(f64::from(u8::from(after != Contact::Full)));
        if after == Contact::Full {
            log::info!(
                event = Event::ContactRegained.number(), lost_ms = lost_ms;
                "a worker of this region has answered again, or none is left"
            );
        } else {
            log::warn!(
                event = Event::ContactLost.number(),
                open_connections = after == Contact::OpenConnections;
                "no worker of this region is reached; requests go to other hosts"
            );
        }
    }

    /// The workers of this region that take requests.
    fn local_workers<'a>(&'a self, view: &'a FleetView) -> impl Iterator<Item = &'a WorkerEntry> {
        let settings = &self.node.settings;
        let is_local = |worker: &&WorkerEntry| {
            settings.region_of(&worker.report.data_centre) == Some(&settings.region)
        };
        view.workers.iter().filter(|worker| worker.is_ready()).filter(is_local)
    }

    /// Checks of the workers that reported last, and of another one in each turn, unless they want
    /// fewer requests or none.
    fn next_checks(&self, turn: usize) -> Vec<StatusCheck> {
        let view = self.node.view.borrow();
        let now_ms = clock::now_ms();
        let dispatch = self.dispatch.borrow();
        let takes_any = |worker: &&WorkerEntry| {
            let notice = dispatch.notices.get(&worker.start());
            notice.leaving_since_ms.is_none() && !notice.is_paused(now_ms) && notice.limit.is_none()
        };
        let mut workers: Vec<&WorkerEntry> = self.local_workers(&view).filter(takes_any).collect();
        workers.sort_by_key(|worker| Reverse(worker.last_received_ms));
        let newest = workers.iter().take(NEWEST_CHECKED);
        let others = workers.get(NEWEST_CHECKED..).unwrap_or_default();
        let other = others.get(turn % others.len().max(1));
        newest.chain(other).filter_map(|worker| StatusCheck::of(&view, worker)).collect()
    }
}

impl StatusCheck {
    fn of(view: &FleetView, worker: &WorkerEntry) -> Option<Self> {
        let service = view.configuration.as_ref()?.services.get(&worker.report.service);
        let path = service.map(|service| service.health_path.clone());
        let path = path.filter(|path| path.starts_with('/')).unwrap_or_else(|| "/".to_owned());
        Some(Self { address: worker.report.address.parse().ok()?, path })
    }

    /// Waits for an answer, whatever it says.
    async fn run(&self) -> Result<(), HttpError> {
        let stream = listen::connect(self.address, CONNECT_TIMEOUT).await?;
        let mut connection = Connection::new(stream);
        let Self { address, path } = self;
        let request =
            format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        let answer = async {
            connection.write_all(request.as_bytes()).await?;
            while connection.parse_response(HeadLimits::default())?.is_none() {
                if connection.fill().await? == 0 {
                    return Err(HttpError::Incomplete);
                }
            }
            Ok(())
        };
        time::timeout(ANSWER_TIMEOUT, answer).await.unwrap_or(Err(HttpError::Incomplete))
    }
}
