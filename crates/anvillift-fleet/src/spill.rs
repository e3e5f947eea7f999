//! When a request goes to another region although the own one could take it.
//!
//! Regions have their peaks at different times. While the own workers are busy
//! and those of another region are clearly less so, a part of the requests goes
//! there: the more, the larger the difference. It is a part and not all, since
//! every host of the region sees the same figures at the same time.
//!
//! A call without a prompt is small, and a worker without a batch queues what
//! exceeds its places, so calls go elsewhere sooner than prompts.

use anvillift_schema::name::Name;

/// Largest part of the requests that goes elsewhere.
const MOST: f64 = 0.7;

/// When the way to another region pays.
#[derive(Clone, Copy, Debug)]
pub struct Pays {
    /// Load of the own region below which nothing goes elsewhere, in batches.
    pub busy: f64,
    /// Difference of the loads that pays for the way, in batches.
    pub clearly_less: f64,
}

/// For requests with a prompt.
pub const PROMPTS: Pays = Pays { busy: 0.8, clearly_less: 0.4 };
/// For calls without one.
pub const CALLS: Pays = Pays { busy: 0.6, clearly_less: 0.15 };

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
pub fn elsewhere<'a>(
    pays: &Pays,
    own_load: f64,
    others: &'a [Region],
    draw: f64,
) -> Option<&'a Name> {
    if own_load < pays.busy {
        return None;
    }
    let least = others.iter().min_by(|left, right| left.load.total_cmp(&right.load))?;
    let difference = own_load - least.load;
    let part = (difference / (own_load + least.load)).min(MOST);
    (difference >= pays.clearly_less && draw < part).then_some(&least.name)
}

/// Whether a region is too busy to be sent what only goes there to save work.
pub fn is_too_busy(own_load: f64, other_load: f64) -> bool {
    let Pays { busy, clearly_less } = PROMPTS;
    other_load > busy && other_load > own_load + clearly_less
}
