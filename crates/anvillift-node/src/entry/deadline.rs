//! Rejection of requests that can't begin before their deadline, with and without a prompt. The
//! policy is [`slot_wait`].

use anvillift_fleet::{SlotWait, admission, slot_wait};
use anvillift_schema::event::Event;
use rand::Rng;

use crate::entry::Entry;
use crate::entry::request::Request;
use crate::entry::request_failure::RequestFailure;
use crate::fleet_view::FleetView;

impl Entry {
    /// The failure with which a request that is about to be sent to a worker of this region is
    /// rejected since its deadline is too close, or `None`.
    pub(super) fn deadline_failure(&self, request: &Request) -> Option<RequestFailure> {
        let view = self.node.view.borrow();
        let remaining_ms = request.remaining_ms();
        let wait_ms = self.slot_wait_ms(&view, request).max(self.backlog_wait_ms(&view, request));
        if !slot_wait::is_too_late(remaining_ms, wait_ms) {
            return None;
        }
        metrics::counter!("anvillift_rejected_for_deadline_total").increment(1);
        log::info!(
            event = Event::RequestTooLate.number(), id = request.id.as_str(),
            route = request.route.name.as_str(), service = request.service.as_str(),
            remaining_ms = remaining_ms, wait_ms = wait_ms as u64,
            input_tokens = request.prompt.input_tokens, team = request.team_text();
            "request rejected: it could not begin before its deadline"
        );
        let spread = self.dispatch.borrow_mut().rng.random_range(0.5..1.5);
        Some(RequestFailure::at_limit((wait_ms * spread) as u64 + 1))
    }

    /// Time until a worker of this region has a free slot, in milliseconds.
    fn slot_wait_ms(&self, view: &FleetView, request: &Request) -> f64 {
        if request.prompt.input_tokens == 0 {
            let load = self.call_load(view, request);
            let requests = load.reported.map(|_| load.calls());
            return SlotWait { requests, slots: load.slots, run_ms: load.run_ms }.wait_ms();
        }
        let load = self.load_at_host(view, request);
        let workers = self.ready_workers(view, request, &self.node.settings.region);
        let slots = workers.iter().map(|worker| worker.report.slots).sum::<u64>() as f64;
        let requests = load.slot_use.map(|used| used * slots);
        SlotWait { requests, slots, run_ms: load.run_ms }.wait_ms()
    }

    /// Time until the workers of this region have processed the prompts that they have, in
    /// milliseconds; 0 for a short prompt, which is processed beside them.
    fn backlog_wait_ms(&self, view: &FleetView, request: &Request) -> f64 {
        if !admission::may_reject(&request.prompt) {
            return 0.0;
        }
        let Some(tokens) = self.backlog_tokens(view, request) else { return 0.0 };
        let dispatch = self.dispatch.borrow();
        let speed = dispatch.prompt_speeds.get(&request.service).copied().unwrap_or_default();
        speed.duration_ms(tokens)
    }
}
