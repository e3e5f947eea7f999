//! What every host does with the calls that it takes.

use anvillift_fleet::directory;
use anvillift_http::RequestHead;
use anvillift_schema::code::Code;
use anvillift_schema::event::Event;

use crate::clock;
use crate::dialect::CallError;
use crate::node::Node;
use crate::respond::Reply;

/// When to come back to a host that can't answer a call yet, in milliseconds.
const RETRY_AFTER_MS: u64 = 300;

impl Node {
    /// The entry hosts that a caller in a region is told to use.
    pub(crate) fn resolve(&self, region: &str) -> Reply {
        let addresses = directory::addresses(&self.known.borrow().hosts, clock::now_ms(), region);
        if addresses.is_empty() {
            return self.unavailable(Code::NotReady, "no entry host is ready");
        }
        let ttl_s = self.settings.directory_ttl_s;
        Reply::new(200, (self.dialect.encode_addresses)(&addresses, ttl_s))
    }

    /// Asks a caller to come back.
    pub(crate) fn unavailable(&self, code: Code, detail: &str) -> Reply {
        self.coded(code, detail).retry_after_ms(RETRY_AFTER_MS)
    }

    /// Refuses a call that can't be read or taken.
    pub(crate) fn refuse_call(&self, head: &RequestHead, error: &CallError) -> Reply {
        let code = match error {
            CallError::Unknown => Code::NotFound,
            CallError::Unreadable { .. } => Code::MalformedRequest,
            CallError::Invalid { .. } => Code::ChangeInvalid,
        };
        log::info!(
            event = Event::CallAnswered.number(), code = code.number(), status = code.status(),
            target = head.target.as_str();
            "call refused: {error}"
        );
        self.coded(code, &error.to_string())
    }

    /// Notes how a call was answered.
    pub(crate) fn note_call(
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
            version = self.known.borrow().control.version;
            "call answered"
        );
    }
}
