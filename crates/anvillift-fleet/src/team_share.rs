//! Divides the rejections of an overloaded service between teams.
//!
//! Admission control says how much has to be rejected. What is left goes to the teams with
//! demand by their weights; what a team does not need of its share is shared again between the
//! others (weighted max-min fairness). So only teams above their share are rejected, as far as
//! that suffices.
//!
//! A host sees a sample of each team's requests, so a team within its share is often above it
//! by chance. Therefore the work above a share counts fully from two standard deviations of such
//! a sample on, and not at all up to one. The rest is rejected from only where the work that
//! counts does not suffice.

/// Standard deviations above the share up to which the work above it does not count.
const UNCERTAIN_DEVIATIONS: f64 = 1.0;
/// Standard deviations above the share from which on the work above it counts fully.
const CERTAIN_DEVIATIONS: f64 = 2.0;
/// Bisections by which the level is found: to 2^-32 of the largest demand for its weight.
const LEVEL_STEPS: u32 = 32;

/// What a team has asked of a service in a region, within a window of time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamLoad {
    /// Weight of the team, relative to those of the others.
    pub weight: f64,
    /// Work that the team has asked for.
    pub work: f64,
    /// Sum of the squares of the work of its requests: the variance of `work`, if requests
    /// arrive independently of each other.
    pub squares: f64,
}

impl TeamLoad {
    /// Work above a share, as far as it counts.
    fn excess(&self, share: f64) -> f64 {
        let excess = self.work - share;
        let deviation = self.squares.sqrt();
        let slope = CERTAIN_DEVIATIONS / (CERTAIN_DEVIATIONS - UNCERTAIN_DEVIATIONS);
        excess.min(slope * (excess - UNCERTAIN_DEVIATIONS * deviation)).max(0.0)
    }
}

/// How the rejections of a service are divided between its teams. The default rejects nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamShares {
    /// Lowest weight that counts.
    min_weight: f64,
    /// Work for each unit of weight that is a team's share; infinite if nothing is rejected.
    level: f64,
    /// Part of the work that does not count as excess that is rejected as well.
    other_part: f64,
    /// Largest probability of rejection of a team.
    largest: f64,
}

impl Default for TeamShares {
    fn default() -> Self {
        Self { min_weight: 1.0, level: f64::INFINITY, other_part: 0.0, largest: 0.0 }
    }
}

impl TeamShares {
    /// Shares with which `rejected_work` of the work of the teams is rejected. A weight below
    /// `min_weight_part` of the mean weight counts as that much.
    pub fn new(rejected_work: f64, min_weight_part: f64, teams: &[TeamLoad]) -> Self {
        let total: f64 = teams.iter().map(|team| team.work).sum();
        if rejected_work <= 0.0 || total <= 0.0 {
            return Self::default();
        }
        let weights: f64 = teams.iter().map(|team| team.weight.max(0.0)).sum();
        let mean_weight = weights / teams.len() as f64;
        // Teams that all have no weight are alike.
        let min_weight = if mean_weight > 0.0 { min_weight_part * mean_weight } else { 1.0 };
        let mut shares = Self { min_weight, ..Self::default() };
        let most = teams.iter().map(|team| team.excess(0.0)).sum();
        if rejected_work < most {
            shares.level = shares.level_for(rejected_work, teams);
        } else {
            shares.level = 0.0;
            let other = (total - most).max(f64::MIN_POSITIVE);
            shares.other_part = ((rejected_work - most) / other).min(1.0);
        }
        shares.largest = teams.iter().map(|team| shares.rejection(team)).fold(0.0, f64::max);
        shares
    }

    /// Probability with which a request of a team is rejected.
    pub fn rejection(&self, team: &TeamLoad) -> f64 {
        if team.work <= 0.0 {
            return 0.0;
        }
        let excess = team.excess(self.share(team));
        let other = self.other_part * (team.work - excess);
        ((excess + other) / team.work).min(1.0)
    }

    /// That probability relative to the largest one of a team.
    pub fn relative_rejection(&self, team: &TeamLoad) -> f64 {
        if self.largest > 0.0 { (self.rejection(team) / self.largest).min(1.0) } else { 0.0 }
    }

    /// Work within the window up to which nothing of a team is rejected.
    pub fn share(&self, team: &TeamLoad) -> f64 {
        self.level * self.weight(team)
    }

    fn weight(&self, team: &TeamLoad) -> f64 {
        team.weight.max(self.min_weight)
    }

    /// The level above which the work that counts adds up to `rejected_work`.
    fn level_for(&self, rejected_work: f64, teams: &[TeamLoad]) -> f64 {
        let need = |team: &TeamLoad| team.work / self.weight(team);
        let (mut low, mut high) = (0.0, teams.iter().map(need).fold(0.0, f64::max));
        for _ in 0..LEVEL_STEPS {
            let level = (low + high) / 2.0;
            let above = |team: &TeamLoad| team.excess(level * self.weight(team));
            if teams.iter().map(above).sum::<f64>() > rejected_work {
                low = level;
            } else {
                high = level;
            }
        }
        high
    }
}
