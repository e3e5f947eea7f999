//! Rosters and digests of data centres.
//!
//! A roster lists the hosts alive and the services of a data centre; it is sent
//! when it changes. A digest refers to it by checksum and carries what changes
//! all the time: revisions applied and room of each service, in coarse numbers.

use std::collections::BTreeMap;

use anvillift_schema::membership::{HostRecord, Roster, ServiceSummary};
use anvillift_schema::name::Name;
use anvillift_schema::payload::Payload;
use anvillift_schema::upstream::Announcement;

use crate::coarse;

/// Bytes of each service in a digest.
pub(crate) const NUMBERS_PER_SERVICE: usize = 6;

/// Checksum of what a roster says, apart from heartbeats, loads and revisions.
pub(crate) fn checksum(roster: &Roster) -> u32 {
    let mut hasher = blake3::Hasher::new();
    let mut field = |bytes: &[u8]| {
        hasher.update(&(bytes.len() as u64).to_be_bytes()).update(bytes);
    };
    field(roster.data_centre.as_bytes());
    for host in &roster.hosts {
        field(host.host.as_bytes());
        field(host.region.as_bytes());
        field(&host.incarnation.to_be_bytes());
        field(&[host.state as u8]);
        field(host.caller_url.as_bytes());
        field(host.storage_id.as_deref().unwrap_or_default().as_bytes());
    }
    for service in &roster.services {
        field(service.as_bytes());
    }
    let mut first = [0; 4];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
    u32::from_be_bytes(first)
}

/// The highest revision of the hosts, then by how much each lags if one does.
pub(crate) fn write_revisions(hosts: &[HostRecord]) -> Vec<u64> {
    let highest = hosts.iter().map(|host| host.revision).max().unwrap_or(0);
    let mut revisions = vec![highest];
    if hosts.iter().any(|host| host.revision < highest) {
        revisions.extend(hosts.iter().map(|host| highest - host.revision));
    }
    revisions
}

/// The hosts of a roster with the revisions of a digest.
pub(crate) fn with_revisions(roster: &Roster, revisions: &[u64]) -> Vec<HostRecord> {
    let highest = revisions.first().copied().unwrap_or(0);
    let lag = |position: usize| revisions.get(position + 1).copied().unwrap_or(0);
    let with_revision = |(position, host): (usize, &HostRecord)| HostRecord {
        revision: highest.saturating_sub(lag(position)),
        ..host.clone()
    };
    roster.hosts.iter().enumerate().map(with_revision).collect()
}

/// Room of each service, by name.
pub(crate) fn services<'a>(
    announcements: impl Iterator<Item = &'a Announcement>,
) -> Vec<ServiceSummary> {
    let mut services = BTreeMap::<Name, ServiceSummary>::new();
    for announcement in announcements {
        let load = &announcement.load;
        let room = services.entry(announcement.service.clone()).or_default();
        room.service = announcement.service.clone();
        room.upstreams += 1;
        room.running_requests = room.running_requests.saturating_add(load.running_requests);
        room.queued_tokens = room.queued_tokens.saturating_add(load.queued_tokens);
        let free = load.max_running_requests.saturating_sub(load.running_requests);
        room.free_slots = room.free_slots.saturating_add(free);
        room.token_rate_milli = room.token_rate_milli.saturating_add(load.token_rate_milli);
        let prefill = load.prefill_rate_tokens_per_s;
        room.prefill_rate_tokens_per_s = room.prefill_rate_tokens_per_s.saturating_add(prefill);
    }
    services.into_values().collect()
}

/// The coarse numbers of all services.
pub(crate) fn write_services(services: &[ServiceSummary]) -> Payload {
    let numbers = services.iter().flat_map(|room| {
        [
            u64::from(room.upstreams),
            u64::from(room.running_requests),
            room.queued_tokens,
            u64::from(room.free_slots),
            room.token_rate_milli,
            room.prefill_rate_tokens_per_s,
        ]
    });
    Payload::from(numbers.map(coarse::encode).collect::<Vec<u8>>())
}

/// A service from its coarse numbers.
pub(crate) fn read_service(service: &Name, numbers: &[u8]) -> ServiceSummary {
    let number = |position: usize| numbers.get(position).map_or(0, |code| coarse::decode(*code));
    let small = |position: usize| u32::try_from(number(position)).unwrap_or(u32::MAX);
    ServiceSummary {
        service: service.clone(),
        upstreams: small(0),
        running_requests: small(1),
        queued_tokens: number(2),
        free_slots: small(3),
        token_rate_milli: number(4),
        prefill_rate_tokens_per_s: number(5),
    }
}
