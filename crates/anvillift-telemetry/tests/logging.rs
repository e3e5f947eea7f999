//! Tests of the text and JSON forms of log lines, and of the level filter.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use anvillift_schema::event::Event;
use anvillift_schema::settings::{LogSettings, LogSettingsFormat, LogSettingsLevel};
use anvillift_telemetry::logging;
use log::{Level, Record, kv};

/// An output that keeps what is written to it.
#[derive(Clone, Default)]
struct CapturedOutput(Arc<Mutex<Vec<u8>>>);

impl Write for CapturedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("not poisoned").write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log_line(settings: &LogSettings, level: Level, message: &str) -> String {
    let output = CapturedOutput::default();
    let (_, logger) = logging::dispatch(settings, Box::new(output.clone())).into_log();
    let pairs = [
        ("event", kv::Value::from(Event::LinkDown.number())),
        ("peer", kv::Value::from("b-1\nforged")),
    ];
    let mut builder = Record::builder();
    builder.level(level).target("anvillift_mesh").key_values(&pairs);
    logger.log(&builder.args(format_args!("{message}")).build());
    let bytes = output.0.lock().expect("not poisoned").clone();
    String::from_utf8(bytes).expect("text")
}

#[test]
fn text_line_has_event_number_and_escaped_fields() {
    let line = log_line(&LogSettings::default(), Level::Warn, "link down");
    let (time, rest) = line.split_once(' ').expect("a time");
    assert!(time.ends_with('Z') && time.len() == "2026-01-01T00:00:00.000Z".len(), "{time}");
    assert_eq!(rest, "warn  2102 anvillift_mesh link down peer=b-1\\nforged\n");
}

#[test]
fn json_record_is_one_object_on_one_line() {
    let settings = LogSettings { format: LogSettingsFormat::Json, ..LogSettings::default() };
    let line = log_line(&settings, Level::Warn, "link \"down\"\nforged");
    assert_eq!(line.lines().count(), 1);
    let value: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(value["event"], 2102);
    assert_eq!(value["message"], "link \"down\"\nforged");
    assert_eq!(value["peer"], "b-1\nforged");
    assert_eq!(value["level"], "warn");
}

#[test]
fn records_below_the_level_are_not_written() {
    let settings = LogSettings { level: LogSettingsLevel::Error, ..LogSettings::default() };
    assert_eq!(log_line(&settings, Level::Warn, "link down"), "");
    assert_ne!(log_line(&settings, Level::Error, "link down"), "");
}
