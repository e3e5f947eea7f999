//! Answers to requests that get no response from a worker.

use anvillift_schema::code::Code;
use anvillift_schema::public::Outcome;
use rand::Rng;

use crate::entry::Entry;
use crate::entry::forward_headers::{NOT_RUN_HEADER, NOT_SENT};
use crate::entry::front::Origin;
use crate::respond::Reply;

/// Reason why a request gets no response from a worker, as answered to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct RequestFailure {
    /// Result code, which determines the status and whether the request was run.
    pub(crate) code: Code,
    /// Time after which a retry may succeed, in milliseconds; `None` if a retry
    /// would not help or might run the request twice.
    pub(crate) retry_after_ms: Option<u64>,
    /// Whether that time already differs between callers.
    pub(crate) is_spread: bool,
    /// Cause for the log where the code may have several, otherwise empty.
    pub(crate) cause: &'static str,
}

impl RequestFailure {
    pub(crate) const NO_WORKER: Self = Self::retryable(Code::NoUpstream, 300);
    /// This host reaches no worker, and another host has sent the request here.
    pub(crate) const NO_CONTACT: Self =
        Self::retryable(Code::NoUpstream, 300).because("this host reaches no worker of its region");
    /// The backlog of prompts takes about this long to shrink.
    pub(crate) const OVERLOADED: Self = Self::retryable(Code::Overloaded, 1_400);
    /// A brittle worker has room again when one of its requests ends.
    pub(crate) const FULL: Self = Self::retryable(Code::Overloaded, 500);
    /// A core host that has just started takes about this long to find its leader.
    pub(crate) const NO_CONFIGURATION: Self = Self::retryable(Code::NotReady, 800);
    /// Other entry hosts can take the request at once.
    pub(crate) const DRAINING: Self = Self::retryable(Code::Draining, 10);
    /// The host that began the stream tells cores about it within this time.
    pub(crate) const STREAM_UNKNOWN: Self = Self::retryable(Code::StreamUnknown, 300);
    /// The host that has forwarded the request may try another one, which has its configuration.
    pub(crate) const CONFIGURATION_BEHIND: Self = Self::retryable(Code::NotReady, 800).because(
        "the forwarding host has a newer configuration, of which this one lacks the service",
    );
    /// Hosts have different configurations for a few seconds after a change.
    pub(crate) const TEAM_UNKNOWN: Self = Self::retryable(Code::NotReady, 800)
        .because("the forwarding host names a team that is not in the configuration");
    /// A change of the configuration takes about this long to reach all hosts.
    pub(crate) const NO_COMMON_HOME: Self = Self::retryable(Code::NoUpstream, 4_000)
        .because("the homes of the route and of the team have no region in common");
    pub(crate) const KEY_MISSING: Self =
        Self::permanent(Code::UnknownKey).because("the request has no key");
    pub(crate) const KEY_UNREADABLE: Self =
        Self::permanent(Code::UnknownKey).because("the credentials have another scheme, or no key");
    pub(crate) const KEY_AMBIGUOUS: Self =
        Self::permanent(Code::UnknownKey).because("the request has several credentials");
    pub(crate) const KEY_UNKNOWN: Self =
        Self::permanent(Code::UnknownKey).because("no team has the key");
    pub(crate) const OUTCOME_UNKNOWN: Self = Self::permanent(Code::UpstreamFailed);
    pub(crate) const STOPPED: Self = Self::permanent(Code::HostStopped);
    pub(crate) const TIMED_OUT: Self = Self::permanent(Code::UpstreamTimeout);
    pub(crate) const NO_ROUTE: Self = Self::permanent(Code::NotFound);
    pub(crate) const NO_REQUEST_ID: Self = Self::permanent(Code::MalformedRequest);

    /// Every worker has asked for a pause; the time is already spread.
    pub(crate) const fn paused(retry_after_ms: u64) -> Self {
        Self { is_spread: true, ..Self::retryable(Code::UpstreamsPaused, retry_after_ms) }
    }

    /// Every worker has named a limit, and this host has no turn; the time is already
    /// spread.
    pub(crate) const fn limited(retry_after_ms: u64) -> Self {
        Self { is_spread: true, ..Self::retryable(Code::UpstreamsLimited, retry_after_ms) }
    }

    /// This host has as many requests in flight as the workers answer in time, or the team is above
    /// its share while the service is overloaded; the time is already spread.
    pub(crate) const fn at_limit(retry_after_ms: u64) -> Self {
        Self { is_spread: true, ..Self::retryable(Code::Overloaded, retry_after_ms) }
    }

    /// The team is above its quota; the time is already spread.
    pub(crate) const fn team_limit(retry_after_ms: u64) -> Self {
        Self { is_spread: true, ..Self::retryable(Code::TeamLimit, retry_after_ms) }
    }

    /// Requests like this one crash workers.
    pub(crate) const fn quarantined(retry_after_ms: u64) -> Self {
        Self::retryable(Code::RequestQuarantined, retry_after_ms)
    }

    const fn retryable(code: Code, retry_after_ms: u64) -> Self {
        Self { code, retry_after_ms: Some(retry_after_ms), is_spread: false, cause: "" }
    }

    const fn permanent(code: Code) -> Self {
        Self { code, retry_after_ms: None, is_spread: false, cause: "" }
    }

    const fn because(self, cause: &'static str) -> Self {
        Self { cause, ..self }
    }
}

impl Entry {
    /// Builds the answer to a failed request. To another entry host it states
    /// that no worker has run the request, if that is certain.
    pub(crate) fn failure_reply(&self, failure: RequestFailure, origin: Origin) -> Reply {
        let code = failure.code;
        let mut reply = self.node.error_reply(code, code.title());
        if origin == Origin::Host && code.outcome() == Outcome::NotRun {
            let is_unsent = [RequestFailure::NO_CONTACT, RequestFailure::CONFIGURATION_BEHIND]
                .contains(&failure);
            let value = if is_unsent { NOT_SENT } else { "1" };
            reply.headers.push(NOT_RUN_HEADER, value);
        }
        match failure.retry_after_ms {
            Some(retry_after_ms) if failure.is_spread => reply.retry_after_ms(retry_after_ms),
            Some(retry_after_ms) => {
                // Jitter keeps callers that are rejected at the same time from retrying together.
                let jitter = self.dispatch.borrow_mut().rng.random_range(0.75..1.5);
                reply.retry_after_ms((retry_after_ms as f64 * jitter) as u64)
            }
            None => reply,
        }
    }
}
