//! Admission control: bounds the requests that a host has in flight.
//!
//! The bound limits the memory that a host uses. Each priority may fill only a
//! share of the slots, so that short interactive requests are still admitted while
//! bulk work is refused. [`Admission`] keeps the count.

use anvillift_schema::code::Code;

use crate::request::RequestFacts;

/// Share of the slots that requests of each priority may fill, in thousandths.
const SHARE_BY_PRIORITY_MILLI: [u64; 4] = [700, 800, 900, 1_000];

/// Delay after which a refused caller may retry, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// Limits that [`Admission`] enforces.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionSettings {
    /// Most requests that a host may have in flight.
    pub max_in_flight_requests: u32,
    /// Requests with less time left than this are refused, in milliseconds.
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
    /// Result code that the caller receives.
    pub code: Code,
    /// Delay after which the caller may retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// Permission to handle one request. When the request has ended, it is passed to
/// [`Admission::release`], which frees the slot.
#[derive(Debug, Eq, PartialEq)]
#[must_use]
pub struct AdmissionPermit(());

/// Counts the requests in flight on a host and admits or refuses new ones.
#[derive(Debug, Default)]
pub struct Admission {
    settings: AdmissionSettings,
    in_flight_requests: u32,
}

impl Admission {
    /// Creates an admission control with no requests in flight.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self { settings, in_flight_requests: 0 }
    }

    /// Requests that were admitted and not yet released.
    pub fn in_flight_requests(&self) -> u32 {
        self.in_flight_requests
    }

    /// Admits a request, or refuses it if its deadline is too short or the slots
    /// for its priority are full.
    pub fn admit(&mut self, request: &RequestFacts) -> Result<AdmissionPermit, Refusal> {
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
        Ok(AdmissionPermit(()))
    }

    /// Frees the slot of a request that ended.
    pub fn release(&mut self, permit: AdmissionPermit) {
        let AdmissionPermit(()) = permit;
        self.in_flight_requests -= 1;
    }
}
