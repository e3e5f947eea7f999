//! Owner of the quotas of all teams: grants hosts amounts that are valid for a short time.
//!
//! Only amounts for which the hosts have asked within a second are granted: the shares of
//! the other hosts are kept back, since those hosts may be spending them on their own.

use std::collections::BTreeMap;

use anvillift_routing::bucket::MILLI;
use anvillift_schema::fleet::{
    FleetQuotaDemand, FleetQuotaGrant, FleetQuotaGranted, FleetQuotaWanted,
};
use anvillift_schema::name::Name;

use crate::fleet_team::FleetTeam;
use crate::known_hosts::KnownHosts;
use crate::owned_quota::{GRANT_VALID_MS, OwnedQuota};
use crate::team_quota::TeamQuota;

/// Time for which a host counts as one that asks this owner, in milliseconds. The share of
/// other hosts is kept back, since they may be spending it.
const HEARD_MS: u64 = 1_000;
/// Interval at which the hosts heard from are counted, in milliseconds.
const COUNT_INTERVAL_MS: u64 = 100;
/// The state of a team without requests for this time is dropped, in milliseconds.
const IDLE_MS: u64 = 60_000;

/// The buckets of all teams, for one term of the owner.
#[derive(Clone, Debug)]
pub struct QuotaOwner {
    term: u64,
    began_ms: u64,
    teams: BTreeMap<Name, OwnedQuota>,
    last_heard_ms: BTreeMap<Name, u64>,
    hosts: KnownHosts,
    heard_count: u64,
    last_count_ms: u64,
    last_cleanup_ms: u64,
}

impl QuotaOwner {
    /// Creates an owner whose buckets are empty, since grants of the previous one may still
    /// be valid.
    pub fn new(now_ms: u64, term: u64) -> Self {
        Self {
            term,
            began_ms: now_ms,
            teams: BTreeMap::new(),
            last_heard_ms: BTreeMap::new(),
            hosts: KnownHosts::default(),
            heard_count: 0,
            last_count_ms: now_ms,
            last_cleanup_ms: now_ms,
        }
    }

    /// Term in which this host is the owner.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Number of teams for which state is kept.
    pub fn team_count(&self) -> usize {
        self.teams.len()
    }

    /// Number of entry hosts that have asked recently.
    pub fn heard_count(&self) -> u64 {
        self.heard_count
    }

    /// Grants a host what it wants, as far as the buckets have it. `hosts` are the entry
    /// hosts of all regions. Teams without a quota in `teams` are left out.
    pub fn grant(
        &mut self,
        now_ms: u64,
        from: &Name,
        wanted: &FleetQuotaWanted,
        teams: &BTreeMap<Name, FleetTeam>,
        hosts: KnownHosts,
    ) -> FleetQuotaGranted {
        self.hosts = hosts;
        if self.last_heard_ms.insert(from.clone(), now_ms).is_none() {
            self.count_hosts(now_ms);
        }
        if now_ms >= self.last_count_ms + COUNT_INTERVAL_MS {
            self.count_hosts(now_ms);
            self.remove_idle_teams(now_ms);
        }
        let is_current = wanted.term == self.term;
        let grants = wanted.teams.iter().filter_map(|demand| {
            let quota = teams.get(&demand.team)?.quota?;
            Some(self.grant_team(now_ms, &quota, demand, is_current))
        });
        let teams = grants.collect();
        FleetQuotaGranted {
            sequence: wanted.sequence,
            term: self.term,
            valid_ms: GRANT_VALID_MS,
            teams,
        }
    }

    fn grant_team(
        &mut self,
        now_ms: u64,
        quota: &TeamQuota,
        demand: &FleetQuotaDemand,
        is_current: bool,
    ) -> FleetQuotaGrant {
        let per_s_milli = self.per_s_milli(quota);
        // A team that was not used has not spent anything since this host became the owner.
        let new_team = || OwnedQuota::new(self.began_ms, quota, per_s_milli);
        let team = self.teams.entry(demand.team.clone()).or_insert_with(new_team);
        team.set_quota(now_ms, quota, per_s_milli);
        if is_current {
            team.give_back(demand.unused);
        }
        team.grant(now_ms, demand)
    }

    /// Rate at which the bucket of a team fills: the shares of the hosts that ask.
    fn per_s_milli(&self, quota: &TeamQuota) -> u64 {
        let known = self.hosts.count().max(self.heard_count);
        let rate = u128::from(quota.rate_per_s) * u128::from(MILLI * self.heard_count);
        u64::try_from(rate / u128::from(known)).unwrap_or(u64::MAX)
    }

    /// Counts the hosts that ask. If their number has changed, the buckets are filled at the
    /// old rate up to now.
    fn count_hosts(&mut self, now_ms: u64) {
        self.last_count_ms = now_ms;
        self.last_heard_ms.retain(|_, heard_ms| *heard_ms + HEARD_MS >= now_ms);
        let heard_count = self.last_heard_ms.len() as u64;
        if heard_count == self.heard_count {
            return;
        }
        self.heard_count = heard_count;
        let mut teams = std::mem::take(&mut self.teams);
        for team in teams.values_mut() {
            let per_s_milli = self.per_s_milli(&team.quota());
            team.set_rate(now_ms, per_s_milli);
        }
        self.teams = teams;
    }

    fn remove_idle_teams(&mut self, now_ms: u64) {
        if now_ms < self.last_cleanup_ms + IDLE_MS {
            return;
        }
        self.last_cleanup_ms = now_ms;
        self.teams.retain(|_, team| now_ms < team.last_used_ms() + IDLE_MS);
    }
}
