//! Holders of reservations: a host together with the incarnation that made the reservation.

use std::sync::Arc;

use anvillift_schema::name::Name;

use crate::gateway::Gateway;

/// Separates the host from its incarnation.
const SEPARATOR: char = '#';

/// This host in its current incarnation.
pub(super) fn own_holder(gateway: &Gateway) -> Name {
    let snapshot = gateway.snapshot.load();
    let incarnation = snapshot.view.hosts.get(gateway.host()).map(|host| host.record.incarnation);
    Name::from(format!("{}{SEPARATOR}{}", gateway.host(), incarnation.unwrap_or(0)))
}

/// Whether a holder is not alive, or was restarted and has lost the state of its attempts.
pub(super) fn is_lost(gateway: &Arc<Gateway>, holder: &Name) -> bool {
    let Some((host, incarnation)) = holder.rsplit_once(SEPARATOR) else { return false };
    let incarnation: u64 = incarnation.parse().unwrap_or(0);
    let snapshot = gateway.snapshot.load();
    // A host that the view does not contain may not have been reported yet, so it is not lost.
    snapshot
        .view
        .hosts
        .get(host)
        .is_some_and(|host| !host.alive || host.record.incarnation > incarnation)
}
