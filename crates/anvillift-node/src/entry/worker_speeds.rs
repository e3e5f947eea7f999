//! Records how slow workers are, with a log line for a large change and a metric for
//! each service. The estimate is [`WorkerSpeeds`](anvillift_fleet::WorkerSpeeds).

use std::collections::BTreeMap;

use anvillift_fleet::WorkerStart;
use anvillift_schema::event::Event;
use anvillift_schema::name::Name;

use crate::clock;
use crate::entry::Entry;
use crate::entry::request::Request;
use crate::entry::target::Target;

impl Entry {
    /// Records that a worker of this region began to answer. Only an answer with a status
    /// of success counts, as failures are often fast.
    pub(super) fn record_worker_speed(
        &self,
        request: &Request,
        target: &Target,
        first_ms: u64,
        status: u16,
    ) {
        if !(200..300).contains(&status) {
            return;
        }
        let worker = WorkerStart { id: target.name.clone(), born_ms: target.born_ms };
        let (now_ms, route) = (clock::now_ms(), &request.route.name);
        let mut dispatch = self.dispatch.borrow_mut();
        let in_flight = dispatch.in_flight(&worker.id);
        let speeds = &mut dispatch.worker_speeds;
        let change = speeds.record(now_ms, &worker, route, &request.prompt, first_ms);
        let Some(change) = change else { return };
        log::info!(
            event = Event::WorkerSpeedChanged.number(), id = request.id.as_str(),
            worker = worker.id.as_str(), born_ms = worker.born_ms,
            service = request.service.as_str(), route = route.as_str(),
            previous = change.previous, slowness = change.slowness, first_ms = first_ms,
            usual_ms = change.usual_ms as u64, input_tokens = request.prompt.input_tokens,
            in_flight = in_flight.requests, previous_age_ms = change.previous_age_ms;
            "the estimate of the speed of a worker has changed"
        );
    }

    /// Sets the spread of the estimates of each service: the highest over the lowest.
    pub(super) fn export_speed_metrics(&self) {
        let now_ms = clock::now_ms();
        let view = self.node.view.borrow();
        let dispatch = self.dispatch.borrow();
        let mut ranges: BTreeMap<&Name, (f64, f64)> = BTreeMap::new();
        for (worker, slowness) in dispatch.worker_speeds.iter(now_ms) {
            let Some(entry) = view.workers.get(&worker.id) else { continue };
            let range = ranges.entry(&entry.report.service).or_insert((slowness, slowness));
            *range = (range.0.min(slowness), range.1.max(slowness));
        }
        for (service, (lowest, highest)) in ranges {
            metrics::gauge!("anvillift_worker_latency_spread", "service" => service.to_string())
                .set(highest / lowest);
        }
    }
}
