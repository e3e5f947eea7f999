//! The burn of all daemons together.

use std::collections::BTreeMap;

use anvillift_schema::burn::{BurnCounters, ProfileCounters, RequestCount};
use anvillift_schema::name::Name;

use super::alert::{ALERT_PAIRS, AlertPair, BUDGET_PERIOD_MS};

/// A whole in thousandths.
const WHOLE_MILLI: u64 = 1000;

/// Burn of each profile, from the daemons that answered.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Serialize)]
pub struct BurnReport {
    /// Daemons whose counts are in the report.
    pub answered_hosts: Vec<Name>,
    /// Daemons that did not answer, with the reason.
    pub missing_hosts: BTreeMap<Name, String>,
    /// Burn by profile.
    pub profiles: BTreeMap<Name, ProfileReport>,
}

/// Burn of one profile.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct ProfileReport {
    /// Share of requests that must be good, in thousandths.
    pub objective_milli: u32,
    /// Requests of the budget period.
    pub count: RequestCount,
    /// Error budget left, in thousandths; negative when overspent.
    pub budget_left_milli: i64,
    /// State of each pair of windows.
    pub alerts: Vec<AlertState>,
    /// Length of a bucket of the series.
    pub series_bucket_ms: u64,
    /// Burn rates by bucket in thousandths, the newest first.
    pub series_burn_milli: Vec<u64>,
}

/// Burn rates of one pair of windows.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct AlertState {
    /// Length of the long window.
    pub long_ms: u64,
    /// Length of the short window.
    pub short_ms: u64,
    /// Burn rate of the long window, in thousandths.
    pub long_burn_milli: u64,
    /// Burn rate of the short window, in thousandths.
    pub short_burn_milli: u64,
    /// Rate at which both raise the alert, in thousandths.
    pub threshold_milli: u64,
    /// Whether the alert is raised.
    pub firing: bool,
}

impl BurnReport {
    /// Merges the counts of daemons; `missing` names those that gave none.
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
            profiles: merged.iter().map(|(name, sum)| (name.clone(), profile(sum))).collect(),
        }
    }

    /// Whether any profile burns its budget too fast.
    pub fn firing(&self) -> bool {
        let mut alerts = self.profiles.values().flat_map(|profile| &profile.alerts);
        alerts.any(|alert| alert.firing)
    }
}

/// Adds the counts of another daemon; the stricter objective holds.
fn add_counters(sum: &mut ProfileCounters, counts: &ProfileCounters) {
    sum.objective_milli = sum.objective_milli.max(counts.objective_milli);
    for window in &counts.windows {
        match sum.windows.iter_mut().find(|known| known.window_ms == window.window_ms) {
            Some(known) => add_count(&mut known.count, &window.count),
            None => sum.windows.push(window.clone()),
        }
    }
    if sum.series.len() < counts.series.len() {
        sum.series.resize(counts.series.len(), RequestCount::default());
    }
    for (known, count) in sum.series.iter_mut().zip(&counts.series) {
        add_count(known, count);
    }
}

fn add_count(sum: &mut RequestCount, count: &RequestCount) {
    sum.good = sum.good.saturating_add(count.good);
    sum.bad = sum.bad.saturating_add(count.bad);
}

fn profile(counters: &ProfileCounters) -> ProfileReport {
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
        budget_left_milli: (WHOLE_MILLI as i64).saturating_sub(spent_milli),
        count,
        alerts: ALERT_PAIRS.iter().map(alert).collect(),
        series_bucket_ms: counters.series_bucket_ms,
        series_burn_milli: counters.series.iter().map(burn).collect(),
    }
}

/// Share of bad requests over the share that the objective allows.
fn burn_milli(count: &RequestCount, objective_milli: u32) -> u64 {
    let total = u128::from(count.good) + u128::from(count.bad);
    let allowed_milli = WHOLE_MILLI.saturating_sub(u64::from(objective_milli)).max(1);
    let scaled = u128::from(count.bad) * u128::from(WHOLE_MILLI * WHOLE_MILLI);
    let burn = scaled.checked_div(total * u128::from(allowed_milli)).unwrap_or(0);
    u64::try_from(burn).unwrap_or(u64::MAX)
}
