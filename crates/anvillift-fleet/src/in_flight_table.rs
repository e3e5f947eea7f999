//! The requests that this host has in flight at each worker.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;

use crate::flight::Flight;
use crate::in_flight::InFlight;
use crate::prompt::Prompt;

/// Requests in flight by worker.
#[derive(Clone, Debug, Default)]
pub struct InFlightTable {
    by_worker: BTreeMap<Name, InFlight>,
}

impl InFlightTable {
    /// Counts a request that is sent to a worker.
    pub fn begin(&mut self, worker: &Name, prompt: &Prompt) -> Flight {
        let work = self.by_worker.entry(worker.clone()).or_default();
        *work += InFlight { requests: 1, unread_tokens: prompt.input_tokens };
        Flight { worker: worker.clone(), unread_tokens: prompt.input_tokens }
    }

    /// Subtracts the prompt tokens of a request whose answer has begun: the worker
    /// has read its prompt.
    pub fn read(&mut self, flight: &mut Flight) {
        let read_tokens = std::mem::take(&mut flight.unread_tokens);
        if let Some(work) = self.by_worker.get_mut(&flight.worker) {
            work.unread_tokens = work.unread_tokens.saturating_sub(read_tokens);
        }
    }

    /// Subtracts a request that has ended, and its prompt tokens if its answer never began.
    pub fn end(&mut self, mut flight: Flight) {
        self.read(&mut flight);
        if let Some(work) = self.by_worker.get_mut(&flight.worker) {
            work.requests = work.requests.saturating_sub(1);
            if work.requests == 0 {
                self.by_worker.remove(&flight.worker);
            }
        }
    }

    /// Requests in flight at a worker.
    pub fn at(&self, worker: &str) -> InFlight {
        self.by_worker.get(worker).copied().unwrap_or_default()
    }
}
