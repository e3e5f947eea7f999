//! Recent work of one team at one host.

use crate::recent_sum::RecentSum;
use crate::team_share::TeamLoad;

/// What a team has asked for recently.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TeamWork {
    weight: f64,
    work: RecentSum,
    squares: RecentSum,
}

impl TeamWork {
    /// Counts a request.
    pub(crate) fn record(&mut self, weight: f64, work: f64) {
        self.weight = weight;
        self.work.add(work);
        self.squares.add(work * work);
    }

    /// Begins the next interval.
    pub(crate) fn end_interval(&mut self) {
        self.work.end_interval();
        self.squares.end_interval();
    }

    /// What the team has asked for in the last two intervals.
    pub(crate) fn load(&self) -> TeamLoad {
        TeamLoad { weight: self.weight, work: self.work.sum(), squares: self.squares.sum() }
    }
}
