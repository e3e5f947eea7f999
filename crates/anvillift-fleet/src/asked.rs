//! The last question about a feature that was in flight at crashes.

/// When hosts were last asked about a feature.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asked {
    pub(crate) asked_ms: u64,
    /// Crashes since it was last served, when it was asked.
    pub(crate) crashes: usize,
    /// Index of the last of them. The number alone does not show new crashes: it may reach the
    /// same value again after the feature was served.
    pub(crate) last_crash: Option<usize>,
    /// Whether it was known then that the feature was ever served.
    pub(crate) was_served: bool,
    /// Time of the first question at which the feature had enough crashes to be quarantined.
    pub(crate) enough_since_ms: Option<u64>,
}
