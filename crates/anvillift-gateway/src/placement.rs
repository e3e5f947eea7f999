//! Places in which the data of a profile may be processed and stored.

use anvillift_schema::configuration::Profile;
use anvillift_schema::name::Name;

/// Whether a profile allows its data in a data centre of a region. A profile without places allows
/// all.
pub(crate) fn allows(profile: &Profile, region: &Name, data_centre: &Name) -> bool {
    profile.places.is_empty()
        || profile.places.contains(region)
        || profile.places.contains(data_centre)
}
