//! The requests that this host has in flight at each worker.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;

use crate::in_flight::InFlight;
use crate::in_flight_request::InFlightRequest;
use crate::prompt::Prompt;

/// Requests in flight by worker.
#[derive(Clone, Debug, Default)]
pub struct InFlightTable {
    by_worker: BTreeMap<Name, InFlight>,
}

impl InFlightTable {
    /// Counts a request that is sent to a worker.
    pub fn begin(&mut self, worker: &Name, prompt: &Prompt) -> InFlightRequest {
        let in_flight = self.by_worker.entry(worker.clone()).or_default();
        *in_flight += InFlight { requests: 1, unprocessed_tokens: prompt.input_tokens };
        InFlightRequest { worker: worker.clone(), unprocessed_tokens: prompt.input_tokens }
    }

    /// Subtracts the prompt tokens of a request whose answer has begun: the worker
    /// has processed its prompt.
    pub fn prompt_processed(&mut self, in_flight_request: &mut InFlightRequest) {
        let processed_tokens = std::mem::take(&mut in_flight_request.unprocessed_tokens);
        if let Some(in_flight) = self.by_worker.get_mut(&in_flight_request.worker) {
            in_flight.unprocessed_tokens =
                in_flight.unprocessed_tokens.saturating_sub(processed_tokens);
        }
    }

    /// Subtracts a request that has ended, and its prompt tokens if its answer never began.
    pub fn end(&mut self, mut in_flight_request: InFlightRequest) {
        self.prompt_processed(&mut in_flight_request);
        if let Some(in_flight) = self.by_worker.get_mut(&in_flight_request.worker) {
            in_flight.requests = in_flight.requests.saturating_sub(1);
            if in_flight.requests == 0 {
                self.by_worker.remove(&in_flight_request.worker);
            }
        }
    }

    /// Requests in flight at a worker.
    pub fn in_flight_at(&self, worker: &str) -> InFlight {
        self.by_worker.get(worker).copied().unwrap_or_default()
    }
}
