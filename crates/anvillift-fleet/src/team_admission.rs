//! Moves the rejections of an overloaded service from teams within their share to teams above
//! it.
//!
//! Admission control decides about each request without regard to its team. What it asks to
//! reject is owed: a request of a team within its share is admitted all the same, and the next
//! requests of teams above their shares are rejected until as much work is rejected as was
//! asked for. So the sum hardly depends on how well this host knows the demands of the teams,
//! and a rise of the load takes effect at once. Where the owed work grows beyond a bound, the
//! decision of admission control stands.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;

use crate::recent_sum::RecentSum;
use crate::team_request::TeamRequest;
use crate::team_share::{TeamLoad, TeamShares};
use crate::team_verdict::{TeamReason, TeamVerdict};
use crate::team_work::TeamWork;

const MS_PER_S: f64 = 1_000.0;

/// Settings of [`TeamAdmission`].
#[derive(Clone, Debug, PartialEq)]
pub struct TeamAdmissionSettings {
    /// Length of an interval, in milliseconds; demands are summed over the present and the
    /// last one. A host with 80 requests a second from 16 teams sees 5 to 10 requests of a
    /// team within 1,000 to 2,000 ms; shorter intervals mistake more chance for demand.
    pub interval_ms: u64,
    /// Age from which the shares are computed again, in milliseconds.
    pub refresh_ms: u64,
    /// Owed work from which on the decision of admission control stands, as a part of the
    /// recent demand: 0.2 to 0.4 s of it.
    pub max_owed_part: f64,
    /// Part of that bound from which on teams above their shares are rejected as often as
    /// possible. With 1 instead of 0.1, 3 % of what was asked for was not rejected in a
    /// simulation of 60 hosts, instead of 2 %.
    pub urgent_owed_part: f64,
    /// Part of that bound from which on owed work lowers the shares: the teams above them do
    /// not send enough, as in the first moments of an overload. Less than half is chance.
    pub tolerated_owed_part: f64,
    /// Weight of the owed work above that beside the work that was recently asked to be
    /// rejected.
    pub owed_gain: f64,
    /// Most of the recent demand by which owed work lowers the shares, as a part of it. At 1 no
    /// share was left, and teams with a small demand were rejected like the others.
    pub max_lowered_part: f64,
    /// Time without a request that admission control would reject after which nothing is owed
    /// any more, in milliseconds: two reports of the load.
    pub owed_expiry_ms: u64,
    /// Lowest weight that counts, as a part of the mean weight, so that a team without a quota
    /// beside teams with large ones keeps some share.
    pub min_weight_part: f64,
}

impl Default for TeamAdmissionSettings {
    fn default() -> Self {
        Self {
            interval_ms: 1_000,
            refresh_ms: 100,
            max_owed_part: 0.2,
            urgent_owed_part: 0.1,
            tolerated_owed_part: 0.5,
            owed_gain: 4.0,
            max_lowered_part: 0.9,
            owed_expiry_ms: 500,
            min_weight_part: 0.05,
        }
    }
}

/// Recent demand of the teams for one service at one host, and the rejections that are owed.
#[derive(Clone, Debug, Default)]
pub struct TeamAdmission {
    settings: TeamAdmissionSettings,
    interval_began_ms: u64,
    teams: BTreeMap<Name, TeamWork>,
    demand: RecentSum,
    asked: RecentSum,
    last_asked_ms: u64,
    owed: f64,
    shares: TeamShares,
    shares_computed_ms: Option<u64>,
}

impl TeamAdmission {
    /// Creates the state of a host that has seen no requests.
    pub fn new(settings: TeamAdmissionSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Decides about a request. `is_asked` says whether admission control would reject it
    /// without regard to its team; `draw` lies between 0 and 1.
    pub fn decide(
        &mut self,
        now_ms: u64,
        request: &TeamRequest,
        is_asked: bool,
        draw: f64,
    ) -> TeamVerdict {
        self.advance(now_ms);
        let is_exhausted = self.owed >= self.max_owed();
        if is_asked {
            self.asked.add(request.work);
            self.owed += request.work;
            self.last_asked_ms = now_ms;
        }
        self.refresh_shares(now_ms);
        let load = self.teams.get(&request.team).map(TeamWork::load).unwrap_or_default();
        let reason = self.reason(&load, is_asked, is_exhausted, draw);
        let per_s = MS_PER_S / self.covered_ms(now_ms);
        let verdict = TeamVerdict {
            reason,
            share_per_s: self.shares.share(&load) * per_s,
            demand_per_s: load.work * per_s,
            rejection: self.shares.rejection(&load),
        };
        if verdict.is_rejected() {
            self.owed -= request.work;
        }
        // Counted after the decision, which would otherwise see the request itself in the demand
        // and so more than the mean.
        if request.is_new {
            self.demand.add(request.work);
            let team = self.teams.entry(request.team.clone()).or_default();
            team.record(request.weight, request.work);
        }
        verdict
    }

    /// Moves to the interval of `now_ms`, and drops demand and owed work that are too old.
    pub fn advance(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.interval_began_ms);
        if elapsed_ms >= 2 * self.settings.interval_ms {
            *self = Self {
                settings: self.settings.clone(),
                interval_began_ms: now_ms,
                ..Self::default()
            };
        } else if elapsed_ms >= self.settings.interval_ms {
            self.interval_began_ms += self.settings.interval_ms;
            self.demand.end_interval();
            self.asked.end_interval();
            for team in self.teams.values_mut() {
                team.end_interval();
            }
            self.teams.retain(|_, team| team.load().work > 0.0);
        }
        if now_ms.saturating_sub(self.last_asked_ms) >= self.settings.owed_expiry_ms {
            self.owed = 0.0;
        }
    }

    /// Number of teams with recent demand.
    pub fn team_count(&self) -> usize {
        self.teams.len()
    }

    fn reason(&self, load: &TeamLoad, is_asked: bool, is_exhausted: bool, draw: f64) -> TeamReason {
        if self.owed > 0.0 && draw < self.rejection(load) {
            return TeamReason::AboveShare;
        }
        if !is_asked {
            return TeamReason::NotOverloaded;
        }
        if is_exhausted {
            return TeamReason::SharesExhausted;
        }
        TeamReason::WithinShare
    }

    /// Probability of rejection while something is owed. It grows with what is owed, up to
    /// certainty for the team most above its share, but leaves each team half of its share: one
    /// far above its share would get next to nothing if it were rejected whenever something is
    /// owed.
    fn rejection(&self, load: &TeamLoad) -> f64 {
        let rejection = self.shares.rejection(load);
        let most = self.shares.relative_rejection(load).min(f64::midpoint(1.0, rejection));
        let urgent = self.settings.urgent_owed_part * self.max_owed();
        let urgency = (self.owed / urgent).clamp(0.0, 1.0);
        rejection + urgency * (most - rejection)
    }

    /// Owed work from which on the decision of admission control stands. Without recent demand
    /// that is any.
    fn max_owed(&self) -> f64 {
        self.settings.max_owed_part * self.demand.sum()
    }

    fn refresh_shares(&mut self, now_ms: u64) {
        let is_due = |computed_ms| now_ms >= computed_ms + self.settings.refresh_ms;
        if self.owed <= 0.0 || !self.shares_computed_ms.is_none_or(is_due) {
            return;
        }
        let loads: Vec<TeamLoad> = self.teams.values().map(TeamWork::load).collect();
        let max_owed = self.max_owed();
        let excess = self.owed.min(max_owed) - self.settings.tolerated_owed_part * max_owed;
        let asked = self.asked.sum();
        let lowered = asked + self.settings.owed_gain * excess.max(0.0);
        let max_lowered = self.settings.max_lowered_part * self.demand.sum();
        let rejected_work = lowered.min(max_lowered.max(asked));
        self.shares = TeamShares::new(rejected_work, self.settings.min_weight_part, &loads);
        self.shares_computed_ms = Some(now_ms);
    }

    /// Time over which demands are summed, in milliseconds, once the host has seen requests
    /// for that long.
    fn covered_ms(&self, now_ms: u64) -> f64 {
        let present_ms = now_ms.saturating_sub(self.interval_began_ms);
        (self.settings.interval_ms + present_ms) as f64
    }
}
