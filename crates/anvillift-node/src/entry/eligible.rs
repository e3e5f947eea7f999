//! Checks which workers may get a request, by what they report and what they have said in
//! their answers. The policy is [`eligibility`].

use std::collections::BTreeSet;

use anvillift_fleet::eligibility::{EligibilityFacts, Ineligible};
use anvillift_fleet::room_share::RoomFacts;
use anvillift_fleet::{
    LimitSharers, RepeatKind, VersionConstraint, WorkerEntry, WorkerNotice, eligibility, room_share,
};
use anvillift_schema::name::Name;

use crate::clock;
use crate::entry::Entry;
use crate::entry::dispatch_state::DispatchState;
use crate::entry::request::Request;
use crate::fleet_view::FleetView;

/// Time after the start of this host by which it has received the names of all
/// entry hosts of its region, in milliseconds.
const ALL_HOSTS_DISCOVERED_AFTER_MS: u64 = 5_000;
/// Wait for a worker with a limit while this host may not use its share of limits, in
/// milliseconds.
const NO_SHARE_WAIT_MS: u64 = 1_000;

/// What holds for all workers of a service in this host's region: the entry hosts that share
/// their limits, and whether workers of the service are brittle.
pub(super) struct SharedFacts {
    own_name: Name,
    hosts: Vec<Name>,
    has_discovered_all_hosts: bool,
    /// Whether this host may use its share.
    pub(super) may_use_share: bool,
    /// Fewest rejections within a second at which a worker of the service falls over;
    /// `None` if no worker is brittle. It counts for workers that have not said anything.
    max_rejections_per_s: Option<f64>,
}

impl SharedFacts {
    pub(super) fn names(&self) -> &[Name] {
        &self.hosts
    }

    pub(super) fn sharers(&self) -> LimitSharers<'_> {
        LimitSharers {
            own_name: &self.own_name,
            hosts: &self.hosts,
            has_discovered_all_hosts: self.has_discovered_all_hosts,
        }
    }
}

impl Entry {
    pub(super) fn shared_facts(
        &self,
        view: &FleetView,
        dispatch: &DispatchState,
        service: &str,
    ) -> SharedFacts {
        let now_ms = clock::now_ms();
        let brittle =
            |worker: &WorkerEntry| dispatch.notices.get(&worker.start()).max_rejections_per_s;
        SharedFacts {
            own_name: self.node.own_host().name,
            hosts: view.hosts.entry_names_in(&self.node.settings.region),
            has_discovered_all_hosts: now_ms >= self.started_ms + ALL_HOSTS_DISCOVERED_AFTER_MS,
            may_use_share: view.hosts.may_use_share(now_ms),
            max_rejections_per_s: view.workers.ready(service).filter_map(brittle).reduce(f64::min),
        }
    }
}

/// Checks whether a worker may get a request that was sent to `tried` before.
pub(super) fn check(
    view: &FleetView,
    dispatch: &DispatchState,
    shared: &SharedFacts,
    worker: &WorkerEntry,
    tried: &BTreeSet<Name>,
    (request, version_constraint): (&Request, &VersionConstraint),
) -> Result<(), Ineligible> {
    let now_ms = clock::now_ms();
    let notice = dispatch.notices.get(&worker.start());
    eligibility::check(&EligibilityFacts {
        now_ms,
        worker,
        notice,
        limit_wait_ms: limit_wait_ms(now_ms, dispatch, shared, worker, &notice),
        has_room: has_room(now_ms, dispatch, shared, worker, &notice),
        evacuated: &view.control.evacuated,
        tried,
        version_constraint,
        needs_known_version: request.route.kind == RepeatKind::ResumableStream,
    })
}

/// Time until this host may send a request to a worker under the limit that the worker
/// has named, in milliseconds.
fn limit_wait_ms(
    now_ms: u64,
    dispatch: &DispatchState,
    shared: &SharedFacts,
    worker: &WorkerEntry,
    notice: &WorkerNotice,
) -> u64 {
    let Some(limit) = notice.limit.filter(|limit| !limit.is_over(now_ms)) else { return 0 };
    if !shared.may_use_share {
        return NO_SHARE_WAIT_MS;
    }
    dispatch.limit_share.wait_ms(now_ms, &worker.start(), &limit, &shared.sharers())
}

/// Whether this host's share of the room of a worker, if it is brittle, is not used.
fn has_room(
    now_ms: u64,
    dispatch: &DispatchState,
    shared: &SharedFacts,
    worker: &WorkerEntry,
    notice: &WorkerNotice,
) -> bool {
    let stated = notice.max_rejections_per_s.or(shared.max_rejections_per_s);
    let Some(max_rejections_per_s) = stated else { return true };
    let facts = RoomFacts {
        worker: &worker.report.id,
        slots: worker.report.slots,
        max_rejections_per_s,
        in_flight: dispatch.in_flight(&worker.report.id).requests,
        last_sent_ms: dispatch.limit_share.last_sent_ms(&worker.start()),
        last_rejected_ms: notice.last_rejected_ms,
    };
    shared.may_use_share && room_share::has_room(now_ms, &facts, &shared.sharers())
}
