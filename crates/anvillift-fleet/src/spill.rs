//! Sends requests to another region while the local one could still take them.
//!
//! Regions have their peaks at different times. While the local workers are busy
//! and those of another region are clearly less so, a share of the requests is sent
//! there; it grows with the difference in load. It is a share and not all requests,
//! since every host of the region sees the same figures at the same time.
//!
//! Requests without a prompt are small, and a worker without a batch queues the
//! requests that exceed its slots, so they are sent to another region at a lower
//! load than prompts.
//!
//! A prompt whose prefix is cached in another region is sent there, unless that
//! region is too busy. It is then, like one whose prefix is cached in the local
//! region, sent to a third region on the terms of other prompts, but only at a larger
//! difference in load, since the prefix has to be computed again there.

use anvillift_schema::name::Name;

/// Largest share of the requests that is sent to another region.
const MAX_SHARE: f64 = 0.7;

/// Load thresholds from which requests are sent to another region.
#[derive(Clone, Copy, Debug)]
pub struct Thresholds {
    /// Load from which a region counts as busy, in batches. Below it no request is
    /// sent to another region.
    pub busy_load: f64,
    /// Difference in load that outweighs the longer round trip, in batches.
    pub min_difference: f64,
}

/// Thresholds for requests with a prompt.
pub const PROMPT_THRESHOLDS: Thresholds = Thresholds { busy_load: 0.8, min_difference: 0.4 };
/// Thresholds for requests without a prompt.
pub const CALL_THRESHOLDS: Thresholds = Thresholds { busy_load: 0.6, min_difference: 0.15 };

/// Load from which a region takes no calls that another one can't answer in time, in batches. The
/// rest is kept for its own calls, as reports are up to half a second old.
const MAX_ROOM_LOAD: f64 = 0.8;
/// Network round trip between two regions, in milliseconds.
pub const ROUND_TRIP_MS: u64 = 110;

/// Load of a region that may take a request.
#[derive(Clone, Debug)]
pub struct RegionLoad {
    /// Name of the region.
    pub name: Name,
    /// Load of its workers, in batches.
    pub load: f64,
}

/// Load of computing a prefix again, as a multiple of its length: it also displaces
/// what the other worker has cached.
const PREFIX_LOAD_FACTOR: f64 = 2.0;

/// The region whose worker probably has the prefix of a prompt cached.
#[derive(Clone, Debug)]
pub struct CachingRegion {
    /// Name of the region.
    pub name: Name,
    /// Load of its workers, in batches; `None` if it is not known.
    pub load: Option<f64>,
}

/// Why a request is sent to another region.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SpillReason {
    /// The other region has the prefix of the prompt cached.
    CachedPrefix,
    /// The local region is busy, and the other is less so.
    Load,
}

/// The region that takes a prompt with a long shared prefix instead of the local
/// one, if any. `prefix_load` is the load of the prefix, in batches; `caching_region`
/// is `None` if the local region has the prefix cached.
pub fn region_for_prefix<'a>(
    prefix_load: f64,
    caching_region: Option<&'a CachingRegion>,
    own_load: Option<f64>,
    others: &'a [RegionLoad],
    draw: f64,
) -> Option<(&'a Name, SpillReason)> {
    if let Some(region) = caching_region
        && !own_load.zip(region.load).is_some_and(|(own, other)| is_too_busy(own, other))
    {
        return Some((&region.name, SpillReason::CachedPrefix));
    }
    let min_difference = PROMPT_THRESHOLDS.min_difference + PREFIX_LOAD_FACTOR * prefix_load;
    let thresholds = Thresholds { min_difference, ..PROMPT_THRESHOLDS };
    let region = region_to_spill_to(&thresholds, own_load?, others, draw)?;
    Some((region, SpillReason::Load))
}

/// The region that takes a request instead of the local one, if any. `draw` lies between 0 and 1.
pub fn region_to_spill_to<'a>(
    thresholds: &Thresholds,
    own_load: f64,
    others: &'a [RegionLoad],
    draw: f64,
) -> Option<&'a Name> {
    if own_load < thresholds.busy_load {
        return None;
    }
    let least_loaded = others.iter().min_by(|left, right| left.load.total_cmp(&right.load))?;
    let difference = own_load - least_loaded.load;
    let share = (difference / (own_load + least_loaded.load)).min(MAX_SHARE);
    (difference >= thresholds.min_difference && draw < share).then_some(&least_loaded.name)
}

/// The region that takes a call which the local one can't answer in time, if any has room. The
/// share that is sent there grows with the room, since every host sees the same figures. `draw`
/// lies between 0 and 1.
pub fn region_with_room(others: &[RegionLoad], draw: f64) -> Option<&Name> {
    let least_loaded = others.iter().min_by(|left, right| left.load.total_cmp(&right.load))?;
    let share = (1.0 - least_loaded.load / MAX_ROOM_LOAD).min(MAX_SHARE);
    (draw < share).then_some(&least_loaded.name)
}

/// Whether another region is too busy to take requests that are sent there only to
/// save a prefill.
pub fn is_too_busy(own_load: f64, other_load: f64) -> bool {
    let Thresholds { busy_load, min_difference } = PROMPT_THRESHOLDS;
    other_load > busy_load && other_load > own_load + min_difference
}
