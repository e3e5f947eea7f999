//! Quotas of teams at an entry host: counts the requests of callers, lets them wait for grants,
//! and asks the owner. The decisions are those of [`QuotaHost`].

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use anvillift_fleet::{
    GRANT_WAIT_MS, Prompt, QuotaDecision, QuotaHost, QuotaQuestion, QuotaRefusal, QuotaUnit,
    TeamQuota,
};
use anvillift_http::Connection;
use anvillift_schema::event::Event;
use anvillift_schema::fleet::{FleetFrame, FleetHostRole, FleetQuotaGranted};
use anvillift_schema::name::Name;
use rand::Rng;
use tokio::sync::{Notify, oneshot};
use tokio::time;

use crate::clock;
use crate::entry::Entry;
use crate::entry::counted_quota::CountedQuota;
use crate::entry::front::Origin;
use crate::entry::request::Request;
use crate::entry::request_failure::RequestFailure;
use crate::log_budget::LogBudget;

/// Interval at which a host without quotas checks for a configuration with quotas.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Most log lines about refused requests within a second.
const MAX_REFUSAL_LINES_PER_S: u32 = 20;
/// Most log lines about the owner within a second.
const MAX_OWNER_LINES_PER_S: u32 = 4;

/// How the count of a request ended.
pub(super) enum QuotaOutcome<'a> {
    /// The request may be sent.
    Counted(CountedQuota<'a>),
    /// The quota has no room for the request.
    Refused(RequestFailure),
    /// The caller closed its connection.
    CallerLeft,
}

/// Quotas of an entry host and the requests that wait for grants.
pub(super) struct Quotas {
    pub(super) host: RefCell<QuotaHost>,
    waiting: RefCell<BTreeMap<u64, oneshot::Sender<QuotaDecision>>>,
    /// Wakes the task that asks the owner.
    question_due: Notify,
    refusal_lines: LogBudget,
    owner_lines: LogBudget,
}

impl Quotas {
    pub(super) fn new(host: &str) -> Self {
        Self {
            host: RefCell::new(QuotaHost::new(host)),
            waiting: RefCell::default(),
            question_due: Notify::new(),
            refusal_lines: LogBudget::new(MAX_REFUSAL_LINES_PER_S),
            owner_lines: LogBudget::new(MAX_OWNER_LINES_PER_S),
        }
    }
}

impl Entry {
    /// Counts a request of a caller against the quota of its team. Waits for a grant of the
    /// owner if that is necessary.
    pub(super) async fn count_quota<'a>(
        &'a self,
        caller: &mut Connection,
        request: &Request,
    ) -> QuotaOutcome<'a> {
        let team = request.team.as_ref().filter(|_| request.origin == Origin::Caller);
        let Some((team, quota)) = team.and_then(|team| Some((team, team.quota?))) else {
            return QuotaOutcome::Counted(CountedQuota::new(self, None, false));
        };
        let amount = amount(&quota, &request.prompt);
        let now_ms = clock::now_ms();
        let mut decision = self.quotas.host.borrow_mut().count(now_ms, &team.name, &quota, amount);
        let has_waited = matches!(decision, QuotaDecision::Waiting(_));
        if let QuotaDecision::Waiting(number) = decision {
            match self.wait_for_grant(caller, request, number).await {
                Some(decided) => decision = decided,
                None => return QuotaOutcome::CallerLeft,
            }
            let waited_ms = clock::now_ms().saturating_sub(now_ms);
            metrics::histogram!("anvillift_quota_wait_ms").record(waited_ms as f64);
        }
        match decision {
            QuotaDecision::Admitted(used) => {
                record_amount("admitted", &used.source.to_string(), amount);
                QuotaOutcome::Counted(CountedQuota::new(self, Some(used), has_waited))
            }
            QuotaDecision::Refused(refusal) => {
                record_amount("refused", &refusal.source.to_string(), amount);
                QuotaOutcome::Refused(self.refuse_quota(request, amount, &refusal))
            }
            // The request was neither decided nor waiting any more; the caller may retry.
            QuotaDecision::Waiting(_) => {
                QuotaOutcome::Refused(RequestFailure::team_limit(GRANT_WAIT_MS))
            }
        }
    }

    /// Waits for the decision about a request. After the timeout, this host's own share
    /// decides. `None` only if the caller has closed its connection.
    async fn wait_for_grant(
        &self,
        caller: &mut Connection,
        request: &Request,
        number: u64,
    ) -> Option<QuotaDecision> {
        let (decided, mut decision) = oneshot::channel();
        self.quotas.waiting.borrow_mut().insert(number, decided);
        self.quotas.question_due.notify_one();
        let wait = Duration::from_millis(request.remaining_ms().min(GRANT_WAIT_MS));
        let outcome = tokio::select! {
            biased;
            decided = time::timeout(wait, &mut decision) => {
                let decided = decided.ok().and_then(Result::ok);
                let own_share =
                    || self.quotas.host.borrow_mut().stop_waiting(clock::now_ms(), number);
                decided.or_else(own_share).or(Some(QuotaDecision::Waiting(number)))
            }
            () = caller.wait_for_close() => None,
        };
        self.quotas.waiting.borrow_mut().remove(&number);
        if outcome.is_none() {
            self.quotas.host.borrow_mut().cancel(number);
            if let Ok(QuotaDecision::Admitted(used)) = decision.try_recv() {
                self.quotas.host.borrow_mut().give_back(&used);
            }
        }
        outcome
    }

    fn refuse_quota(
        &self,
        request: &Request,
        amount: u64,
        refusal: &QuotaRefusal,
    ) -> RequestFailure {
        if let Some(omitted) = self.quotas.refusal_lines.take(clock::now_ms()) {
            log::info!(
                event = Event::QuotaExceeded.number(), id = request.id.as_str(),
                team = request.team_text(), wanted = amount,
                available = refusal.available_milli / 1_000, source = refusal.source.to_string(),
                retry_ms = refusal.retry_after_ms, omitted = omitted;
                "request refused: its team is above its quota"
            );
        }
        // Callers that are refused at the same time should not return together, and none
        // before the quota has room.
        let spread = self.dispatch.borrow_mut().rng.random_range(1.0..1.5);
        RequestFailure::team_limit((refusal.retry_after_ms as f64 * spread).ceil() as u64)
    }

    /// Asks the owner for what requests want, while the configuration has quotas.
    pub(super) async fn run_quota_questions(self: Rc<Self>) {
        loop {
            if !self.has_quotas() {
                time::sleep(CHECK_INTERVAL).await;
                continue;
            }
            let now_ms = clock::now_ms();
            let due_ms = self.quotas.host.borrow().next_question_ms(now_ms);
            if due_ms > now_ms {
                let pause = Duration::from_millis(due_ms - now_ms);
                time::timeout(pause, self.quotas.question_due.notified()).await.ok();
                continue;
            }
            self.ask_quota_owner(now_ms);
        }
    }

    fn has_quotas(&self) -> bool {
        let view = self.node.view.borrow();
        let configuration = view.configuration.as_ref();
        configuration.is_some_and(|configuration| {
            configuration.teams.values().any(|team| team.quota.is_some())
        })
    }

    fn ask_quota_owner(&self, now_ms: u64) {
        let question = {
            let view = self.node.view.borrow();
            let is_complete = view.hosts.are_all_regions_reachable(now_ms);
            let mut host = self.quotas.host.borrow_mut();
            host.set_hosts(view.hosts.entry_count(), is_complete);
            if let Some(silent_ms) = host.lose_silent_owner(now_ms) {
                metrics::counter!("anvillift_quota_owner_lost_total").increment(1);
                self.log_owner_lost(now_ms, host.term(), silent_ms);
            }
            let has_owner = f64::from(u8::from(host.owner().is_some()));
            metrics::gauge!("anvillift_quota_has_owner").set(has_owner);
            metrics::gauge!("anvillift_quota_teams").set(host.team_count() as f64);
            host.take_question(now_ms)
        };
        let Some(QuotaQuestion { owner, frame }) = question else { return };
        let Some(hub) = self.node.hub() else { return };
        let receivers = owner.map_or_else(|| self.quota_cores(), |owner| vec![owner]);
        for core in receivers {
            hub.send(&core, FleetFrame::QuotaWanted(frame.clone()));
        }
    }

    fn log_owner_lost(&self, now_ms: u64, term: u64, silent_ms: u64) {
        if let Some(omitted) = self.quotas.owner_lines.take(now_ms) {
            log::warn!(
                event = Event::QuotaOwnerLost.number(), term = term, age_ms = silent_ms,
                omitted = omitted;
                "no answer from the owner of the quotas; this host spends its own share"
            );
        }
    }

    /// Linked core hosts that understand the frames about quotas.
    fn quota_cores(&self) -> Vec<Name> {
        let Some(hub) = self.node.hub() else { return Vec::new() };
        let view = self.node.view.borrow();
        let is_asked = |name: &Name| {
            let host = view.hosts.get(name);
            host.is_some_and(|host| host.role == FleetHostRole::Core && host.shares_quotas)
        };
        let mut names = hub.connected();
        names.retain(is_asked);
        names
    }

    /// Takes over an answer of the owner, and wakes the requests that it decides about.
    pub(super) fn on_quota_granted(&self, from: &Name, granted: &FleetQuotaGranted) {
        let now_ms = clock::now_ms();
        let answer = self.quotas.host.borrow_mut().on_granted(now_ms, from, granted);
        if let Some(waited_ms) = answer.waited_ms {
            metrics::histogram!("anvillift_quota_answer_ms").record(waited_ms as f64);
        }
        if answer.is_new_owner
            && let Some(omitted) = self.quotas.owner_lines.take(now_ms)
        {
            log::info!(
                event = Event::QuotaOwnerFound.number(), owner = from.as_str(),
                term = granted.term, age_ms = answer.waited_ms.unwrap_or_default(),
                omitted = omitted;
                "this host has an owner of the quotas"
            );
        }
        for (number, decision) in answer.decisions {
            let decided = self.quotas.waiting.borrow_mut().remove(&number);
            let unheard = match decided {
                Some(decided) => decided.send(decision).err(),
                None => Some(decision),
            };
            if let Some(QuotaDecision::Admitted(used)) = unheard {
                self.quotas.host.borrow_mut().give_back(&used);
            }
        }
    }
}

/// What a request counts against a quota.
fn amount(quota: &TeamQuota, prompt: &Prompt) -> u64 {
    match quota.unit {
        QuotaUnit::Requests => 1,
        QuotaUnit::Tokens { plain_tokens } => {
            let tokens = prompt.input_tokens.saturating_add(prompt.output_tokens);
            if tokens == 0 { plain_tokens } else { tokens }
        }
    }
}

fn record_amount(outcome: &'static str, source: &str, amount: u64) {
    let labels = [("outcome", outcome.to_owned()), ("source", source.to_owned())];
    metrics::counter!("anvillift_quota_amount_total", &labels).increment(amount);
    metrics::counter!("anvillift_quota_requests_total", &labels).increment(1);
}
