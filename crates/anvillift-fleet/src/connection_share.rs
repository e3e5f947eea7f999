//! The connections that this host may open to a worker.
//!
//! A worker accepts a limited number of connections from all hosts together and
//! resets those beyond it, which loses the requests on them. Each host therefore
//! keeps to an equal share. A host that has just started does not know the others
//! yet and would take too large a share, just when all hosts connect again.

use crate::cold_share::LimitSharers;

/// Fewest connections to a worker.
const MIN_CONNECTIONS: usize = 2;
/// Most connections to a worker while not all other hosts are known.
const MAX_WHILE_DISCOVERING: usize = 8;

/// Most connections of this host to a worker that accepts `worker_limit` in all.
pub fn connection_limit(worker_limit: u64, sharers: &LimitSharers<'_>) -> usize {
    let share = worker_limit as usize / (sharers.hosts.len() + 1);
    let limit =
        if sharers.has_discovered_all_hosts { share } else { share.min(MAX_WHILE_DISCOVERING) };
    limit.max(MIN_CONNECTIONS)
}
