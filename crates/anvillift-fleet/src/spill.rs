//! When a request goes to another region although the own one could take it.
//!
//! Regions have their peaks at different times. While the own workers are busy
//! and those of another region are clearly less so, a part of the requests goes
//! there: the more, the larger the difference. It is a part and not all, since
//! every host of the region sees the same figures at the same time.

use anvillift_schema::name::Name;

/// Load of the own region below which nothing goes elsewhere, in batches.
const BUSY: f64 = 0.8;
/// Difference of the loads that pays for the way, in batches.
const CLEARLY_LESS: f64 = 0.4;
/// Largest part of the requests that goes elsewhere.
const MOST: f64 = 0.7;

/// A region that may take a request, with the load of its workers in batches.
#[derive(Clone, Debug)]
pub struct Region {
    /// Name.
    pub name: Name,
    /// Load.
    pub load: f64,
}

/// The region that takes a request instead of the own one, if any; `draw` lies
/// between 0 and 1.
pub fn elsewhere(own_load: f64, others: &[Region], draw: f64) -> Option<&Name> {
    if own_load < BUSY {
        return None;
    }
    let least = others.iter().min_by(|left, right| left.load.total_cmp(&right.load))?;
    let difference = own_load - least.load;
    let part = (difference / (own_load + least.load)).min(MOST);
    (difference >= CLEARLY_LESS && draw < part).then_some(&least.name)
}

/// Whether a region is too busy to be sent what only goes there to save work.
pub fn is_too_busy(own_load: f64, other_load: f64) -> bool {
    other_load > BUSY && other_load > own_load + CLEARLY_LESS
}
