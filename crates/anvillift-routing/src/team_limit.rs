//! Team limits of a data centre.
//!
//! Each team's bucket has one owner among the hosts of the data centre, chosen
//! by rendezvous hash. The other hosts lease small amounts from it before they
//! admit; while the owner cannot be asked, a host admits a fixed share of the
//! rate. Start at [`TeamLimiter`].

use std::collections::BTreeMap;

use anvillift_schema::configuration::Team;
use anvillift_schema::name::Name;
use anvillift_schema::rendezvous;

use crate::team_bucket::{Allowance, BucketRate, TeamBucket};

const MILLI: u64 = 1_000;

/// A lease not used in this time is void, in milliseconds.
pub const LEASE_VALID_MS: u64 = 1_000;

/// Share of a second's rate that a host leases beyond the request at hand.
const LEASE_AHEAD_PARTS: u64 = 20;

/// A team not heard of for this time is forgotten, in milliseconds.
const IDLE_MS: u64 = 60_000;

/// When to come back after the owner had nothing to lease, in milliseconds.
const EMPTY_RETRY_AFTER_MS: u64 = 200;

/// Whether a request is within its team's limit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TeamVerdict {
    /// It is, and was counted.
    Admitted,
    /// It is not.
    Refused {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The owner has to be asked first.
    LeaseNeeded {
        /// Host that owns the team's bucket.
        owner: Name,
        /// Amount to ask for.
        wanted: Allowance,
    },
}

/// What came of asking the owner for a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseResult {
    /// The owner leased this much.
    Leased(Allowance),
    /// The owner could not be asked.
    OwnerSilent,
}

#[derive(Clone, Debug, Default)]
struct TeamState {
    owned: Option<TeamBucket>,
    share: Option<TeamBucket>,
    leased: Allowance,
    leased_until_ms: u64,
    used_ms: u64,
}

/// Hosts of a data centre that may own buckets.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    hosts: Vec<(Name, u64)>,
}

impl Owners {
    /// The hosts of a data centre that are alive, the own included.
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

    /// Whether there is no host.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Owner of a team's bucket: the host whose hash mixed with the team's is highest.
    pub fn owner(&self, team: &Name) -> Option<&Name> {
        let team = rendezvous::hash(team.as_bytes());
        let highest = self.hosts.iter().max_by_key(|(_, host)| rendezvous::mix(team ^ host));
        highest.map(|(host, _)| host)
    }
}

/// The limits of all teams, as one host enforces them.
#[derive(Clone, Debug, Default)]
pub struct TeamLimiter {
    host: Name,
    teams: BTreeMap<Name, TeamState>,
    cleaned_ms: u64,
}

impl TeamLimiter {
    /// A limiter of a host.
    pub fn new(host: Name) -> Self {
        Self { host, ..Self::default() }
    }

    /// Teams remembered.
    pub fn known_teams(&self) -> usize {
        self.teams.len()
    }

    /// Counts a request of `tokens` against its team's limit.
    ///
    /// `owners` are the hosts of the data centre that are alive, the own included.
    pub fn admit(&mut self, now_ms: u64, team: &Team, tokens: u64, owners: &Owners) -> TeamVerdict {
        let rate = BucketRate::of(team, 1);
        if rate.is_unlimited() {
            return TeamVerdict::Admitted;
        }
        self.forget_idle(now_ms);
        let owner = owners.owner(&team.name).unwrap_or(&self.host).clone();
        let own = owner == self.host;
        let state = self.teams.entry(team.name.clone()).or_default();
        state.used_ms = now_ms;
        if own {
            return verdict(owned(state, now_ms, rate).take(now_ms, tokens));
        }
        state.owned = None;
        if state.take_leased(now_ms, &rate, tokens) {
            return TeamVerdict::Admitted;
        }
        TeamVerdict::LeaseNeeded { owner, wanted: wanted(&rate, tokens) }
    }

    /// Counts a request for which the owner was asked.
    pub fn admit_leased(
        &mut self,
        now_ms: u64,
        team: &Team,
        tokens: u64,
        hosts: usize,
        result: LeaseResult,
    ) -> TeamVerdict {
        let rate = BucketRate::of(team, 1);
        let state = self.teams.entry(team.name.clone()).or_default();
        state.used_ms = now_ms;
        match result {
            LeaseResult::Leased(allowance) => {
                state.add_lease(now_ms, allowance);
                if state.take_leased(now_ms, &rate, tokens) {
                    return TeamVerdict::Admitted;
                }
                TeamVerdict::Refused { retry_after_ms: EMPTY_RETRY_AFTER_MS }
            }
            LeaseResult::OwnerSilent => {
                let share = BucketRate::of(team, hosts as u64);
                let bucket = state.share.get_or_insert_with(|| TeamBucket::new(now_ms, share));
                bucket.set_rate(now_ms, share);
                verdict(bucket.take(now_ms, tokens))
            }
        }
    }

    /// Leases from the bucket of a team that this host owns.
    pub fn lease(&mut self, now_ms: u64, team: &Team, wanted: Allowance) -> Allowance {
        let rate = BucketRate::of(team, 1);
        if rate.is_unlimited() {
            return wanted;
        }
        let state = self.teams.entry(team.name.clone()).or_default();
        state.used_ms = now_ms;
        owned(state, now_ms, rate).lease(now_ms, wanted)
    }

    fn forget_idle(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.cleaned_ms) < IDLE_MS {
            return;
        }
        self.cleaned_ms = now_ms;
        self.teams.retain(|_, state| now_ms.saturating_sub(state.used_ms) < IDLE_MS);
    }
}

impl TeamState {
    fn add_lease(&mut self, now_ms: u64, allowance: Allowance) {
        if now_ms > self.leased_until_ms {
            self.leased = Allowance::default();
        }
        self.leased.requests_milli += allowance.requests_milli;
        self.leased.tokens += allowance.tokens;
        self.leased_until_ms = now_ms + LEASE_VALID_MS;
    }

    fn take_leased(&mut self, now_ms: u64, rate: &BucketRate, tokens: u64) -> bool {
        let requests_milli = if rate.requests_per_s_milli == 0 { 0 } else { MILLI };
        let tokens = limited_tokens(rate, tokens);
        let enough = now_ms <= self.leased_until_ms
            && self.leased.requests_milli >= requests_milli
            && self.leased.tokens >= tokens;
        if enough {
            self.leased.requests_milli -= requests_milli;
            self.leased.tokens -= tokens;
        }
        enough
    }
}

fn owned(state: &mut TeamState, now_ms: u64, rate: BucketRate) -> &mut TeamBucket {
    let bucket = state.owned.get_or_insert_with(|| TeamBucket::new(now_ms, rate));
    bucket.set_rate(now_ms, rate);
    bucket
}

fn verdict(taken: Result<(), u64>) -> TeamVerdict {
    match taken {
        Ok(()) => TeamVerdict::Admitted,
        Err(retry_after_ms) => TeamVerdict::Refused { retry_after_ms },
    }
}

fn wanted(rate: &BucketRate, tokens: u64) -> Allowance {
    let requests_ahead_milli = rate.requests_per_s_milli / LEASE_AHEAD_PARTS;
    let tokens_ahead = rate.tokens_per_s / LEASE_AHEAD_PARTS;
    Allowance {
        requests_milli: if rate.requests_per_s_milli == 0 {
            0
        } else {
            MILLI + requests_ahead_milli
        },
        tokens: limited_tokens(rate, tokens) + tokens_ahead,
    }
}

/// Tokens of a request that count: none without a limit, at most one burst with it.
fn limited_tokens(rate: &BucketRate, tokens: u64) -> u64 {
    tokens.min(rate.tokens_per_s * u64::from(rate.burst_s.max(1)))
}
