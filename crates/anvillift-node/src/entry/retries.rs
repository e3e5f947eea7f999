//! This host's share of the retry budgets: whether a request may be tried again.
//!
//! The policy is [`RetryShare`](anvillift_fleet::RetryShare). Each decision that spends of
//! the budget, or finds it spent, is logged with what it was based on.

use anvillift_schema::event::Event;

use crate::clock;
use crate::entry::Entry;
use crate::entry::attempts::Attempts;
use crate::entry::request::Request;

impl Entry {
    /// Whether the retry budget and the targets left allow another attempt now.
    pub(crate) fn can_try_another(&self, request: &Request, attempts: &Attempts) -> bool {
        let now_ms = clock::now_ms();
        if self.is_suspected(request) {
            return false;
        }
        let hosts = self.sharing_hosts(now_ms);
        let allows = hosts.is_some_and(|hosts| {
            self.dispatch.borrow_mut().retries.allows(now_ms, &request.service, hosts)
        });
        allows && self.next_target(request, attempts).is_some()
    }

    /// Takes a retry from the retry budget of the service of a request, and returns whether
    /// there was one.
    pub(crate) fn spend_retry(&self, request: &Request) -> bool {
        let now_ms = clock::now_ms();
        let Some(hosts) = self.sharing_hosts(now_ms) else { return false };
        let (state, is_allowed) = {
            let retries = &mut self.dispatch.borrow_mut().retries;
            let state = retries.state(now_ms, &request.service, hosts);
            (state, retries.try_spend(now_ms, &request.service, hosts))
        };
        let result = if is_allowed { "allowed" } else { "refused" };
        metrics::counter!("anvillift_retries_total", "result" => result).increment(1);
        log::info!(
            event = Event::RetryDecided.number(), id = request.id.as_str(),
            service = request.service.as_str(), is_allowed = is_allowed, hosts = hosts,
            requests = state.requests, earned_spent = state.earned_spent,
            allowance_spent = state.allowance_spent, allowance = state.allowance,
            uptime_ms = now_ms - self.started_ms;
            "retry {result} by the retry budget"
        );
        is_allowed
    }

    /// Number of entry hosts that share limits, including this one. `None` while
    /// this host is disconnected from the others and may not use its share.
    fn sharing_hosts(&self, now_ms: u64) -> Option<usize> {
        let view = self.node.view.borrow();
        view.hosts.may_use_share(now_ms).then(|| view.hosts.entry_count())
    }
}
