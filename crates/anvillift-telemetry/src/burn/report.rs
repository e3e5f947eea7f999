//! Burn rates and alerts over the merged counts of all daemons.

use std::collections::BTreeMap;

use anvillift_schema::burn::{BurnCounters, ProfileCounters, RequestCount};
use anvillift_schema::name::Name;

use super::alert::{ALERT_PAIRS, AlertPair, BUDGET_PERIOD_MS};

/// The value 1 in thousandths.
const ONE_MILLI: u64 = 1000;

/// Burn rates of each profile, computed from the daemons that answered.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Serialize)]
pub struct BurnReport {
    /// Hosts whose counts are included.
    pub answered_hosts: Vec<Name>,
    /// Hosts that returned no counts, with the reason.
    pub missing_hosts: BTreeMap<Name, String>,
    /// Burn rates, alerts and remaining budget by profile name.
    pub profiles: BTreeMap<Name, ProfileReport>,
}

/// Error budget, alerts and burn rates of one profile.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct ProfileReport {
    /// Share of requests that must be good, in thousandths.
    pub objective_milli: u32,
    /// Good and bad requests of the budget period.
    pub count: RequestCount,
    /// Error budget left, in thousandths; negative when overspent.
    pub budget_left_milli: i64,
    /// State of each alert rule, in the order of [`ALERT_PAIRS`].
    pub alerts: Vec<AlertState>,
    /// Bucket length of the series, in milliseconds.
    pub series_bucket_ms: u64,
    /// Burn rate of each bucket in thousandths, the newest first.
    pub series_burn_milli: Vec<u64>,
}

/// Burn rates of the two windows of one alert rule.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct AlertState {
    /// Length of the long window, in milliseconds.
    pub long_ms: u64,
    /// Length of the short window, in milliseconds.
    pub short_ms: u64,
    /// Burn rate of the long window, in thousandths.
    pub long_burn_milli: u64,
    /// Burn rate of the short window, in thousandths.
    pub short_burn_milli: u64,
    /// Burn rate that both windows must exceed for the alert to fire, in thousandths.
    pub threshold_milli: u64,
    /// Whether both windows exceed the threshold.
    pub firing: bool,
}

impl BurnReport {
    /// Merges the counts of several daemons; `missing` maps the hosts that returned none to the
    /// reason.
    pub fn merge(counters: &[BurnCounters], missing: BTreeMap<Name, String>) -> Self {
        let mut merged: BTreeMap<Name, ProfileCounters> = BTreeMap::new();
        for host in counters {
            for (profile, counts) in &host.profiles {
                match merged.get_mut(profile) {
                    Some(sum) => add_counters(sum, counts),
                    None => {
                        merged.insert(profile.clone(), counts.clone());
                    }
                }
            }
        }
        Self {
            answered_hosts: counters.iter().map(|host| host.host.clone()).collect(),
            missing_hosts: missing,
            profiles: merged
                .iter()
                .map(|(name, sum)| (name.clone(), profile_report(sum)))
                .collect(),
        }
    }

    /// Returns whether at least one alert of any profile is firing.
    pub fn is_firing(&self) -> bool {
        let mut alerts = self.profiles.values().flat_map(|profile| &profile.alerts);
        alerts.any(|alert| alert.firing)
    }
}

/// Adds the counts of another daemon. Where objectives differ, as during a configuration change,
/// the stricter one applies.
fn add_counters(sum: &mut ProfileCounters, counts: &ProfileCounters) {
    sum.objective_milli = sum.objective_milli.max(counts.objective_milli);
    for window in &counts.windows {
        match sum.windows.iter_mut().find(|merged| merged.window_ms == window.window_ms) {
            Some(merged) => add_count(&mut merged.count, &window.count),
            None => sum.windows.push(window.clone()),
        }
    }
    if sum.series.len() < counts.series.len() {
        sum.series.resize(counts.series.len(), RequestCount::default());
    }
    for (merged, count) in sum.series.iter_mut().zip(&counts.series) {
        add_count(merged, count);
    }
}

fn add_count(sum: &mut RequestCount, count: &RequestCount) {
    sum.good = sum.good.saturating_add(count.good);
    sum.bad = sum.bad.saturating_add(count.bad);
}

fn profile_report(counters: &ProfileCounters) -> ProfileReport {
    let window = |window_ms| {
        let found = counters.windows.iter().find(|window| window.window_ms == window_ms);
        found.map(|window| window.count.clone()).unwrap_or_default()
    };
    let burn = |count: &RequestCount| burn_milli(count, counters.objective_milli);
    let alert = |pair: &AlertPair| {
        let long_burn_milli = burn(&window(pair.long_ms));
        let short_burn_milli = burn(&window(pair.short_ms));
        let firing = long_burn_milli.min(short_burn_milli) > pair.threshold_milli;
        AlertState {
            long_ms: pair.long_ms,
            short_ms: pair.short_ms,
            long_burn_milli,
            short_burn_milli,
            threshold_milli: pair.threshold_milli,
            firing,
        }
    };
    let count = window(BUDGET_PERIOD_MS);
    let spent_milli = i64::try_from(burn(&count)).unwrap_or(i64::MAX);
    ProfileReport {
        objective_milli: counters.objective_milli,
        budget_left_milli: (ONE_MILLI as i64).saturating_sub(spent_milli),
        count,
        alerts: ALERT_PAIRS.iter().map(alert).collect(),
        series_bucket_ms: counters.series_bucket_ms,
        series_burn_milli: counters.series.iter().map(burn).collect(),
    }
}

/// Returns the share of bad requests divided by the share that the objective allows, in
/// thousandths; 0 without requests.
fn burn_milli(count: &RequestCount, objective_milli: u32) -> u64 {
    let total = u128::from(count.good) + u128::from(count.bad);
    let allowed_milli = ONE_MILLI.saturating_sub(u64::from(objective_milli)).max(1);
    let scaled = u128::from(count.bad) * u128::from(ONE_MILLI * ONE_MILLI);
    let burn = scaled.checked_div(total * u128::from(allowed_milli)).unwrap_or(0);
    u64::try_from(burn).unwrap_or(u64::MAX)
}
