//! Alert rules: pairs of a long and a short window with a burn rate threshold.

const MINUTE_MS: u64 = 60 * 1000;
const HOUR_MS: u64 = 60 * MINUTE_MS;

/// Period that the error budget covers: 3 days.
pub(crate) const BUDGET_PERIOD_MS: u64 = 72 * HOUR_MS;
/// Bucket length of the counts that windows of up to [`FINE_PERIOD_MS`] are computed from.
pub(crate) const FINE_BUCKET_MS: u64 = MINUTE_MS;
/// Longest window that is computed from fine buckets.
pub(crate) const FINE_PERIOD_MS: u64 = 6 * HOUR_MS;
/// Bucket length of the counts that longer windows and the plotted series are computed from.
pub(crate) const COARSE_BUCKET_MS: u64 = 30 * MINUTE_MS;

/// An alert rule, which fires while both windows burn faster than the threshold.
#[derive(Clone, Copy, Debug)]
pub struct AlertPair {
    /// Length of the long window, in milliseconds.
    pub long_ms: u64,
    /// Length of the short window, in milliseconds.
    pub short_ms: u64,
    /// Burn rate that both windows must exceed, in thousandths.
    pub threshold_milli: u64,
}

/// All alert rules, the most urgent first.
pub const ALERT_PAIRS: [AlertPair; 3] = [
    AlertPair { long_ms: HOUR_MS, short_ms: 5 * MINUTE_MS, threshold_milli: 14_400 },
    AlertPair { long_ms: 6 * HOUR_MS, short_ms: 30 * MINUTE_MS, threshold_milli: 6_000 },
    AlertPair { long_ms: 72 * HOUR_MS, short_ms: 6 * HOUR_MS, threshold_milli: 1_000 },
];

/// Returns the lengths of all windows of the rules without duplicates, the shortest first.
pub(crate) fn windows_ms() -> Vec<u64> {
    let mut windows: Vec<u64> =
        ALERT_PAIRS.iter().flat_map(|pair| [pair.long_ms, pair.short_ms]).collect();
    windows.sort_unstable();
    windows.dedup();
    windows
}
