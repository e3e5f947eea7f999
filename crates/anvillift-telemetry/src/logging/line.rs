//! One line of the log.

use std::collections::BTreeMap;
use std::time::SystemTime;

use log::Record;
use log::kv::{self, Key, Value, VisitSource};

/// Key of the event's number.
const EVENT_KEY: &str = "event";

/// A record of the log, ready to be written.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct LogLine {
    /// Time in UTC, to the millisecond.
    pub time: String,
    /// Level in lower case.
    pub level: String,
    /// Number of the event, as in the catalogue of events.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub event: Option<u64>,
    /// Module that logged.
    pub target: String,
    /// Message.
    pub message: String,
    /// Other key-value pairs of the record.
    #[serde(flatten)]
    pub fields: BTreeMap<String, String>,
}

impl LogLine {
    /// The line of a record logged at `time`.
    pub fn of(record: &Record<'_>, time: SystemTime) -> Self {
        let mut line = Self {
            time: humantime::format_rfc3339_millis(time).to_string(),
            level: record.level().as_str().to_ascii_lowercase(),
            event: None,
            target: record.target().to_owned(),
            message: record.args().to_string(),
            fields: BTreeMap::new(),
        };
        let mut visitor = FieldVisitor { line: &mut line };
        if record.key_values().visit(&mut visitor).is_err() {
            line.fields.insert("field_error".to_owned(), "true".to_owned());
        }
        line
    }

    /// The line as text; line breaks in values are escaped.
    pub fn text(&self) -> String {
        let event = self.event.map_or_else(|| "-".to_owned(), |event| event.to_string());
        let message = one_line(&self.message);
        let mut text =
            format!("{} {:<5} {event:>4} {} {message}", self.time, self.level, self.target);
        for (key, value) in &self.fields {
            text.push_str(&format!(" {key}={}", one_line(value)));
        }
        text
    }

    /// The line as one JSON object.
    pub fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Escapes control characters, so that a value cannot forge a line.
fn one_line(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character.is_control() {
            true => escaped.extend(character.escape_default()),
            false => escaped.push(character),
        }
    }
    escaped
}

/// Collects the key-value pairs of a record.
struct FieldVisitor<'a> {
    line: &'a mut LogLine,
}

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        match (key.as_str(), value.to_u64()) {
            (EVENT_KEY, Some(event)) => self.line.event = Some(event),
            (key, _) => {
                self.line.fields.insert(key.to_owned(), value.to_string());
            }
        }
        Ok(())
    }
}
