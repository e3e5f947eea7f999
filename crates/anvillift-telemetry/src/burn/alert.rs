//! Pairs of windows that raise alerts.

const MINUTE_MS: u64 = 60 * 1000;
const HOUR_MS: u64 = 60 * MINUTE_MS;

/// Period over which the error budget is counted: 3 days.
pub(crate) const BUDGET_PERIOD_MS: u64 = 72 * HOUR_MS;
/// Bucket of the counts behind short windows.
pub(crate) const FINE_BUCKET_MS: u64 = MINUTE_MS;
/// Longest window that fine buckets cover.
pub(crate) const FINE_PERIOD_MS: u64 = 6 * HOUR_MS;
/// Bucket of the counts behind the budget period and the plotted series.
pub(crate) const COARSE_BUCKET_MS: u64 = 30 * MINUTE_MS;

/// A long and a short window with the burn rate at which both raise an alert.
#[derive(Clone, Copy, Debug)]
pub struct AlertPair {
    /// Length of the long window.
    pub long_ms: u64,
    /// Length of the short window.
    pub short_ms: u64,
    /// Burn rate that raises the alert, in thousandths.
    pub threshold_milli: u64,
}

/// The pairs, the most urgent first.
pub const ALERT_PAIRS: [AlertPair; 3] = [
    AlertPair { long_ms: HOUR_MS, short_ms: 5 * MINUTE_MS, threshold_milli: 14_400 },
    AlertPair { long_ms: 6 * HOUR_MS, short_ms: 30 * MINUTE_MS, threshold_milli: 6_000 },
    AlertPair { long_ms: 72 * HOUR_MS, short_ms: 6 * HOUR_MS, threshold_milli: 1_000 },
];

/// Every window of the pairs once, the shortest first.
pub(crate) fn windows_ms() -> Vec<u64> {
    let mut windows: Vec<u64> =
        ALERT_PAIRS.iter().flat_map(|pair| [pair.long_ms, pair.short_ms]).collect();
    windows.sort_unstable();
    windows.dedup();
    windows
}
