//! References between the sections of a settings file.
//!
//! A section may be right by itself and still name a host, region or profile
//! that does not exist. Start at [`references`].

use std::collections::{BTreeMap, BTreeSet};

use anvillift_schema::name::Name;
use anvillift_schema::settings::{HostSettings, PeerSettings};

use crate::document::{Document, Section};
use crate::fault::Fault;
use crate::hint;
use crate::reader::Reader;

/// Adds the own host to the peers if the file does not list it.
pub(crate) fn add_own_peer(settings: &mut HostSettings) {
    let own = PeerSettings {
        region: settings.host.region.clone(),
        data_centre: settings.host.data_centre.clone(),
        link: settings.listen.links.clone(),
    };
    settings.peers.entry(settings.host.name.clone()).or_insert(own);
}

/// Checks each reference; faults are added to `faults`.
pub(crate) fn references(document: &Document, settings: &HostSettings, faults: &mut Vec<Fault>) {
    let places = Places::of(settings);
    for section in &document.sections {
        let mut found = Vec::new();
        match section.kind.as_str() {
            "host" => found.extend(own_peer(settings)),
            "peer" => found.extend(peer(settings, section)),
            "control" => found.extend(control(settings)),
            "ledger" => found.extend(ledger(settings, section, &places)),
            "timing" => found.extend(timing(settings)),
            "profile" => found.extend(profile(settings, section, &places)),
            "service" => found.extend(service(settings, section)),
            "team" => found.extend(team(settings, section, &places)),
            _ => {}
        }
        let mut reader = Reader::new(document, section);
        for (key, message) in found {
            reader.fault(key, message);
        }
        reader.finish_references(faults);
    }
}

type Found = Vec<(&'static str, String)>;

/// Names that places may refer to.
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

    fn all(&self) -> Vec<&'a str> {
        self.regions.iter().chain(self.data_centres.keys()).copied().collect()
    }
}

fn own_peer(settings: &HostSettings) -> Found {
    let host = &settings.host;
    let Some(peer) = settings.peers.get(&host.name) else { return Vec::new() };
    let mut found = Vec::new();
    if peer.region != host.region {
        found.push(("region", format!("differs from `{}` in [peer {}]", peer.region, host.name)));
    }
    if peer.data_centre != host.data_centre {
        let message = format!("differs from `{}` in [peer {}]", peer.data_centre, host.name);
        found.push(("data_centre", message));
    }
    found
}

fn peer(settings: &HostSettings, section: &Section) -> Found {
    let mut found = Vec::new();
    let Some((label, peer)) =
        section.label.as_ref().and_then(|label| settings.peers.get_key_value(label))
    else {
        return found;
    };
    for (other_name, other) in settings.peers.range::<Name, _>(..label) {
        if other.data_centre == peer.data_centre && other.region != peer.region {
            let message = format!(
                "`{}` lies in region `{}` by [peer {other_name}]; one data centre has one region",
                peer.data_centre, other.region
            );
            found.push(("data_centre", message));
        }
        if other.link == peer.link && !peer.link.ends_with(":0") && !peer.link.is_empty() {
            found.push(("link", format!("is also the address of [peer {other_name}]")));
        }
    }
    found
}

fn control(settings: &HostSettings) -> Found {
    let voters = &settings.control.voters;
    let mut found = unknown_hosts(settings, voters);
    if !matches!(voters.len(), 1 | 3 | 5) {
        found.push(("voters", format!("lists {} hosts; allowed: 1, 3 or 5", voters.len())));
    }
    if voters.contains(&settings.host.name) && settings.storage.is_none() {
        let message = "lists this host, which then needs a data folder in [storage]";
        found.push(("voters", message.to_owned()));
    }
    found
}

fn ledger(settings: &HostSettings, section: &Section, places: &Places<'_>) -> Found {
    let Some(label) = &section.label else { return Vec::new() };
    let Some(group) = settings.ledgers.get(label) else { return Vec::new() };
    let mut found = unknown_hosts(settings, &group.voters);
    if !places.regions.contains(label.as_str()) {
        let regions: Vec<&str> = places.regions.iter().copied().collect();
        found.push(("", format!("no host lies in this region; {}", hint::hint(label, &regions))));
    }
    if group.voters.is_empty() || group.voters.len().is_multiple_of(2) {
        let message = format!("lists {} hosts; allowed: an odd number", group.voters.len());
        found.push(("voters", message));
    }
    found
}

fn unknown_hosts(settings: &HostSettings, voters: &[Name]) -> Found {
    let hosts: Vec<&str> = settings.peers.keys().map(Name::as_str).collect();
    let unknown = voters.iter().filter(|voter| !settings.peers.contains_key(*voter));
    unknown
        .map(|voter| ("voters", format!("`{voter}` is no host; {}", hint::hint(voter, &hosts))))
        .collect()
}

fn timing(settings: &HostSettings) -> Found {
    let timing = &settings.timing;
    let mut found = Vec::new();
    if timing.silent_after_ms < 2 * timing.heartbeat_ms {
        let message = "must be at least twice heartbeat_ms, else each late heartbeat is a silence";
        found.push(("silent_after_ms", message.to_owned()));
    }
    if timing.election_timeout_ms < 2 * timing.heartbeat_ms {
        let message = "must be at least twice heartbeat_ms, else leaders never settle";
        found.push(("election_timeout_ms", message.to_owned()));
    }
    found
}

fn profile(settings: &HostSettings, section: &Section, places: &Places<'_>) -> Found {
    let profile = section.label.as_ref().and_then(|name| settings.configuration.profiles.get(name));
    let Some(profile) = profile else { return Vec::new() };
    let all = places.all();
    let unknown = profile.places.iter().filter(|place| !all.contains(&place.as_str()));
    unknown
        .map(|place| {
            let hint = hint::hint(place, &all);
            ("places", format!("`{place}` is no region or data centre; {hint}"))
        })
        .collect()
}

fn service(settings: &HostSettings, section: &Section) -> Found {
    let profiles = &settings.configuration.profiles;
    let service = section.label.as_ref().and_then(|name| settings.configuration.services.get(name));
    match service {
        Some(service)
            if !service.profile.is_empty() && !profiles.contains_key(&service.profile) =>
        {
            let names: Vec<&str> = profiles.keys().map(Name::as_str).collect();
            let hint = hint::hint(&service.profile, &names);
            vec![("profile", format!("`{}` is no profile; {hint}", service.profile))]
        }
        _ => Vec::new(),
    }
}

fn team(settings: &HostSettings, section: &Section, places: &Places<'_>) -> Found {
    let team = section.label.as_ref().and_then(|name| settings.configuration.teams.get(name));
    let home = team.and_then(|team| team.home.as_ref());
    match home {
        Some(home) if !places.regions.contains(home.as_str()) => {
            let regions: Vec<&str> = places.regions.iter().copied().collect();
            vec![("home", format!("`{home}` is no region; {}", hint::hint(home, &regions)))]
        }
        _ => Vec::new(),
    }
}
