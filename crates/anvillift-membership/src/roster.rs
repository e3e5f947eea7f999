//! Encodes and decodes rosters and digests of data centres.
//!
//! A roster lists the live hosts and the services of a data centre and is sent
//! when it changes. A digest refers to a roster by checksum and carries the values
//! that change often: the applied configuration revisions, and the load and
//! capacity of each service as coarse numbers.

use std::collections::BTreeMap;

use anvillift_schema::membership::{HostRecord, Roster, ServiceSummary};
use anvillift_schema::name::Name;
use anvillift_schema::payload::Payload;
use anvillift_schema::upstream::Announcement;

use crate::coarse;

/// Bytes that a digest holds for each service: each coarse number takes one byte.
pub(crate) const ENCODED_SERVICE_BYTES: usize = 6;

/// Checksum of a roster without heartbeats, loads and revisions, which change often.
pub(crate) fn checksum(roster: &Roster) -> u32 {
    let mut hasher = blake3::Hasher::new();
    let mut hash_field = |bytes: &[u8]| {
        hasher.update(&(bytes.len() as u64).to_be_bytes()).update(bytes);
    };
    hash_field(roster.data_centre.as_bytes());
    for host in &roster.hosts {
        hash_field(host.host.as_bytes());
        hash_field(host.region.as_bytes());
        hash_field(&host.incarnation.to_be_bytes());
        hash_field(&[host.state as u8]);
        hash_field(host.caller_url.as_bytes());
        hash_field(host.storage_id.as_deref().unwrap_or_default().as_bytes());
    }
    for service in &roster.services {
        hash_field(service.as_bytes());
    }
    let mut prefix = [0; 4];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
    u32::from_be_bytes(prefix)
}

/// Encodes the highest revision of the hosts, followed by the lag of each host if any lags.
pub(crate) fn encode_revisions(hosts: &[HostRecord]) -> Vec<u64> {
    let highest = hosts.iter().map(|host| host.revision).max().unwrap_or(0);
    let mut revisions = vec![highest];
    if hosts.iter().any(|host| host.revision < highest) {
        revisions.extend(hosts.iter().map(|host| highest - host.revision));
    }
    revisions
}

/// Returns the hosts of a roster with the revisions decoded from a digest.
pub(crate) fn with_revisions(roster: &Roster, revisions: &[u64]) -> Vec<HostRecord> {
    let highest = revisions.first().copied().unwrap_or(0);
    let lag = |position: usize| revisions.get(position + 1).copied().unwrap_or(0);
    let with_revision = |(position, host): (usize, &HostRecord)| HostRecord {
        revision: highest.saturating_sub(lag(position)),
        ..host.clone()
    };
    roster.hosts.iter().enumerate().map(with_revision).collect()
}

/// Sums up load and capacity of the upstreams of each service, sorted by name.
pub(crate) fn summarize_services<'a>(
    announcements: impl Iterator<Item = &'a Announcement>,
) -> Vec<ServiceSummary> {
    let mut services = BTreeMap::<Name, ServiceSummary>::new();
    for announcement in announcements {
        let load = &announcement.load;
        let summary = services.entry(announcement.service.clone()).or_default();
        summary.service = announcement.service.clone();
        summary.upstreams += 1;
        summary.running_requests = summary.running_requests.saturating_add(load.running_requests);
        summary.queued_tokens = summary.queued_tokens.saturating_add(load.queued_tokens);
        let free_slots = load.max_running_requests.saturating_sub(load.running_requests);
        summary.free_slots = summary.free_slots.saturating_add(free_slots);
        summary.token_rate_milli = summary.token_rate_milli.saturating_add(load.token_rate_milli);
        let prefill_rate = load.prefill_rate_tokens_per_s;
        summary.prefill_rate_tokens_per_s =
            summary.prefill_rate_tokens_per_s.saturating_add(prefill_rate);
    }
    services.into_values().collect()
}

/// Encodes all services as coarse numbers.
pub(crate) fn encode_services(services: &[ServiceSummary]) -> Payload {
    let coarse_numbers = services.iter().flat_map(|summary| {
        [
            u64::from(summary.upstreams),
            u64::from(summary.running_requests),
            summary.queued_tokens,
            u64::from(summary.free_slots),
            summary.token_rate_milli,
            summary.prefill_rate_tokens_per_s,
        ]
    });
    Payload::from(coarse_numbers.map(coarse::encode).collect::<Vec<u8>>())
}

/// Decodes a service from its coarse numbers; missing ones count as 0.
pub(crate) fn decode_service(service: &Name, coarse_numbers: &[u8]) -> ServiceSummary {
    let number =
        |position: usize| coarse_numbers.get(position).map_or(0, |code| coarse::decode(*code));
    let number_u32 = |position: usize| u32::try_from(number(position)).unwrap_or(u32::MAX);
    ServiceSummary {
        service: service.clone(),
        upstreams: number_u32(0),
        running_requests: number_u32(1),
        queued_tokens: number(2),
        free_slots: number_u32(3),
        token_rate_milli: number(4),
        prefill_rate_tokens_per_s: number(5),
    }
}
