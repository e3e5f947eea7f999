//! A log line that tells of a request.

use std::time::SystemTime;

use anvillift_schema::event::Event;
use serde_json::{Map, Value};

/// What a line tells.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Told {
    /// An attempt at a worker or another host ended before or with the head of an answer.
    Attempt { to: String, chosen: String, outcome: String },
    /// A request was given up on.
    GivenUp { code: u64, is_callers: bool },
    /// The passing on of an answer ended.
    Ended { outcome: String, status: u64, first_ms: u64, pause_ms: u64 },
}

/// A line that tells of a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Line {
    pub(super) time_ms: u64,
    pub(super) route: String,
    pub(super) told: Told,
}

impl Line {
    /// Reads a line; what stands before its first brace is skipped. Lines of
    /// other events tell nothing here.
    pub(super) fn read(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let event = number(&fields, "event")?;
        let told = if event == u64::from(Event::AttemptEnded.number()) {
            let field = |name| word(&fields, name);
            Told::Attempt { to: field("to"), chosen: field("chosen"), outcome: field("outcome") }
        } else if event == u64::from(Event::RequestGivenUp.number()) {
            let is_callers = word(&fields, "origin") != "host";
            Told::GivenUp { code: number(&fields, "code")?, is_callers }
        } else if event == u64::from(Event::AnswerEnded.number()) {
            let message = word(&fields, "message");
            Told::Ended {
                outcome: message.trim_start_matches("answer ").to_owned(),
                status: number(&fields, "status")?,
                first_ms: number(&fields, "first_ms")?,
                pause_ms: number(&fields, "pause_ms").unwrap_or(0),
            }
        } else {
            return None;
        };
        let time = humantime::parse_rfc3339(&word(&fields, "time")).ok()?;
        let since = time.duration_since(SystemTime::UNIX_EPOCH).ok()?;
        Some(Self { time_ms: since.as_millis() as u64, route: word(&fields, "route"), told })
    }
}

fn word(fields: &Map<String, Value>, name: &str) -> String {
    fields.get(name).and_then(Value::as_str).unwrap_or_default().to_owned()
}

/// A number, written as one or in quotes.
fn number(fields: &Map<String, Value>, name: &str) -> Option<u64> {
    let value = fields.get(name)?;
    value.as_u64().or_else(|| value.as_str()?.parse().ok())
}
