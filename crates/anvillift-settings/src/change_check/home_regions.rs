//! Homes of teams that lie outside the places of profiles.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_schema::configuration::Configuration;
use anvillift_schema::name::Name;

use crate::known_places::KnownPlaces;

/// Teams and profiles without a common region, by the homes of the teams.
pub(super) struct HomeRegions<'a> {
    /// Teams by home.
    teams: BTreeMap<&'a Name, Vec<&'a Name>>,
    /// Profiles in use whose places are not in a home, by home.
    profiles_outside: BTreeMap<&'a Name, Vec<&'a Name>>,
}

impl<'a> HomeRegions<'a> {
    /// Compares the homes of all teams with the places of all profiles that a service uses.
    pub(super) fn new(configuration: &'a Configuration, known: &'a KnownPlaces) -> Self {
        let mut teams: BTreeMap<&Name, Vec<&Name>> = BTreeMap::new();
        for team in configuration.teams.values() {
            if let Some(home) = &team.home {
                teams.entry(home).or_default().push(&team.name);
            }
        }
        let services = configuration.services.values();
        let used: BTreeSet<&Name> = services.map(|service| &service.profile).collect();
        let mut profiles_outside: BTreeMap<&Name, Vec<&Name>> = BTreeMap::new();
        for (name, profile) in &configuration.profiles {
            if profile.places.is_empty() || !used.contains(name) {
                continue;
            }
            let regions = known.regions_of(&profile.places);
            for home in teams.keys().filter(|home| !regions.contains(*home)) {
                profiles_outside.entry(home).or_default().push(name);
            }
        }
        Self { teams, profiles_outside }
    }

    /// Profiles whose places are not in a home.
    pub(super) fn profiles_outside(&self, home: &Name) -> &[&'a Name] {
        self.profiles_outside.get(home).map(Vec::as_slice).unwrap_or_default()
    }

    /// Teams whose homes are outside the places of a profile.
    pub(super) fn teams_outside(&self, profile: &Name) -> Vec<&'a Name> {
        let homes = self.profiles_outside.iter();
        let homes = homes.filter(|(_, profiles)| profiles.contains(&profile));
        homes.flat_map(|(home, _)| self.teams[home].iter().copied()).collect()
    }
}
