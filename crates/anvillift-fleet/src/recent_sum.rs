//! A sum over the present and the previous interval of time.

/// Sum over the present interval and the one before it, which together approximate a sliding
/// window.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecentSum {
    present: f64,
    previous: f64,
}

impl RecentSum {
    /// Adds to the present interval.
    pub(crate) fn add(&mut self, amount: f64) {
        self.present += amount;
    }

    /// Begins the next interval.
    pub(crate) fn end_interval(&mut self) {
        self.previous = std::mem::take(&mut self.present);
    }

    /// Sum over both intervals.
    pub(crate) fn sum(&self) -> f64 {
        self.present + self.previous
    }
}
