//! Parses the log lines that report on requests.

use std::time::SystemTime;

use anvillift_schema::event::Event;
use serde_json::{Map, Value};

/// The logged event of a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RequestEvent {
    /// An attempt at a worker or another host ended, without an answer or once the head of the
    /// answer arrived.
    AttemptEnded { to: String, chosen: String, outcome: String },
    /// A host abandoned a request, which came from a caller or was forwarded by another host.
    RequestAbandoned { code: u64, is_from_caller: bool },
    /// The transfer of an answer to the caller ended, completely or not.
    AnswerEnded { outcome: String, status: u64, first_ms: u64, pause_ms: u64 },
}

/// A parsed log line that reports on a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct RequestLogLine {
    pub(super) time_ms: u64,
    pub(super) route: String,
    pub(super) event: RequestEvent,
}

impl RequestLogLine {
    /// Parses a line, skipping a prefix before its first brace, such as a time and a host name.
    /// Returns `None` for lines that are not JSON and for those of other events.
    pub(super) fn parse(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let event_number = number_field(&fields, "event")?;
        let event = if event_number == u64::from(Event::AttemptEnded.number()) {
            let field = |name| text_field(&fields, name);
            RequestEvent::AttemptEnded {
                to: field("to"),
                chosen: field("chosen"),
                outcome: field("outcome"),
            }
        } else if event_number == u64::from(Event::RequestAbandoned.number()) {
            let is_from_caller = text_field(&fields, "origin") != "host";
            RequestEvent::RequestAbandoned { code: number_field(&fields, "code")?, is_from_caller }
        } else if event_number == u64::from(Event::AnswerEnded.number()) {
            let message = text_field(&fields, "message");
            RequestEvent::AnswerEnded {
                outcome: message.trim_start_matches("answer ").to_owned(),
                status: number_field(&fields, "status")?,
                first_ms: number_field(&fields, "first_ms")?,
                pause_ms: number_field(&fields, "pause_ms").unwrap_or(0),
            }
        } else {
            return None;
        };
        let time = humantime::parse_rfc3339(&text_field(&fields, "time")).ok()?;
        let since_epoch = time.duration_since(SystemTime::UNIX_EPOCH).ok()?;
        Some(Self {
            time_ms: since_epoch.as_millis() as u64,
            route: text_field(&fields, "route"),
            event,
        })
    }
}

fn text_field(fields: &Map<String, Value>, name: &str) -> String {
    fields.get(name).and_then(Value::as_str).unwrap_or_default().to_owned()
}

/// Reads a number field, which may be written as a JSON number or as a string.
fn number_field(fields: &Map<String, Value>, name: &str) -> Option<u64> {
    let value = fields.get(name)?;
    value.as_u64().or_else(|| value.as_str()?.parse().ok())
}
