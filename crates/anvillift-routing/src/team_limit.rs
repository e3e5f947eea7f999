//! Rate limits of teams in a data centre.
//!
//! One host of the data centre owns the bucket of each team; it is chosen by
//! rendezvous hashing. The other hosts lease small amounts from the owner before
//! they admit requests. While the owner is unreachable, each host admits a fixed
//! share of the rate. [`TeamLimiter`] enforces the limits on one host.

use std::collections::BTreeMap;

use anvillift_schema::configuration::Team;
use anvillift_schema::name::Name;
use anvillift_schema::rendezvous;

use crate::bucket::MILLI;
use crate::grants::Grants;
use crate::team_bucket::{Allowance, BucketRate, TeamBucket};

/// Unused leases expire after this time, in milliseconds.
pub const LEASE_VALID_MS: u64 = 1_000;

/// Besides the amount that the request at hand needs, a host leases the amount of one
/// second divided by this in advance.
const LEASE_AHEAD_DIVISOR: u64 = 20;

/// The state of a team without requests for this time is dropped, in milliseconds.
const IDLE_MS: u64 = 60_000;

/// Retry delay of a request for which the bucket of the owner was empty, in milliseconds.
const EMPTY_RETRY_AFTER_MS: u64 = 200;

/// Whether a request is within the limits of its team.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TeamDecision {
    /// The request is within the limits and was counted.
    Admitted,
    /// The request exceeds the limits.
    Refused {
        /// Delay after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The owner of the bucket has to grant a lease first.
    LeaseNeeded {
        /// Host that owns the bucket of the team.
        owner: Name,
        /// Amount to request from the owner.
        requested: Allowance,
    },
}

/// Outcome of requesting a lease from the owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseResult {
    /// The owner granted this amount, which may be less than requested.
    Leased(Allowance),
    /// The owner did not answer or could not be reached.
    OwnerUnreachable,
}

#[derive(Clone, Debug, Default)]
struct TeamState {
    owned_bucket: Option<TeamBucket>,
    fallback_bucket: Option<TeamBucket>,
    leased_requests: Grants,
    leased_tokens: Grants,
    last_used_ms: u64,
}

/// Hosts of a data centre that may own buckets, with their hashes.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    hosts: Vec<(Name, u64)>,
}

impl Owners {
    /// Creates the list from the live hosts of a data centre, this host included.
    pub fn new(hosts: impl IntoIterator<Item = Name>) -> Self {
        let hashed = |host: Name| {
            let hash = rendezvous::hash(host.as_bytes());
            (host, hash)
        };
        Self { hosts: hosts.into_iter().map(hashed).collect() }
    }

    /// Number of hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether there are no hosts.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Owner of the bucket of a team: the host whose hash, mixed with the hash of the
    /// team, gives the highest value. `None` without hosts.
    pub fn owner(&self, team: &Name) -> Option<&Name> {
        let team = rendezvous::hash(team.as_bytes());
        let highest = self.hosts.iter().max_by_key(|(_, host)| rendezvous::mix(team ^ host));
        highest.map(|(host, _)| host)
    }
}

/// Enforces the limits of all teams on one host.
#[derive(Clone, Debug, Default)]
pub struct TeamLimiter {
    host: Name,
    teams: BTreeMap<Name, TeamState>,
    last_cleanup_ms: u64,
}

impl TeamLimiter {
    /// Creates a limiter without state for any team.
    pub fn new(host: Name) -> Self {
        Self { host, ..Self::default() }
    }

    /// Number of teams for which state is kept.
    pub fn team_count(&self) -> usize {
        self.teams.len()
    }

    /// Checks a request of `tokens` against the limits of its team.
    ///
    /// `owners` are the live hosts of the data centre, this host included.
    pub fn admit(
        &mut self,
        now_ms: u64,
        team: &Team,
        tokens: u64,
        owners: &Owners,
    ) -> TeamDecision {
        let rate = BucketRate::of(team, 1);
        if rate.is_unlimited() {
            return TeamDecision::Admitted;
        }
        self.remove_idle_teams(now_ms);
        let owner = owners.owner(&team.name).unwrap_or(&self.host).clone();
        let is_owner = owner == self.host;
        let state = self.teams.entry(team.name.clone()).or_default();
        state.last_used_ms = now_ms;
        if is_owner {
            return decision_of(owned_bucket(state, now_ms, rate).take(now_ms, tokens));
        }
        state.owned_bucket = None;
        if state.take_leased(now_ms, &rate, tokens) {
            return TeamDecision::Admitted;
        }
        TeamDecision::LeaseNeeded { owner, requested: amount_to_lease(&rate, tokens) }
    }

    /// Checks a request for which a lease was requested from the owner.
    ///
    /// `hosts` is the number of live hosts; each admits an equal share while the
    /// owner is unreachable.
    pub fn admit_leased(
        &mut self,
        now_ms: u64,
        team: &Team,
        tokens: u64,
        hosts: usize,
        result: LeaseResult,
    ) -> TeamDecision {
        let rate = BucketRate::of(team, 1);
        let state = self.teams.entry(team.name.clone()).or_default();
        state.last_used_ms = now_ms;
        match result {
            LeaseResult::Leased(allowance) => {
                state.add_lease(now_ms, allowance);
                if state.take_leased(now_ms, &rate, tokens) {
                    return TeamDecision::Admitted;
                }
                TeamDecision::Refused { retry_after_ms: EMPTY_RETRY_AFTER_MS }
            }
            LeaseResult::OwnerUnreachable => {
                let share_rate = BucketRate::of(team, hosts as u64);
                let bucket = state
                    .fallback_bucket
                    .get_or_insert_with(|| TeamBucket::new(now_ms, share_rate));
                bucket.set_rate(now_ms, share_rate);
                decision_of(bucket.take(now_ms, tokens))
            }
        }
    }

    /// Grants a lease to another host from a bucket that this host owns.
    pub fn lease(&mut self, now_ms: u64, team: &Team, requested: Allowance) -> Allowance {
        let rate = BucketRate::of(team, 1);
        if rate.is_unlimited() {
            return requested;
        }
        let state = self.teams.entry(team.name.clone()).or_default();
        state.last_used_ms = now_ms;
        owned_bucket(state, now_ms, rate).lease(now_ms, requested)
    }

    fn remove_idle_teams(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.last_cleanup_ms) < IDLE_MS {
            return;
        }
        self.last_cleanup_ms = now_ms;
        self.teams.retain(|_, state| now_ms.saturating_sub(state.last_used_ms) < IDLE_MS);
    }
}

impl TeamState {
    fn add_lease(&mut self, now_ms: u64, allowance: Allowance) {
        let valid_until_ms = now_ms + LEASE_VALID_MS;
        self.leased_requests.add(allowance.requests_milli, valid_until_ms);
        self.leased_tokens.add(allowance.tokens * MILLI, valid_until_ms);
    }

    fn take_leased(&mut self, now_ms: u64, rate: &BucketRate, tokens: u64) -> bool {
        let requests_milli = if rate.requests_per_s_milli == 0 { 0 } else { MILLI };
        let tokens_milli = limited_tokens(rate, tokens) * MILLI;
        let is_covered = self.leased_requests.valid_milli(now_ms) >= requests_milli
            && self.leased_tokens.valid_milli(now_ms) >= tokens_milli;
        if is_covered {
            self.leased_requests.take(now_ms, requests_milli);
            self.leased_tokens.take(now_ms, tokens_milli);
        }
        is_covered
    }
}

fn owned_bucket(state: &mut TeamState, now_ms: u64, rate: BucketRate) -> &mut TeamBucket {
    let bucket = state.owned_bucket.get_or_insert_with(|| TeamBucket::new(now_ms, rate));
    bucket.set_rate(now_ms, rate);
    bucket
}

fn decision_of(taken: Result<(), u64>) -> TeamDecision {
    match taken {
        Ok(()) => TeamDecision::Admitted,
        Err(retry_after_ms) => TeamDecision::Refused { retry_after_ms },
    }
}

fn amount_to_lease(rate: &BucketRate, tokens: u64) -> Allowance {
    let extra_requests_milli = rate.requests_per_s_milli / LEASE_AHEAD_DIVISOR;
    let extra_tokens = rate.tokens_per_s / LEASE_AHEAD_DIVISOR;
    Allowance {
        requests_milli: if rate.requests_per_s_milli == 0 {
            0
        } else {
            MILLI + extra_requests_milli
        },
        tokens: limited_tokens(rate, tokens) + extra_tokens,
    }
}

/// Tokens of a request that count against the limit: 0 without a token limit, else
/// one burst at most.
fn limited_tokens(rate: &BucketRate, tokens: u64) -> u64 {
    tokens.min(rate.tokens_per_s * u64::from(rate.burst_s.max(1)))
}
