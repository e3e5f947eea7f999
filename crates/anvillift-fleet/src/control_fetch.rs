//! Chooses the core from which an entry host fetches a newer control state.
//!
//! Every core announces the log index of its state. The state may be large, so it
//! is requested from one core, and from another only if the first does not answer
//! in time.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;

/// Time after which an unanswered request is sent to another core, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 450;

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
}

impl ControlFetch {
    /// Records the index that a core announced. Returns true if the state is to be
    /// requested from that core now; `held_index` is the index of the state of this
    /// host.
    pub fn on_announcement(
        &mut self,
        now_ms: u64,
        core: &Name,
        index: u64,
        held_index: u64,
    ) -> bool {
        self.announced.insert(core.clone(), index);
        let is_pending = self.pending.as_ref().is_some_and(|pending| {
            pending.index >= index && pending.index > held_index && !pending.is_overdue(now_ms)
        });
        let is_requested = index > held_index && !is_pending;
        if is_requested {
            self.pending = Some(PendingRequest { core: core.clone(), index, requested_ms: now_ms });
        }
        is_requested
    }

    /// The core to send the request to next, if the pending request is overdue. The
    /// core that did not answer comes last.
    pub fn retry(&mut self, now_ms: u64, held_index: u64) -> Option<Name> {
        let pending = self.pending.as_ref().filter(|pending| pending.index > held_index)?;
        if !pending.is_overdue(now_ms) {
            return None;
        }
        let newer_cores = self.announced.iter().filter(|(_, index)| **index > held_index);
        let mut cores: Vec<(&Name, u64)> =
            newer_cores.map(|(core, index)| (core, *index)).collect();
        cores.sort_by_key(|(core, index)| (**core == pending.core, u64::MAX - index));
        let (core, index) = cores.first().map(|(core, index)| ((*core).clone(), *index))?;
        self.pending = Some(PendingRequest { core: core.clone(), index, requested_ms: now_ms });
        Some(core)
    }
}

impl PendingRequest {
    fn is_overdue(&self, now_ms: u64) -> bool {
        self.requested_ms + REQUEST_TIMEOUT_MS <= now_ms
    }
}
