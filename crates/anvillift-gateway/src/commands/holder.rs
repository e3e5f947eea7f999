//! Who holds a reservation: a host in one of its incarnations.

use std::sync::Arc;

use anvillift_schema::name::Name;

use crate::gateway::Gateway;

/// Between the host and its incarnation.
const SEPARATOR: char = '#';

/// The own host as a holder.
pub(super) fn own(gateway: &Gateway) -> Name {
    let snapshot = gateway.snapshot.load();
    let record = snapshot.view.hosts.get(gateway.host()).map(|host| host.record.incarnation);
    Name::from(format!("{}{SEPARATOR}{}", gateway.host(), record.unwrap_or(0)))
}

/// Whether a holder has fallen silent, or was restarted and knows nothing of its attempts.
pub(super) fn is_silent(gateway: &Arc<Gateway>, holder: &Name) -> bool {
    let Some((host, incarnation)) = holder.rsplit_once(SEPARATOR) else { return false };
    let incarnation: u64 = incarnation.parse().unwrap_or(0);
    let snapshot = gateway.snapshot.load();
    // A host that was never heard may still be on its way into the view.
    snapshot
        .view
        .hosts
        .get(host)
        .is_some_and(|known| !known.alive || known.record.incarnation > incarnation)
}
