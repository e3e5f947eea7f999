//! The requests that this host has in flight at each worker.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;

use crate::in_flight::InFlight;
use crate::in_flight_request::InFlightRequest;
use crate::prompt::Prompt;

/// Requests of this host at one worker.
#[derive(Clone, Debug, Default)]
struct WorkerRequests {
    in_flight: InFlight,
    /// When the requests were sent, in milliseconds, in ascending order.
    sent_ms: Vec<u64>,
}

/// Requests in flight by worker.
#[derive(Clone, Debug, Default)]
pub struct InFlightTable {
    by_worker: BTreeMap<Name, WorkerRequests>,
}

impl InFlightTable {
    /// Counts a request that is sent to a worker.
    pub fn begin(&mut self, now_ms: u64, worker: &Name, prompt: &Prompt) -> InFlightRequest {
        let at_worker = self.by_worker.entry(worker.clone()).or_default();
        at_worker.in_flight += InFlight { requests: 1, unprocessed_tokens: prompt.input_tokens };
        let index = at_worker.sent_ms.partition_point(|sent_ms| *sent_ms <= now_ms);
        at_worker.sent_ms.insert(index, now_ms);
        InFlightRequest {
            worker: worker.clone(),
            unprocessed_tokens: prompt.input_tokens,
            sent_ms: now_ms,
        }
    }

    /// Subtracts the prompt tokens of a request whose answer has begun: the worker
    /// has processed its prompt.
    pub fn prompt_processed(&mut self, in_flight_request: &mut InFlightRequest) {
        let processed_tokens = std::mem::take(&mut in_flight_request.unprocessed_tokens);
        if let Some(at_worker) = self.by_worker.get_mut(&in_flight_request.worker) {
            let in_flight = &mut at_worker.in_flight;
            in_flight.unprocessed_tokens =
                in_flight.unprocessed_tokens.saturating_sub(processed_tokens);
        }
    }

    /// Subtracts a request that has ended, and its prompt tokens if its answer never began.
    pub fn end(&mut self, mut in_flight_request: InFlightRequest) {
        self.prompt_processed(&mut in_flight_request);
        if let Some(at_worker) = self.by_worker.get_mut(&in_flight_request.worker) {
            let in_flight = &mut at_worker.in_flight;
            in_flight.requests = in_flight.requests.saturating_sub(1);
            if let Ok(index) = at_worker.sent_ms.binary_search(&in_flight_request.sent_ms) {
                at_worker.sent_ms.remove(index);
            }
            if at_worker.in_flight.requests == 0 {
                self.by_worker.remove(&in_flight_request.worker);
            }
        }
    }

    /// Requests in flight at a worker.
    pub fn in_flight_at(&self, worker: &str) -> InFlight {
        self.by_worker.get(worker).map(|at_worker| at_worker.in_flight).unwrap_or_default()
    }

    /// Number of requests in flight at a worker that were sent at `since_ms` or later.
    pub fn sent_since(&self, worker: &str, since_ms: u64) -> u64 {
        let Some(at_worker) = self.by_worker.get(worker) else { return 0 };
        let older = at_worker.sent_ms.partition_point(|sent_ms| *sent_ms < since_ms);
        (at_worker.sent_ms.len() - older) as u64
    }
}
