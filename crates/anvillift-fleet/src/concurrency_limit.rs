//! Limits the requests that a host has in flight at the workers of its region.
//!
//! Sums over all hosts are some hundred milliseconds old. Hosts that admit by them send too much
//! at the start of a burst, then all reject at once and leave workers idle. A host knows exactly
//! what it has in flight itself, and by Little's law the time that requests spend at the
//! workers follows from it, however many workers are left. The limit follows the time to the
//! first byte: it falls while answers begin late, and grows while they begin early. Start at
//! [`ConcurrencyLimit`].
//!
//! Requests in flight are counted in batches, so that workers of different size count alike: a
//! batch is as many requests as a worker has slots. `docs/design/platform.md` ("A limit on what
//! a host has in flight") has the trials behind the settings.

/// How far a host lets its requests in flight grow, and how it reacts to slow first bytes.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimitSettings {
    /// Median time to the first byte that the limit aims at, as a share of the target latency.
    /// The rest is for the spread of the waits and the way to the caller: with 0.8, 0.57 to 0.72
    /// of the capacity was in time in the simulation of bursts, instead of 0.9.
    pub aimed_latency: f64,
    /// Number of answers from which one change of the limit is derived.
    pub samples_per_change: usize,
    /// Smallest factor by which one change multiplies the limit.
    pub min_change: f64,
    /// Largest factor by which one change multiplies the limit.
    pub max_change: f64,
    /// The limit is removed once it exceeds the requests in flight by this factor.
    pub release_factor: f64,
    /// Share of the slots of a region from which the limit applies. Below it the latency has
    /// other causes than too many requests, and only the highest limit applies.
    pub min_slot_use: f64,
    /// Part of its share of the slots that a host may always use. With all of it, no request is
    /// rejected unless requests wait for slots.
    pub min_slot_share: f64,
    /// Factor by which a host may exceed its share at the highest limit, since callers do not
    /// spread evenly over the hosts.
    pub uneven_factor: f64,
    /// Part of the limit up to which less urgent requests are admitted.
    pub less_urgent_part: f64,
    /// Part of the less urgent requests that counts as urgent, so that they are not starved.
    pub favoured_part: f64,
    /// Limit for streams that are taken up again, as a multiple of the limit.
    pub resumed_part: f64,
    /// Longest time after which a rejected caller may come back, as a share of the target
    /// latency. It is short enough for the answer to be in time still.
    pub max_retry_wait: f64,
}

impl Default for ConcurrencyLimitSettings {
    fn default() -> Self {
        Self {
            aimed_latency: 0.6,
            samples_per_change: 8,
            min_change: 0.5,
            max_change: 1.15,
            release_factor: 2.0,
            min_slot_use: 0.8,
            min_slot_share: 1.0,
            uneven_factor: 1.3,
            less_urgent_part: 0.85,
            favoured_part: 0.25,
            resumed_part: 2.0,
            max_retry_wait: 0.35,
        }
    }
}

/// The first byte of an answer, as a sample of the latency.
#[derive(Clone, Copy, Debug)]
pub struct LatencySample {
    /// When the request was sent to the worker, in milliseconds.
    pub sent_ms: u64,
    /// Time from then to the first byte, in milliseconds.
    pub first_ms: u64,
    /// Target latency of the route, in milliseconds; without one (0) the sample is ignored.
    pub target_ms: u64,
    /// Usual time that requests run after their first byte, in milliseconds.
    pub run_ms: f64,
}

/// The load with which a request meets the limit.
#[derive(Clone, Copy, Debug)]
pub struct LoadAtHost {
    /// Requests of this host in flight at the workers of its region that answer, in batches.
    pub in_flight: f64,
    /// This host's share of those workers, as a number of workers.
    pub workers: f64,
    /// Share of the slots of the region that the requests of all hosts take; `None` without a
    /// recent report.
    pub slot_use: Option<f64>,
    /// Usual time that requests run after their first byte, in milliseconds; 0 if unknown.
    pub run_ms: f64,
    /// Target latency of the route, in milliseconds; 0 if it has none.
    pub target_ms: u64,
}

/// Most requests that a host has in flight at the workers of its region for one service.
#[derive(Clone, Debug, Default)]
pub struct ConcurrencyLimit {
    settings: ConcurrencyLimitSettings,
    /// In batches; `None` while answers begin in time.
    limit: Option<f64>,
    lowered_ms: u64,
    /// Latency and run time since the last change, as shares of the target.
    samples: Vec<(f64, f64)>,
}

impl ConcurrencyLimit {
    /// Whether one more request is admitted; `draw`, between 0 and 1, decides whether a less
    /// urgent request counts as urgent.
    pub fn admits(&self, load: &LoadAtHost, is_urgent: bool, draw: f64) -> bool {
        // Without a worker that answers, nothing is known of the wait at the others.
        if load.target_ms == 0 || load.workers <= 0.0 {
            return true;
        }
        let is_favoured = is_urgent || draw < self.settings.favoured_part || self.has_room(load);
        let part = if is_favoured { 1.0 } else { self.settings.less_urgent_part };
        load.in_flight < self.limit(load) * part
    }

    /// Whether a stream is admitted that its caller takes up again. Those of a host that has failed
    /// come to the others all at once, while the workers have lost as many requests.
    pub fn admits_resumed(&self, load: &LoadAtHost) -> bool {
        if load.target_ms == 0 || load.workers <= 0.0 {
            return true;
        }
        load.in_flight < self.limit(load) * self.settings.resumed_part
    }

    /// The most that this host may have in flight, in batches.
    ///
    /// The report of free slots may be from before a burst, so the highest limit applies all the
    /// same.
    pub fn limit(&self, load: &LoadAtHost) -> f64 {
        if self.has_room(load) {
            return self.highest(load);
        }
        let lowest = load.workers * self.settings.min_slot_share;
        self.limit.unwrap_or(f64::INFINITY).min(self.highest(load)).max(lowest)
    }

    fn has_room(&self, load: &LoadAtHost) -> bool {
        load.slot_use.is_some_and(|used| used < self.settings.min_slot_use)
    }

    /// What this host's share of the workers answers within the aimed latency, in batches. It
    /// bounds the first moments of a burst, in which no answer has been late yet.
    fn highest(&self, load: &LoadAtHost) -> f64 {
        let aimed_ms = self.settings.aimed_latency * load.target_ms as f64;
        let waiting_per_slot = aimed_ms / load.run_ms;
        load.workers * (1.0 + waiting_per_slot) * self.settings.uneven_factor
    }

    /// Time after which a rejected caller may come back, in milliseconds; `draw` lies between
    /// 0 and 1 and spreads the callers.
    pub fn retry_after_ms(&self, target_ms: u64, draw: f64) -> u64 {
        ((target_ms as f64 * self.settings.max_retry_wait * draw) as u64).max(1)
    }

    /// Records that an answer has begun while `in_flight` batches are in flight.
    ///
    /// A request that was sent before the limit was last lowered says nothing about the
    /// present limit and is ignored, and so is an answer while nothing is in flight at workers
    /// that answer.
    pub fn record(&mut self, now_ms: u64, sample: &LatencySample, in_flight: f64) {
        let is_outdated = sample.sent_ms < self.lowered_ms;
        if sample.target_ms == 0 || is_outdated || in_flight <= 0.0 {
            return;
        }
        let target_ms = sample.target_ms as f64;
        self.samples.push((sample.first_ms as f64 / target_ms, sample.run_ms / target_ms));
        if self.samples.len() < self.settings.samples_per_change {
            return;
        }
        let factor = self.factor();
        self.samples.clear();
        if factor < 1.0 {
            self.lower(now_ms, factor, in_flight);
        } else {
            self.raise(factor, in_flight);
        }
    }

    /// Factor by which the requests in flight have to change so that answers begin after the
    /// aimed time. By Little's law they change as the time from sending to the last byte does. It
    /// is taken from the median: a few slow or failing workers don't show that the others are full.
    fn factor(&mut self) -> f64 {
        self.samples.sort_by(|left, right| left.0.total_cmp(&right.0));
        let (latency, run) = self.samples[self.samples.len() / 2];
        let factor = (self.settings.aimed_latency + run) / (latency + run).max(f64::EPSILON);
        factor.clamp(self.settings.min_change, self.settings.max_change)
    }

    fn lower(&mut self, now_ms: u64, factor: f64, in_flight: f64) {
        // The latency belongs to the requests in flight, which may be fewer than the limit. They
        // count as at least half of it, since few may be in flight by chance.
        let present = self.limit.map_or(in_flight, |limit| in_flight.clamp(limit * 0.5, limit));
        self.limit = Some(present * factor);
        self.lowered_ms = now_ms;
    }

    fn raise(&mut self, factor: f64, in_flight: f64) {
        let raised = self.limit.map(|limit| limit * factor);
        self.limit = raised.filter(|limit| *limit <= in_flight * self.settings.release_factor);
    }
}
