//! How many requests a host takes at once.
//!
//! Memory bounds the requests in flight. Higher priorities may use the last
//! slots, so that quick questions still enter while bulk work is refused.
//! Start at [`Admission`].

use anvillift_schema::code::Code;

use crate::request::RequestFacts;

/// Share of the slots that each priority may fill, in thousandths.
const SHARE_BY_PRIORITY_MILLI: [u64; 4] = [700, 800, 900, 1_000];

/// When a refused caller may come back, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// Settings of [`Admission`].
#[derive(Clone, Copy, Debug)]
pub struct AdmissionSettings {
    /// Requests in flight at most.
    pub max_in_flight_requests: u32,
    /// Shortest deadline that is worth an attempt, in milliseconds.
    pub min_deadline_ms: u64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self { max_in_flight_requests: 8_192, min_deadline_ms: 10 }
    }
}

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Result code.
    pub code: Code,
    /// When to come back, in milliseconds.
    pub retry_after_ms: u64,
}

/// Leave to handle one request; given back by [`Admission::release`].
#[derive(Debug, Eq, PartialEq)]
#[must_use]
pub struct Ticket(());

/// Requests in flight on a host.
#[derive(Debug, Default)]
pub struct Admission {
    settings: AdmissionSettings,
    in_flight_requests: u32,
}

impl Admission {
    /// Admission with nothing in flight.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self { settings, in_flight_requests: 0 }
    }

    /// Requests in flight.
    pub fn in_flight_requests(&self) -> u32 {
        self.in_flight_requests
    }

    /// Admits a request or says when to come back.
    pub fn admit(&mut self, request: &RequestFacts) -> Result<Ticket, Refusal> {
        if request.deadline_ms < self.settings.min_deadline_ms {
            return Err(Refusal { code: Code::DeadlineInfeasible, retry_after_ms: RETRY_AFTER_MS });
        }
        let highest = SHARE_BY_PRIORITY_MILLI.len() - 1;
        let share_milli = SHARE_BY_PRIORITY_MILLI[(request.priority as usize).min(highest)];
        let limit = u64::from(self.settings.max_in_flight_requests) * share_milli / 1_000;
        if u64::from(self.in_flight_requests) >= limit {
            return Err(Refusal { code: Code::Overloaded, retry_after_ms: RETRY_AFTER_MS });
        }
        self.in_flight_requests += 1;
        Ok(Ticket(()))
    }

    /// Takes back the ticket of a request that ended.
    pub fn release(&mut self, ticket: Ticket) {
        let Ticket(()) = ticket;
        self.in_flight_requests -= 1;
    }
}
