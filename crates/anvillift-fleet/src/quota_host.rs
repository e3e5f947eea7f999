//! Quotas at an entry host: what it may spend of them, and what it asks the owner for.
//!
//! A request is counted against grants of the owner. If they don't cover it, it waits for the
//! answer to the next question. While no answers arrive, the host spends its own share.

use std::collections::BTreeMap;

use anvillift_routing::bucket::MILLI;
use anvillift_schema::fleet::{
    FleetQuotaDemand, FleetQuotaGrant, FleetQuotaGranted, FleetQuotaWanted,
};
use anvillift_schema::name::Name;
use anvillift_schema::rendezvous;

use crate::known_hosts::KnownHosts;
use crate::owner_contact::OwnerContact;
use crate::quota_answer::QuotaAnswer;
use crate::quota_decision::QuotaDecision;
use crate::quota_question::QuotaQuestion;
use crate::quota_share;
use crate::quota_share::QuotaShare;
use crate::quota_source::QuotaSource;
use crate::quota_team::QuotaTeam;
use crate::quota_use::QuotaUse;
use crate::team_quota::TeamQuota;
use crate::waiting_requests::{WaitingRequest, WaitingRequests, demand_of};

/// Interval of questions while teams are in use, in milliseconds.
const ASK_INTERVAL_MS: u64 = 250;
/// Interval of questions while no team is in use, in milliseconds. The owner keeps back the
/// share of a host that it doesn't hear for a second.
const IDLE_ASK_INTERVAL_MS: u64 = 500;
/// Shortest time between two questions, in milliseconds.
const MIN_ASK_INTERVAL_MS: u64 = 50;
/// Time without requests after which a team is not in use, in milliseconds.
const IN_USE_MS: u64 = 2_000;
/// The state of a team without requests for this time is dropped, in milliseconds.
const IDLE_MS: u64 = 60_000;
/// Longest time for which requests are refused without asking after the owner has refused
/// one, in milliseconds. Smaller requests may have room earlier.
const MAX_EMPTY_MS: u64 = 100;

/// Quotas of all teams in use at one host.
#[derive(Clone, Debug)]
pub struct QuotaHost {
    host: u64,
    hosts: KnownHosts,
    contact: OwnerContact,
    teams: BTreeMap<Name, QuotaTeam>,
    waiting: WaitingRequests,
    last_asked_ms: u64,
    last_regular_ms: u64,
    last_used_ms: u64,
    last_cleanup_ms: u64,
}

impl QuotaHost {
    /// Creates the state of a host that has just started.
    pub fn new(host: &str) -> Self {
        Self {
            host: rendezvous::hash(host.as_bytes()),
            hosts: KnownHosts::default(),
            contact: OwnerContact::default(),
            teams: BTreeMap::new(),
            waiting: WaitingRequests::default(),
            last_asked_ms: 0,
            last_regular_ms: 0,
            last_used_ms: 0,
            last_cleanup_ms: 0,
        }
    }

    /// The owner, if one answers.
    pub fn owner(&self) -> Option<&Name> {
        self.contact.owner.as_ref()
    }

    /// Highest term of an owner seen.
    pub fn term(&self) -> u64 {
        self.contact.term
    }

    /// Number of teams for which state is kept.
    pub fn team_count(&self) -> usize {
        self.teams.len()
    }

    /// Number of entry hosts in the table of hosts. `is_complete` is whether every region is
    /// in reach.
    pub fn set_hosts(&mut self, count: usize, is_complete: bool) {
        self.hosts.update(count, is_complete);
    }

    /// Counts a request of `amount` against the quota of its team.
    pub fn count(
        &mut self,
        now_ms: u64,
        team: &Name,
        quota: &TeamQuota,
        amount: u64,
    ) -> QuotaDecision {
        let amount_milli = amount.saturating_mul(MILLI);
        self.last_used_ms = now_ms;
        let state = team_state(&mut self.teams, team);
        state.last_used_ms = now_ms;
        state.estimate.record(amount_milli);
        if let Some(used) = state.take_granted(now_ms, team, amount_milli, self.contact.term) {
            return QuotaDecision::Admitted(used);
        }
        if self.contact.alone_since_ms(now_ms).is_some() {
            return self.count_alone(now_ms, team, quota, amount_milli);
        }
        if now_ms < state.refuse_until_ms {
            let retry_after_ms = state.room_at_ms - now_ms;
            return state.refused(now_ms, retry_after_ms);
        }
        QuotaDecision::Waiting(self.waiting.add(team, quota, amount_milli))
    }

    /// Decides about a request that has waited for an answer in vain, by the own share of this
    /// host. `None` if it no longer waits.
    pub fn stop_waiting(&mut self, now_ms: u64, number: u64) -> Option<QuotaDecision> {
        let WaitingRequest { team, quota, amount_milli, .. } = self.waiting.remove(number)?;
        Some(self.count_alone(now_ms, &team, &quota, amount_milli))
    }

    /// Forgets a waiting request whose caller has left.
    pub fn cancel(&mut self, number: u64) {
        self.waiting.remove(number);
    }

    /// Gives back the amount of a request that was sent to no one.
    pub fn give_back(&mut self, used: &QuotaUse) {
        let Some(team) = self.teams.get_mut(&used.team) else { return };
        match used.source {
            QuotaSource::Granted if used.term == self.contact.term => {
                team.grants.add(used.amount_milli, used.valid_until_ms);
            }
            QuotaSource::Granted => (),
            QuotaSource::OwnShare => {
                if let Some(share) = &mut team.share {
                    share.give_back(used.amount_milli);
                }
            }
        }
    }

    /// Gives the owner up if answers are missing. Returns for how long, in milliseconds.
    pub fn lose_silent_owner(&mut self, now_ms: u64) -> Option<u64> {
        self.contact.lose_silent_owner(now_ms)
    }

    /// Time of the next question, in milliseconds.
    pub fn next_question_ms(&self, now_ms: u64) -> u64 {
        let is_in_use = self.last_used_ms + IN_USE_MS >= now_ms && self.last_used_ms > 0;
        let interval_ms = if is_in_use { ASK_INTERVAL_MS } else { IDLE_ASK_INTERVAL_MS };
        let regular_ms = self.last_regular_ms + interval_ms;
        if self.waiting.has_unasked() {
            regular_ms.min(self.last_asked_ms + MIN_ASK_INTERVAL_MS)
        } else {
            regular_ms
        }
    }

    /// The question to send now, if one is due.
    pub fn take_question(&mut self, now_ms: u64) -> Option<QuotaQuestion> {
        if now_ms < self.next_question_ms(now_ms) {
            return None;
        }
        let sequence = self.contact.next_sequence();
        let mut demands = self.waiting.ask(sequence);
        let elapsed_ms = now_ms - self.last_regular_ms;
        if elapsed_ms >= ASK_INTERVAL_MS {
            self.last_regular_ms = now_ms;
            self.add_regular_demands(now_ms, elapsed_ms, &mut demands);
            self.remove_idle_teams(now_ms);
        }
        self.contact.ask(now_ms);
        self.last_asked_ms = now_ms;
        let teams = demands.into_values().collect();
        let frame = FleetQuotaWanted { sequence, term: self.contact.term, teams };
        Some(QuotaQuestion { owner: self.contact.owner.clone(), frame })
    }

    /// Takes over an answer of the owner.
    pub fn on_granted(
        &mut self,
        now_ms: u64,
        from: &Name,
        granted: &FleetQuotaGranted,
    ) -> QuotaAnswer {
        let had_owner = self.contact.owner.as_ref() == Some(from);
        let is_new_term = granted.term > self.contact.term;
        let Some(asked_ms) = self.contact.answer(from, granted.sequence, granted.term) else {
            return QuotaAnswer::default();
        };
        for team in self.teams.values_mut() {
            if is_new_term {
                team.grants.clear();
            }
            if self.contact.silent_since_ms.is_none_or(|since_ms| since_ms > asked_ms) {
                team.share = None;
            }
        }
        let mut decisions = Vec::new();
        for grant in &granted.teams {
            let valid_until_ms = asked_ms + granted.valid_ms;
            self.take_grant(now_ms, valid_until_ms, granted, grant, &mut decisions);
        }
        QuotaAnswer {
            decisions,
            waited_ms: Some(now_ms.saturating_sub(asked_ms)),
            is_new_owner: !had_owner || is_new_term,
        }
    }

    /// Adds a grant, and decides about the requests that have waited for it.
    fn take_grant(
        &mut self,
        now_ms: u64,
        valid_until_ms: u64,
        granted: &FleetQuotaGranted,
        grant: &FleetQuotaGrant,
        decisions: &mut Vec<(u64, QuotaDecision)>,
    ) {
        let Some(team) = self.teams.get_mut(&grant.team) else { return };
        team.grants.add(grant.granted, valid_until_ms);
        team.room_at_ms = now_ms + grant.room_ms;
        team.refuse_until_ms = now_ms + grant.room_ms.min(MAX_EMPTY_MS);
        for (number, amount_milli) in self.waiting.take_answered(granted.sequence, &grant.team) {
            let used = team.take_granted(now_ms, &grant.team, amount_milli, granted.term);
            let decision = used.map(QuotaDecision::Admitted);
            let decision = decision.unwrap_or_else(|| team.refused(now_ms, grant.room_ms.max(1)));
            decisions.push((number, decision));
        }
    }

    /// Counts a request against the own share of this host.
    fn count_alone(
        &mut self,
        now_ms: u64,
        team: &Name,
        quota: &TeamQuota,
        amount_milli: u64,
    ) -> QuotaDecision {
        let began_ms = self.contact.alone_since_ms(now_ms).unwrap_or(now_ms);
        let fill = quota_share::fill(quota, self.hosts.count());
        let state = team_state(&mut self.teams, team);
        state.last_used_ms = now_ms;
        let new_share = || QuotaShare::new(began_ms, (self.host, team), fill, amount_milli);
        let share = state.share.get_or_insert_with(new_share);
        match share.take(now_ms, fill, amount_milli) {
            Ok(()) => QuotaDecision::Admitted(QuotaUse {
                team: team.clone(),
                amount_milli,
                source: QuotaSource::OwnShare,
                term: 0,
                valid_until_ms: 0,
            }),
            Err(refusal) => QuotaDecision::Refused(refusal),
        }
    }

    /// Adds what teams in use want in advance, and what they have not used.
    fn add_regular_demands(
        &mut self,
        now_ms: u64,
        elapsed_ms: u64,
        demands: &mut BTreeMap<Name, FleetQuotaDemand>,
    ) {
        for (name, team) in &mut self.teams {
            let target_milli = team.estimate.end_interval(elapsed_ms);
            let ahead = target_milli.saturating_sub(team.grants.valid_milli(now_ms));
            let unused = team.grants.take_expired(now_ms);
            if ahead > 0 || unused > 0 {
                let demand = demand_of(demands, name);
                demand.ahead = ahead;
                demand.unused = unused;
            }
        }
    }

    fn remove_idle_teams(&mut self, now_ms: u64) {
        if now_ms < self.last_cleanup_ms + IDLE_MS {
            return;
        }
        self.last_cleanup_ms = now_ms;
        self.teams.retain(|_, team| now_ms < team.last_used_ms + IDLE_MS);
    }
}

/// State of a team, which is created for its first request.
fn team_state<'a>(teams: &'a mut BTreeMap<Name, QuotaTeam>, team: &Name) -> &'a mut QuotaTeam {
    if !teams.contains_key(team) {
        teams.insert(team.clone(), QuotaTeam::default());
    }
    teams.get_mut(team).expect("the state of the team was inserted")
}
