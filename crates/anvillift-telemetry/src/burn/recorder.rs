//! Request counts of one daemon, from which its burn rates are computed.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use anvillift_schema::burn::{BurnCounters, ProfileCounters, WindowCounters};
use anvillift_schema::configuration::{Configuration, Profile};
use anvillift_schema::name::Name;

use super::alert::{self, BUDGET_PERIOD_MS, COARSE_BUCKET_MS, FINE_BUCKET_MS, FINE_PERIOD_MS};
use super::ring::CountRing;

/// Counts the good and bad requests of each profile in rings of time buckets, which bound its
/// memory.
#[derive(Debug, Default)]
pub struct BurnRecorder {
    profiles: Mutex<BTreeMap<Name, ProfileRings>>,
}

/// Counts of one profile: fine buckets for short windows, coarse ones for the whole period.
#[derive(Debug)]
struct ProfileRings {
    fine: CountRing,
    coarse: CountRing,
}

impl ProfileRings {
    fn new() -> Self {
        Self {
            fine: CountRing::new(FINE_BUCKET_MS, FINE_PERIOD_MS),
            coarse: CountRing::new(COARSE_BUCKET_MS, BUDGET_PERIOD_MS),
        }
    }

    fn counters(&self, now_ms: u64, profile: &Profile) -> ProfileCounters {
        let window = |window_ms| {
            let ring = if window_ms <= FINE_PERIOD_MS { &self.fine } else { &self.coarse };
            WindowCounters { window_ms, count: ring.window(now_ms, window_ms) }
        };
        ProfileCounters {
            objective_milli: profile.objective_milli,
            windows: alert::windows_ms().into_iter().map(window).collect(),
            series_bucket_ms: COARSE_BUCKET_MS,
            series: self.coarse.series(now_ms),
        }
    }
}

impl BurnRecorder {
    /// Counts one request of a profile at `now_ms`. `is_good` states whether the request met the
    /// objectives of the profile.
    pub fn record(&self, profile: &Name, now_ms: u64, is_good: bool) {
        let mut profiles = self.profiles.lock().unwrap_or_else(PoisonError::into_inner);
        if !profiles.contains_key(profile) {
            profiles.insert(profile.clone(), ProfileRings::new());
        }
        if let Some(rings) = profiles.get_mut(profile) {
            rings.fine.add(now_ms, is_good);
            rings.coarse.add(now_ms, is_good);
        }
    }

    /// Returns the counts of each profile in the configuration, and drops those of all other
    /// profiles.
    pub fn counters(
        &self,
        host: &Name,
        now_ms: u64,
        configuration: &Configuration,
    ) -> BurnCounters {
        let mut recorded = self.profiles.lock().unwrap_or_else(PoisonError::into_inner);
        recorded.retain(|name, _| configuration.profiles.contains_key(name));
        let counters = |(name, profile): (&Name, &Profile)| {
            let empty = ProfileRings::new();
            let rings = recorded.get(name).unwrap_or(&empty);
            (name.clone(), rings.counters(now_ms, profile))
        };
        let profiles = configuration.profiles.iter().map(counters).collect();
        BurnCounters { host: host.clone(), profiles }
    }
}
