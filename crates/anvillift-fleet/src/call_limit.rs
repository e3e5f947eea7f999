//! Limits the calls that a host has in flight at the workers of its region.
//!
//! A call has no prompt, and runs for some tens of milliseconds. A host has few of them in
//! flight, often none, so neither that number nor the time of its own answers shows that the
//! workers are full. The sums of all hosts show it 0.25 to 0.5 s late. Therefore the sums switch
//! the limit on and adjust it, and the number of calls in flight enforces it at once: together
//! the hosts aim to have no more at the workers than is answered within the target latency. A
//! host's share of that is not a whole number, so its limit is rounded up or down at random.
//!
//! `docs/design/load-shedding.md` ("Limit of calls") has the figures behind the settings.

use crate::call_load::CallLoad;

/// Settings of a [`CallLimit`].
#[derive(Clone, Debug)]
pub struct CallLimitSettings {
    /// Time from sending a call to its answer that the limit aims at, as a share of the target
    /// latency.
    pub aimed_latency: f64,
    /// Most calls for each slot that the limit aims at, those that run included. With more, no
    /// more are served, and workers reject what exceeds their queues.
    pub max_batches: f64,
    /// Smallest factor by which one report changes the limit.
    pub min_change: f64,
    /// Largest factor by which one report changes the limit.
    pub max_change: f64,
    /// Time for which the limit stays after it was lowered, in milliseconds: until then reports
    /// contain calls from before.
    pub settle_ms: u64,
    /// Shortest time between two reports that change the limit, in milliseconds. Each core host
    /// of a region reports every 250 ms.
    pub min_report_gap_ms: u64,
    /// The limit is removed once it is this multiple of what is answered in time.
    pub release_factor: f64,
    /// Time after which a host draws again whether its limit is rounded up or down, in
    /// milliseconds.
    pub draw_interval_ms: u64,
    /// Part of the limit up to which less urgent calls are admitted, but at least the slots. With
    /// 0.85, hosts with a limit of one or two calls admitted both kinds alike.
    pub less_urgent_part: f64,
    /// Part of the less urgent calls that counts as urgent, so that they are not starved.
    pub favoured_part: f64,
    /// Longest time after which a rejected caller may come back, as a share of the target
    /// latency.
    pub max_retry_wait: f64,
}

impl Default for CallLimitSettings {
    fn default() -> Self {
        Self {
            aimed_latency: 0.6,
            max_batches: 8.0,
            min_change: 0.5,
            max_change: 1.5,
            settle_ms: 600,
            min_report_gap_ms: 200,
            release_factor: 8.0,
            draw_interval_ms: 100,
            less_urgent_part: 0.6,
            favoured_part: 0.25,
            max_retry_wait: 0.35,
        }
    }
}

/// Random numbers between 0 and 1 for the decision about a call.
#[derive(Clone, Copy, Debug)]
pub struct CallDraws {
    /// Decides whether a less urgent call counts as urgent.
    pub favour: f64,
    /// Decides whether the limit is rounded up or down, until the next draw is due.
    pub rounding: f64,
}

/// Most calls that a host has in flight at the workers of its region, for one service and route.
#[derive(Clone, Debug, Default)]
pub struct CallLimit {
    settings: CallLimitSettings,
    /// Limit of all hosts, as a multiple of the calls that are answered in time; `None` while
    /// the reports show that the workers keep up.
    factor: Option<f64>,
    lowered_ms: u64,
    report_ms: Option<u64>,
    rounding: f64,
    rounded_ms: Option<u64>,
}

impl CallLimit {
    /// Whether one more call is sent to a worker.
    pub fn admits(
        &mut self,
        now_ms: u64,
        load: &CallLoad,
        is_urgent: bool,
        draws: CallDraws,
    ) -> bool {
        if load.target_ms == 0 || load.run_ms <= 0.0 || load.slots <= 0.0 {
            return true;
        }
        self.follow_report(now_ms, load);
        self.draw_rounding(now_ms, draws.rounding);
        let Some(limit) = self.limit(load) else { return true };
        let is_favoured = is_urgent || draws.favour < self.settings.favoured_part;
        let part = if is_favoured { 1.0 } else { self.settings.less_urgent_part };
        let allowed = (limit * part).max(load.slots * load.share) + self.rounding;
        // Without a report a host does not know whether there is any overload.
        let least = if load.reported.is_none() { 1.0 } else { 0.0 };
        (load.in_flight as f64) < allowed.floor().max(least)
    }

    /// The most that this host may have in flight, on average; `None` without a limit.
    pub fn limit(&self, load: &CallLoad) -> Option<f64> {
        let factor = if load.reported.is_some() { self.factor? } else { 1.0 };
        Some((factor * self.aimed_calls(load)).max(load.slots) * load.share)
    }

    /// Time after which a rejected caller may come back, in milliseconds; `draw` lies between
    /// 0 and 1 and spreads the callers.
    pub fn retry_after_ms(&self, target_ms: u64, draw: f64) -> u64 {
        ((target_ms as f64 * self.settings.max_retry_wait * draw) as u64).max(1)
    }

    /// Calls of all hosts that are answered within the aimed latency, at least the slots.
    fn aimed_calls(&self, load: &CallLoad) -> f64 {
        let aimed_ms = self.settings.aimed_latency * load.target_ms as f64;
        load.slots * (aimed_ms / load.run_ms).min(self.settings.max_batches).max(1.0)
    }

    fn follow_report(&mut self, now_ms: u64, load: &CallLoad) {
        let Some(reported) = load.reported else { return };
        let is_new = |last_ms| reported.received_ms >= last_ms + self.settings.min_report_gap_ms;
        if !self.report_ms.is_none_or(is_new) {
            return;
        }
        self.report_ms = Some(reported.received_ms);
        let (calls, aimed_calls) = (load.calls(), self.aimed_calls(load));
        if calls < load.slots {
            self.factor = None;
        } else if let Some(factor) = self.factor {
            if now_ms >= self.lowered_ms + self.settings.settle_ms {
                self.adjust(now_ms, factor, aimed_calls / calls);
            }
        } else if calls > aimed_calls {
            self.factor = Some(1.0);
            self.lowered_ms = now_ms;
        }
    }

    fn adjust(&mut self, now_ms: u64, factor: f64, change: f64) {
        if change < 1.0 {
            self.lowered_ms = now_ms;
        }
        let adjusted = factor * change.clamp(self.settings.min_change, self.settings.max_change);
        self.factor = Some(adjusted).filter(|factor| *factor < self.settings.release_factor);
    }

    fn draw_rounding(&mut self, now_ms: u64, draw: f64) {
        let is_due = |rounded_ms| now_ms >= rounded_ms + self.settings.draw_interval_ms;
        if self.rounded_ms.is_none_or(is_due) {
            self.rounding = draw;
            self.rounded_ms = Some(now_ms);
        }
    }
}
