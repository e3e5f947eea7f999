//! When a starting host may take requests.
//!
//! Without control the settings hold. With control a host first asks the
//! control hosts and the hosts of its data centre, and takes the highest
//! revision that it hears of. If nobody answers, as after a power cut in a
//! region that is cut off, it serves by what it has: the saved configuration
//! of a host with a disk, else the one of its settings.

use std::sync::Weak;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvillift_schema::name::Name;
use tokio::time;

use crate::control::distribution;
use crate::gateway::Gateway;
use crate::start;

/// How long a host asks before it goes by what it has.
const ASK_LIMIT: Duration = Duration::from_secs(5);
/// How long it waits for higher revisions after the first answer.
const SETTLE: Duration = Duration::from_millis(500);
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// Whether the host may take requests as soon as it has started.
pub(crate) fn is_immediate(gateway: &Gateway) -> bool {
    gateway.settings.control.voters.is_empty()
}

/// Marks the host ready, once.
pub(super) async fn run(gateway: Weak<Gateway>) {
    let Some(immediate) = gateway.upgrade().map(|gateway| is_immediate(&gateway)) else { return };
    if !immediate {
        ask_around(&gateway).await;
    }
    if let Some(gateway) = gateway.upgrade()
        && !gateway.draining.load(Ordering::Acquire)
    {
        start::set_ready(&gateway);
    }
}

async fn ask_around(gateway: &Weak<Gateway>) {
    let limit = time::Instant::now() + ASK_LIMIT;
    let saved = gateway.upgrade().map_or(0, |gateway| gateway.control.held().revision());
    let mut heard_at = None;
    while time::Instant::now() < limit {
        let Some(gateway) = gateway.upgrade() else { return };
        let hosts = hosts_to_ask(&gateway);
        hosts.iter().for_each(|host| distribution::ask(&gateway, host));
        let held = gateway.control.held().revision();
        let known = held > saved || (saved > 0 && agrees(&gateway, held));
        drop(gateway);
        let now = time::Instant::now();
        if known && now >= *heard_at.get_or_insert(now) + SETTLE {
            return;
        }
        time::sleep(ASK_INTERVAL).await;
    }
}

/// Whether another host is heard at the revision held, so that what was saved
/// is known not to be old by more than the settling time.
fn agrees(gateway: &Gateway, held: u64) -> bool {
    let snapshot = gateway.snapshot.load();
    let mut others =
        snapshot.view.hosts.values().filter(|host| host.record.host != *gateway.host());
    others.any(|host| host.alive && host.record.revision == held)
}

fn hosts_to_ask(gateway: &Gateway) -> Vec<Name> {
    let settings = &gateway.settings;
    let near = settings.peers.iter().filter(|(_, peer)| peer.data_centre == *gateway.data_centre());
    let near = near.map(|(name, _)| name);
    let mut hosts: Vec<Name> = near.chain(&settings.control.voters).cloned().collect();
    hosts.retain(|host| host != gateway.host());
    hosts.sort();
    hosts.dedup();
    hosts
}
