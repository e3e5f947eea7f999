//! Handling of calls that entry and core hosts share: answers to directory calls,
//! error answers, and the log line and metric of each call.

use anvillift_fleet::directory;
use anvillift_fleet::directory::Question;
use anvillift_http::RequestHead;
use anvillift_schema::code::Code;
use anvillift_schema::event::Event;

use crate::clock;
use crate::dialect::CallError;
use crate::node::Node;
use crate::respond::Reply;

/// `Retry-After` of a call that this host can't serve yet, in milliseconds.
const RETRY_AFTER_MS: u64 = 300;

impl Node {
    /// Answers a directory call with the entry hosts that a caller in `region` and
    /// `data_centre` should use.
    pub(crate) fn resolve(&self, region: &str, data_centre: &str) -> Reply {
        let own_name = self.own_host().name;
        let question = Question { region, data_centre, answering_host: &own_name };
        let addresses = directory::addresses(&self.view.borrow().hosts, clock::now_ms(), &question);
        if addresses.is_empty() {
            return self.retry_later_reply(Code::NotReady, "no entry host is ready");
        }
        let ttl_s = self.settings.directory_ttl_s;
        Reply::new(200, (self.dialect.encode_addresses)(&addresses, ttl_s))
    }

    /// Builds an error answer with a `Retry-After` field.
    pub(crate) fn retry_later_reply(&self, code: Code, detail: &str) -> Reply {
        self.error_reply(code, detail).retry_after_ms(RETRY_AFTER_MS)
    }

    /// Logs a call that is unknown, malformed or invalid and builds its answer.
    pub(crate) fn reject_call(&self, head: &RequestHead, error: &CallError) -> Reply {
        let code = match error {
            CallError::Unknown => Code::NotFound,
            CallError::Unreadable { .. } => Code::MalformedRequest,
            CallError::Invalid { .. } => Code::ChangeInvalid,
        };
        log::info!(
            event = Event::CallAnswered.number(), code = code.number(), status = code.status(),
            target = head.target.as_str();
            "call rejected: {error}"
        );
        self.error_reply(code, &error.to_string())
    }

    /// Logs an answered call and records its duration.
    pub(crate) fn record_call(
        &self,
        call: &'static str,
        head: &RequestHead,
        status: u16,
        began_ms: u64,
    ) {
        let took_ms = clock::now_ms() - began_ms;
        metrics::histogram!("anvillift_call_ms", "call" => call).record(took_ms as f64);
        log::info!(
            event = Event::CallAnswered.number(), call = call, status = status,
            target = head.target.as_str(), took_ms = took_ms,
            version = self.view.borrow().control.version;
            "call answered"
        );
    }
}
