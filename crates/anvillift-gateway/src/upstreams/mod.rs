//! The endpoint at which upstreams announce themselves.

use std::sync::Arc;

use anvillift_schema::code::Code;
use anvillift_schema::event::Event;
use anvillift_schema::upstream::{Announcement, AnnouncementReply};
use salvo::http::HeaderMap;

use crate::answer::{self, Answer};
use crate::gateway::Gateway;
use crate::keys;
use crate::membership;
use crate::problem::Refusal;

/// Maximum size of an announcement, in bytes.
pub(crate) const MAX_ANNOUNCEMENT_BYTES: u64 = 1024 * 1024;
/// Number of announcements that an upstream sends in the time after which it expires.
const ANNOUNCEMENTS_PER_EXPIRY: u64 = 4;

/// Refuses a request whose key is not one of the upstream keys. Called before the body is read.
pub(crate) fn check_key(gateway: &Gateway, head: &HeaderMap) -> Result<(), Refusal> {
    keys::check(head, &gateway.settings.keys.upstream_key_hashes)
}

/// Records an announcement. A new or leaving upstream changes routing at once.
pub(crate) fn announce(gateway: &Arc<Gateway>, body: &[u8]) -> Result<Answer, Refusal> {
    let malformed = |text: String| Refusal::with_detail(Code::MalformedRequest, text);
    let announcement: Announcement =
        serde_json::from_slice(body).map_err(|error| malformed(error.to_string()))?;
    reqwest::Url::parse(&announcement.url)
        .map_err(|error| malformed(format!("the announced url is invalid: {error}")))?;
    let now_ms = gateway.now_ms();
    let is_known = gateway.snapshot.load().view.upstreams.contains_key(&announcement.upstream);
    let (upstream, leaving) = (announcement.upstream.clone(), announcement.leaving);
    let accepted = gateway.membership.lock().expect("lock").announce(now_ms, announcement);
    if accepted {
        log_change(&upstream, is_known, leaving);
        if leaving || !is_known {
            membership::refresh(gateway);
            membership::tick(gateway);
        }
    }
    Ok(answer::json(&reply(gateway, accepted)))
}

fn log_change(upstream: &str, is_known: bool, leaving: bool) {
    if leaving {
        log::info!(event = Event::UpstreamLeft.number(); "upstream {upstream} is leaving");
    } else if !is_known {
        log::info!(event = Event::UpstreamFound.number(); "upstream {upstream} announced itself");
    }
}

fn reply(gateway: &Gateway, accepted: bool) -> AnnouncementReply {
    let snapshot = gateway.snapshot.load();
    let hosts = snapshot.usable_hosts(None, gateway.region(), gateway.data_centre());
    let same_data_centre =
        hosts.iter().filter(|host| host.record.data_centre == *gateway.data_centre());
    AnnouncementReply {
        accepted,
        hosts: same_data_centre.map(|host| host.record.caller_url.clone()).collect(),
        next_within_ms: gateway.settings.timing.upstream_expiry_ms / ANNOUNCEMENTS_PER_EXPIRY,
    }
}
