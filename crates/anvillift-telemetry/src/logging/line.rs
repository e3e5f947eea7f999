//! Formats a log record as a line of text or JSON.

use std::collections::BTreeMap;
use std::time::SystemTime;

use log::Record;
use log::kv::{self, Key, Value, VisitSource};

/// Key under which a record carries the number of its event.
const EVENT_KEY: &str = "event";

/// The contents of a log record, with its values as text.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct LogLine {
    /// Time in UTC in the format of RFC 3339, to the millisecond.
    pub time: String,
    /// Level in lower case.
    pub level: String,
    /// Number of the event in the catalogue of events; `None` for a record without one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub event: Option<u64>,
    /// Target of the record, by default the module that logged it.
    pub target: String,
    /// Message with its arguments filled in.
    pub message: String,
    /// All key-value pairs of the record but the event number.
    #[serde(flatten)]
    pub fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Converts a record that was logged at `time`.
    pub fn from_record(record: &Record<'_>, time: SystemTime) -> Self {
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

    /// Formats the line as text. Control characters in the message and the values are escaped.
    pub fn to_text(&self) -> String {
        let event = self.event.map_or_else(|| "-".to_owned(), |event| event.to_string());
        let message = escape_control_characters(&self.message);
        let mut text =
            format!("{} {:<5} {event:>4} {} {message}", self.time, self.level, self.target);
        for (key, value) in &self.fields {
            text.push_str(&format!(" {key}={}", escape_control_characters(value)));
        }
        text
    }

    /// Formats the line as one JSON object.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Escapes control characters, so that a value with a line break cannot forge a log line.
fn escape_control_characters(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character.is_control() {
            true => escaped.extend(character.escape_default()),
            false => escaped.push(character),
        }
    }
    escaped
}

/// Copies the key-value pairs of a record into its line.
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
