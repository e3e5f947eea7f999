//! What a core host remembers of workers that drain or have left: the calls that wait for
//! confirmations, what was confirmed, and the workers that it did not know.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_schema::fleet::{FleetLeave, FleetWorker, FleetWorkerAck, FleetWorkerState};
use anvillift_schema::name::Name;
use tokio::sync::oneshot;

/// Time after the word of an unknown worker that it leaves in which a report that it is ready
/// was sent before that, in milliseconds.
const LATE_REPORT_MS: u64 = 3_000;

/// What a host confirms: id, start time and sequence number of a worker's report.
pub(super) type ReportKey = (Name, u64, u64);

/// The hosts that have yet to confirm a report, and the channel to signal when all have.
struct Unconfirmed {
    key: ReportKey,
    hosts: BTreeSet<Name>,
    done: Option<oneshot::Sender<()>>,
}

/// A start of a worker that drains, or that has left.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Departure {
    id: Name,
    born_ms: u64,
    has_left: bool,
}

impl Departure {
    pub(super) fn of(report: &FleetWorker) -> Self {
        Self {
            id: report.id.clone(),
            born_ms: report.born_ms,
            has_left: report.state == FleetWorkerState::Left,
        }
    }
}

/// A worker that has left and that this host did not know.
#[derive(Clone, Debug)]
pub(super) struct UnknownLeave {
    pub(super) leave: FleetLeave,
    told_ms: u64,
}

/// The calls that wait for confirmations, and what was confirmed.
#[derive(Default)]
pub(crate) struct DepartureLog {
    /// By a number of this process.
    waiting: BTreeMap<u64, Unconfirmed>,
    last_number: u64,
    confirmed: BTreeSet<Departure>,
    unknown: Vec<UnknownLeave>,
}

impl DepartureLog {
    /// Handles the confirmation of a report by a host.
    pub(super) fn on_confirmation(&mut self, from: &Name, confirmed: &FleetWorkerAck) {
        let key = (confirmed.id.clone(), confirmed.born_ms, confirmed.sequence);
        for waiting in self.waiting.values_mut().filter(|waiting| waiting.key == key) {
            waiting.hosts.remove(from);
            if waiting.hosts.is_empty()
                && let Some(done) = waiting.done.take()
            {
                done.send(()).ok();
            }
        }
    }

    /// Whether a report was sent by a worker before it said that it leaves, while this host did not
    /// know it.
    pub(super) fn is_late_report(&self, now_ms: u64, report: &FleetWorker) -> bool {
        let has_left = |unknown: &UnknownLeave| {
            unknown.leave.id == report.id
                && unknown.leave.service.as_ref().is_none_or(|service| *service == report.service)
        };
        self.recent_unknown(now_ms).any(has_left)
    }

    /// The unknown workers that have left lately.
    pub(super) fn recent_unknown(&self, now_ms: u64) -> impl Iterator<Item = &UnknownLeave> {
        self.unknown.iter().filter(move |unknown| unknown.told_ms + LATE_REPORT_MS > now_ms)
    }

    /// Records that a worker leaves which this host doesn't know.
    pub(super) fn record_unknown(&mut self, now_ms: u64, leave: FleetLeave) {
        self.unknown
            .retain(|unknown| unknown.told_ms + LATE_REPORT_MS > now_ms && unknown.leave != leave);
        self.unknown.push(UnknownLeave { leave, told_ms: now_ms });
    }

    /// Begins to wait until hosts confirm a report. Returns the number of the wait.
    pub(super) fn wait(
        &mut self,
        key: ReportKey,
        hosts: BTreeSet<Name>,
    ) -> (u64, oneshot::Receiver<()>) {
        let (done, confirmed) = oneshot::channel();
        self.last_number += 1;
        let waiting = Unconfirmed { key, hosts, done: Some(done) };
        self.waiting.insert(self.last_number, waiting);
        (self.last_number, confirmed)
    }

    /// The hosts of a wait that have not confirmed.
    pub(super) fn missing(&self, number: u64) -> BTreeSet<Name> {
        self.waiting.get(&number).map(|waiting| waiting.hosts.clone()).unwrap_or_default()
    }

    /// Ends a wait. Returns the hosts that have not confirmed.
    pub(super) fn end_wait(&mut self, number: u64) -> BTreeSet<Name> {
        self.waiting.remove(&number).map(|waiting| waiting.hosts).unwrap_or_default()
    }

    /// Whether all hosts have confirmed a departure.
    pub(super) fn is_confirmed(&self, departure: &Departure) -> bool {
        self.confirmed.contains(departure)
    }

    /// Records that all hosts have confirmed a departure.
    pub(super) fn record_confirmed(&mut self, departure: Departure) {
        self.confirmed.insert(departure);
    }

    /// Forgets the starts of workers that are no longer known.
    pub(super) fn retain(&mut self, is_known: impl Fn(&Name) -> bool) {
        self.confirmed.retain(|departure| is_known(&departure.id));
    }
}
