//! Checks the references between the sections of a settings file.
//!
//! A section may be valid by itself and still refer to a host, region or profile
//! that does not exist. Start at [`check_references`].

use std::collections::{BTreeMap, BTreeSet};

use anvillift_schema::name::Name;
use anvillift_schema::settings::{HostSettings, PeerSettings};

use crate::document::{Document, Section};
use crate::fault::Fault;
use crate::hint;
use crate::reader::Reader;

/// Adds this host to the peers if the file has no `[peer]` section for it.
pub(crate) fn add_own_peer(settings: &mut HostSettings) {
    let own = PeerSettings {
        region: settings.host.region.clone(),
        data_centre: settings.host.data_centre.clone(),
        link: settings.listen.links.clone(),
    };
    settings.peers.entry(settings.host.name.clone()).or_insert(own);
}

/// Checks all references and limits that involve several keys, and adds faults to `faults`.
pub(crate) fn check_references(
    document: &Document,
    settings: &HostSettings,
    faults: &mut Vec<Fault>,
) {
    let places = Places::of(settings);
    for section in &document.sections {
        let mut key_faults = Vec::new();
        match section.kind.as_str() {
            "host" => key_faults.extend(check_own_peer(settings)),
            "peer" => key_faults.extend(check_peer(settings, section)),
            "control" => key_faults.extend(check_control(settings)),
            "ledger" => key_faults.extend(check_ledger(settings, section, &places)),
            "timing" => key_faults.extend(check_timing(settings)),
            "profile" => key_faults.extend(check_profile(settings, section, &places)),
            "service" => key_faults.extend(check_service(settings, section)),
            "team" => key_faults.extend(check_team(settings, section, &places)),
            _ => {}
        }
        let mut reader = Reader::new(document, section);
        for (key, message) in key_faults {
            reader.fault(key, message);
        }
        reader.finish_references(faults);
    }
}

/// Messages of faults, each with its key; the key is empty for the whole section.
type KeyFaults = Vec<(&'static str, String)>;

/// Regions and data centres of the peers, to which profiles, ledgers and teams may refer.
struct Places<'a> {
    regions: BTreeSet<&'a str>,
    data_centres: BTreeMap<&'a str, &'a str>,
}

impl<'a> Places<'a> {
    fn of(settings: &'a HostSettings) -> Self {
        let peers = || settings.peers.values();
        Self {
            regions: peers().map(|peer| peer.region.as_str()).collect(),
            data_centres: peers()
                .map(|peer| (peer.data_centre.as_str(), peer.region.as_str()))
                .collect(),
        }
    }

    fn all_names(&self) -> Vec<&'a str> {
        self.regions.iter().chain(self.data_centres.keys()).copied().collect()
    }
}

fn check_own_peer(settings: &HostSettings) -> KeyFaults {
    let host = &settings.host;
    let Some(peer) = settings.peers.get(&host.name) else { return Vec::new() };
    let mut key_faults = Vec::new();
    if peer.region != host.region {
        key_faults
            .push(("region", format!("differs from `{}` in [peer {}]", peer.region, host.name)));
    }
    if peer.data_centre != host.data_centre {
        let message = format!("differs from `{}` in [peer {}]", peer.data_centre, host.name);
        key_faults.push(("data_centre", message));
    }
    key_faults
}

fn check_peer(settings: &HostSettings, section: &Section) -> KeyFaults {
    let mut key_faults = Vec::new();
    let Some((label, peer)) =
        section.label.as_ref().and_then(|label| settings.peers.get_key_value(label))
    else {
        return key_faults;
    };
    for (other_name, other) in settings.peers.range::<Name, _>(..label) {
        if other.data_centre == peer.data_centre && other.region != peer.region {
            let message = format!(
                "`{}` is in region `{}` in [peer {other_name}]; one data centre has one region",
                peer.data_centre, other.region
            );
            key_faults.push(("data_centre", message));
        }
        if other.link == peer.link && !peer.link.ends_with(":0") && !peer.link.is_empty() {
            key_faults.push(("link", format!("is also the address of [peer {other_name}]")));
        }
    }
    key_faults
}

fn check_control(settings: &HostSettings) -> KeyFaults {
    let voters = &settings.control.voters;
    let mut key_faults = unknown_hosts(settings, voters);
    if !matches!(voters.len(), 1 | 3 | 5) {
        key_faults.push(("voters", format!("lists {} hosts; allowed: 1, 3 or 5", voters.len())));
    }
    if voters.contains(&settings.host.name) && settings.storage.is_none() {
        let message = "lists this host, which therefore needs a data folder in [storage]";
        key_faults.push(("voters", message.to_owned()));
    }
    key_faults
}

fn check_ledger(settings: &HostSettings, section: &Section, places: &Places<'_>) -> KeyFaults {
    let Some(label) = &section.label else { return Vec::new() };
    let Some(group) = settings.ledgers.get(label) else { return Vec::new() };
    let mut key_faults = unknown_hosts(settings, &group.voters);
    if !places.regions.contains(label.as_str()) {
        let regions: Vec<&str> = places.regions.iter().copied().collect();
        key_faults
            .push(("", format!("no host is in this region; {}", hint::hint(label, &regions))));
    }
    if group.voters.is_empty() || group.voters.len().is_multiple_of(2) {
        let message = format!("lists {} hosts; allowed: an odd number", group.voters.len());
        key_faults.push(("voters", message));
    }
    key_faults
}

fn unknown_hosts(settings: &HostSettings, voters: &[Name]) -> KeyFaults {
    let hosts: Vec<&str> = settings.peers.keys().map(Name::as_str).collect();
    let unknown = voters.iter().filter(|voter| !settings.peers.contains_key(*voter));
    unknown
        .map(|voter| ("voters", format!("`{voter}` is not a host; {}", hint::hint(voter, &hosts))))
        .collect()
}

fn check_timing(settings: &HostSettings) -> KeyFaults {
    let timing = &settings.timing;
    let mut key_faults = Vec::new();
    if timing.silent_after_ms < 2 * timing.heartbeat_ms {
        let message =
            "must be at least twice heartbeat_ms, otherwise one late heartbeat makes a host silent";
        key_faults.push(("silent_after_ms", message.to_owned()));
    }
    if timing.election_timeout_ms < 2 * timing.heartbeat_ms {
        let message = "must be at least twice heartbeat_ms, otherwise no leader stays elected";
        key_faults.push(("election_timeout_ms", message.to_owned()));
    }
    key_faults
}

fn check_profile(settings: &HostSettings, section: &Section, places: &Places<'_>) -> KeyFaults {
    let profile = section.label.as_ref().and_then(|name| settings.configuration.profiles.get(name));
    let Some(profile) = profile else { return Vec::new() };
    let all_names = places.all_names();
    let unknown_places = profile.places.iter().filter(|place| !all_names.contains(&place.as_str()));
    unknown_places
        .map(|place| {
            let hint = hint::hint(place, &all_names);
            ("places", format!("`{place}` is not a region or data centre; {hint}"))
        })
        .collect()
}

fn check_service(settings: &HostSettings, section: &Section) -> KeyFaults {
    let profiles = &settings.configuration.profiles;
    let service = section.label.as_ref().and_then(|name| settings.configuration.services.get(name));
    match service {
        Some(service)
            if !service.profile.is_empty() && !profiles.contains_key(&service.profile) =>
        {
            let names: Vec<&str> = profiles.keys().map(Name::as_str).collect();
            let hint = hint::hint(&service.profile, &names);
            vec![("profile", format!("`{}` is not a profile; {hint}", service.profile))]
        }
        _ => Vec::new(),
    }
}

fn check_team(settings: &HostSettings, section: &Section, places: &Places<'_>) -> KeyFaults {
    let team = section.label.as_ref().and_then(|name| settings.configuration.teams.get(name));
    let home = team.and_then(|team| team.home.as_ref());
    match home {
        Some(home) if !places.regions.contains(home.as_str()) => {
            let regions: Vec<&str> = places.regions.iter().copied().collect();
            vec![("home", format!("`{home}` is not a region; {}", hint::hint(home, &regions)))]
        }
        _ => Vec::new(),
    }
}
