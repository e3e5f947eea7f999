//! Regions and data centres that a configuration may refer to.

use std::collections::{BTreeMap, BTreeSet};

use anvillift_schema::name::Name;
use anvillift_schema::settings::HostSettings;

/// The regions and data centres of all known hosts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KnownPlaces {
    /// Region of each data centre.
    regions_by_data_centre: BTreeMap<Name, Name>,
    regions: BTreeSet<Name>,
}

impl KnownPlaces {
    /// The places of the hosts in a settings file.
    pub fn of_settings(settings: &HostSettings) -> Self {
        let peers = settings.peers.values();
        peers.map(|peer| (peer.region.clone(), peer.data_centre.clone())).collect()
    }

    /// Whether a host is in this region.
    pub(crate) fn is_region(&self, name: &Name) -> bool {
        self.regions.contains(name)
    }

    /// Whether a host is in the region or data centre of this name.
    pub(crate) fn is_place(&self, name: &Name) -> bool {
        self.is_region(name) || self.regions_by_data_centre.contains_key(name)
    }

    /// Regions that places reach into: those named, and those of the named data centres.
    pub(crate) fn regions_of<'a>(&'a self, places: &'a [Name]) -> BTreeSet<&'a Name> {
        places.iter().map(|place| self.regions_by_data_centre.get(place).unwrap_or(place)).collect()
    }

    /// Names of all regions.
    pub(crate) fn region_names(&self) -> Vec<&str> {
        self.regions.iter().map(Name::as_str).collect()
    }

    /// Names of all regions and data centres.
    pub(crate) fn place_names(&self) -> Vec<&str> {
        let data_centres = self.regions_by_data_centre.keys();
        self.regions.iter().chain(data_centres).map(Name::as_str).collect()
    }
}

impl FromIterator<(Name, Name)> for KnownPlaces {
    /// Collects pairs of a region and a data centre in it.
    fn from_iter<I: IntoIterator<Item = (Name, Name)>>(pairs: I) -> Self {
        let mut places = Self::default();
        for (region, data_centre) in pairs {
            places.regions.insert(region.clone());
            places.regions_by_data_centre.insert(data_centre, region);
        }
        places
    }
}
