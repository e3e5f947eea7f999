//! When a starting host becomes ready for requests.
//!
//! Without control, the host uses the configuration of its settings. With control, it first
//! requests the configuration from the control hosts and the hosts of its data centre, and uses the
//! highest revision that it receives. If no host answers, as after a power cut in a disconnected
//! region, it uses the configuration that it has: on a host with a disk the saved one, else that of
//! the settings.

use std::sync::Weak;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvillift_schema::name::Name;
use tokio::time;

use crate::control::distribution;
use crate::gateway::Gateway;
use crate::start;

/// Time for which a host requests newer revisions before it uses the configuration that it has.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time to wait for higher revisions after the revision of this host is first confirmed: it is
/// higher than the saved one, or it is a saved one that another live host has applied.
const SETTLING_TIME: Duration = Duration::from_millis(500);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Whether the host is ready as soon as it has started, because the settings name no control hosts.
pub(crate) fn is_ready_at_start(gateway: &Gateway) -> bool {
    gateway.settings.control.voters.is_empty()
}

/// Marks the host ready once its configuration is recent, unless it is draining by then.
pub(super) async fn run(gateway: Weak<Gateway>) {
    let Some(ready_at_start) = gateway.upgrade().map(|gateway| is_ready_at_start(&gateway)) else {
        return;
    };
    if !ready_at_start {
        find_newest_revision(&gateway).await;
    }
    if let Some(gateway) = gateway.upgrade()
        && !gateway.draining.load(Ordering::Acquire)
    {
        start::set_ready(&gateway);
    }
}

async fn find_newest_revision(gateway: &Weak<Gateway>) {
    let deadline = time::Instant::now() + QUERY_TIMEOUT;
    let saved =
        gateway.upgrade().map_or(0, |gateway| gateway.control.daemon_configuration().revision());
    let mut confirmed_at = None;
    while time::Instant::now() < deadline {
        let Some(gateway) = gateway.upgrade() else { return };
        let hosts = hosts_to_query(&gateway);
        hosts.iter().for_each(|host| distribution::request_newer(&gateway, host));
        let own_revision = gateway.control.daemon_configuration().revision();
        let is_confirmed =
            own_revision > saved || (saved > 0 && is_revision_in_use(&gateway, own_revision));
        drop(gateway);
        let now = time::Instant::now();
        if is_confirmed && now >= *confirmed_at.get_or_insert(now) + SETTLING_TIME {
            return;
        }
        time::sleep(REQUEST_INTERVAL).await;
    }
}

/// Whether another live host has applied the revision of this host. A saved configuration then
/// counts as recent, and the host becomes ready with it unless a higher revision arrives within
/// [`SETTLING_TIME`].
fn is_revision_in_use(gateway: &Gateway, own_revision: u64) -> bool {
    let snapshot = gateway.snapshot.load();
    let mut others =
        snapshot.view.hosts.values().filter(|host| host.record.host != *gateway.host());
    others.any(|host| host.alive && host.record.revision == own_revision)
}

fn hosts_to_query(gateway: &Gateway) -> Vec<Name> {
    let settings = &gateway.settings;
    let same_data_centre =
        settings.peers.iter().filter(|(_, peer)| peer.data_centre == *gateway.data_centre());
    let same_data_centre = same_data_centre.map(|(name, _)| name);
    let mut hosts: Vec<Name> = same_data_centre.chain(&settings.control.voters).cloned().collect();
    hosts.retain(|host| host != gateway.host());
    hosts.sort();
    hosts.dedup();
    hosts
}
