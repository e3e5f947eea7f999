//! Chooses the core from which an entry host fetches a newer control state.
//!
//! Every core announces the log index of its state. The state may be large, so it
//! is requested from one core, and from another only if the first does not answer
//! in time.
//!
//! A core may lag: it was frozen, or starts from an old disk. A host without a state
//! waits for a majority of the cores, at least one of which has every acknowledged change,
//! and then requests the newest state. Otherwise a withdrawn key would be accepted until a
//! newer state arrives.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;

/// Time after which an unanswered request is sent to another core, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 450;
/// Longest time for which a host without a state waits for a majority of the cores, in
/// milliseconds. A region that is cut off hears only some of them. The first frames of a core
/// in another region come after two and a half round trips of 110 ms.
const MAJORITY_TIMEOUT_MS: u64 = 600;

#[derive(Clone, Debug)]
struct PendingRequest {
    core: Name,
    index: u64,
    requested_ms: u64,
}

/// Indexes that cores announced, and the pending request.
#[derive(Clone, Debug, Default)]
pub struct ControlFetch {
    announced: BTreeMap<Name, u64>,
    pending: Option<PendingRequest>,
    /// Cores that must have announced a state before the first request.
    majority: usize,
    /// Time of the first announcement.
    first_announced_ms: Option<u64>,
}

impl ControlFetch {
    /// The fetch of a host that has no state yet, in a system with this number of cores.
    pub fn beside(cores: usize) -> Self {
        Self { majority: cores / 2 + 1, ..Self::default() }
    }

    /// Records the index that a core announced. Returns the core from which the state is
    /// to be requested now; `held_index` is the index of the state of this host.
    pub fn on_announcement(
        &mut self,
        now_ms: u64,
        core: &Name,
        index: u64,
        held_index: u64,
    ) -> Option<Name> {
        self.announced.insert(core.clone(), index);
        self.first_announced_ms.get_or_insert(now_ms);
        if held_index == 0 && self.pending.is_none() {
            return self.request_newest(now_ms);
        }
        let is_pending = self.pending.as_ref().is_some_and(|pending| {
            pending.index >= index && pending.index > held_index && !pending.is_overdue(now_ms)
        });
        let is_requested = index > held_index && !is_pending;
        is_requested.then(|| self.request(now_ms, core.clone(), index))
    }

    /// Requests the newest announced state, once a majority of the cores has announced one or the
    /// time for that has passed. Returns the core to send the request to.
    fn request_newest(&mut self, now_ms: u64) -> Option<Name> {
        let is_overdue =
            self.first_announced_ms.is_some_and(|at_ms| at_ms + MAJORITY_TIMEOUT_MS <= now_ms);
        if self.announced.len() < self.majority && !is_overdue {
            return None;
        }
        let (core, index) = self.announced.iter().max_by_key(|(_, index)| **index)?;
        let (core, index) = (core.clone(), *index);
        Some(self.request(now_ms, core, index))
    }

    fn request(&mut self, now_ms: u64, core: Name, index: u64) -> Name {
        self.pending = Some(PendingRequest { core: core.clone(), index, requested_ms: now_ms });
        core
    }

    /// The core to send the request to next, if the pending request is overdue. The
    /// core that did not answer comes last.
    pub fn retry(&mut self, now_ms: u64, held_index: u64) -> Option<Name> {
        if held_index == 0 && self.pending.is_none() {
            return self.request_newest(now_ms);
        }
        let pending = self.pending.as_ref().filter(|pending| pending.index > held_index)?;
        if !pending.is_overdue(now_ms) {
            return None;
        }
        let newer_cores = self.announced.iter().filter(|(_, index)| **index > held_index);
        let mut cores: Vec<(&Name, u64)> =
            newer_cores.map(|(core, index)| (core, *index)).collect();
        cores.sort_by_key(|(core, index)| (**core == pending.core, u64::MAX - index));
        let (core, index) = cores.first().map(|(core, index)| ((*core).clone(), *index))?;
        Some(self.request(now_ms, core, index))
    }
}

impl PendingRequest {
    fn is_overdue(&self, now_ms: u64) -> bool {
        self.requested_ms + REQUEST_TIMEOUT_MS <= now_ms
    }
}
