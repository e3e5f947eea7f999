//! The final answer of a request that is given up on.

use anvillift_fleet::verdict::Final;
use anvillift_schema::code::Code;
use anvillift_schema::public::Outcome;
use rand::Rng;

use crate::entry::Entry;
use crate::entry::attempt::NOT_RUN_THERE;
use crate::entry::front::Origin;
use crate::respond::Reply;

/// Why a request has no answer of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct GivenUp {
    /// Numbered code, with its status and outcome.
    pub(crate) code: Code,
    /// When to come back, in milliseconds, where that may help.
    pub(crate) retry_after_ms: Option<u64>,
}

impl GivenUp {
    pub(crate) const NO_WORKER: Self = Self::retry(Code::NoUpstream, 300);
    /// A core that has just started needs about as long to find its leader.
    pub(crate) const NO_CONFIGURATION: Self = Self::retry(Code::NotReady, 800);
    /// Other hosts take the request at once.
    pub(crate) const LEAVING: Self = Self::retry(Code::Draining, 10);
    pub(crate) const UNKNOWN: Self = Self::last(Code::UpstreamBroke);
    pub(crate) const TIMED_OUT: Self = Self::last(Code::UpstreamTimeout);
    pub(crate) const NO_ROUTE: Self = Self::last(Code::NotFound);
    pub(crate) const NO_ID: Self = Self::last(Code::MalformedRequest);

    /// What a finding about a request comes to.
    pub(crate) fn of(end: Final) -> Self {
        match end {
            Final::Refused => Self::NO_WORKER,
            Final::TimedOut => Self::TIMED_OUT,
            Final::Unknown | Final::PassOn => Self::UNKNOWN,
        }
    }

    const fn retry(code: Code, retry_after_ms: u64) -> Self {
        Self { code, retry_after_ms: Some(retry_after_ms) }
    }

    const fn last(code: Code) -> Self {
        Self { code, retry_after_ms: None }
    }
}

impl Entry {
    /// The answer to a request that is given up on.
    pub(crate) fn give_up(&self, given_up: GivenUp, origin: Origin) -> Reply {
        let code = given_up.code;
        let mut reply = self.node.coded(code, code.title());
        if origin == Origin::Host && code.outcome() == Outcome::NotRun {
            reply.headers.push(NOT_RUN_THERE, "1");
        }
        match given_up.retry_after_ms {
            Some(retry_after_ms) => {
                // Callers that are refused together should not return together.
                let spread = self.load.borrow_mut().rng.random_range(0.75..1.5);
                reply.retry_after_ms((retry_after_ms as f64 * spread) as u64)
            }
            None => reply,
        }
    }
}
