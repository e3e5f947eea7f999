//! Log lines in text and JSON.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use anvillift_schema::event::Event;
use anvillift_schema::settings::{LogSettings, LogSettingsFormat, LogSettingsLevel};
use anvillift_telemetry::logging;
use log::{Level, Record, kv};

/// Output that a test reads back.
#[derive(Clone, Default)]
struct Captured(Arc<Mutex<Vec<u8>>>);

impl Write for Captured {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("not poisoned").write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn logged(settings: &LogSettings, level: Level, message: &str) -> String {
    let output = Captured::default();
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
fn text_line_holds_event_and_fields() {
    let line = logged(&LogSettings::default(), Level::Warn, "link down");
    let (time, rest) = line.split_once(' ').expect("a time");
    assert!(time.ends_with('Z') && time.len() == "2026-01-01T00:00:00.000Z".len(), "{time}");
    assert_eq!(rest, "warn  2102 anvillift_mesh link down peer=b-1\\nforged\n");
}

#[test]
fn json_line_is_one_object() {
    let settings = LogSettings { format: LogSettingsFormat::Json, ..LogSettings::default() };
    let line = logged(&settings, Level::Warn, "link \"down\"\nforged");
    assert_eq!(line.lines().count(), 1);
    let value: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(value["event"], 2102);
    assert_eq!(value["message"], "link \"down\"\nforged");
    assert_eq!(value["peer"], "b-1\nforged");
    assert_eq!(value["level"], "warn");
}

#[test]
fn level_filters_records() {
    let settings = LogSettings { level: LogSettingsLevel::Error, ..LogSettings::default() };
    assert_eq!(logged(&settings, Level::Warn, "link down"), "");
    assert_ne!(logged(&settings, Level::Error, "link down"), "");
}
