//! Reads streamed answers as the client of a caller does.

use futures_util::StreamExt;
use reqwest::Response;
use serde_json::Value;

/// The contents of a streamed answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct StreamedAnswer {
    /// Concatenated text of all data events.
    pub(crate) text: String,
    /// Number of data events with text.
    pub(crate) events: usize,
    /// Whether the end marker `[DONE]` arrived.
    pub(crate) is_complete: bool,
    /// Data of the error event, if there was one.
    pub(crate) error: Option<Value>,
}

/// Reads a stream to its end, and calls `on_data` after each data line with the number of events
/// that had text so far.
pub(crate) async fn read_with(answer: Response, mut on_data: impl FnMut(usize)) -> StreamedAnswer {
    let mut streamed = StreamedAnswer::default();
    let mut pending = Vec::new();
    let mut is_error_event = false;
    let mut chunks = answer.bytes_stream();
    while let Some(Ok(chunk)) = chunks.next().await {
        pending.extend_from_slice(&chunk);
        while let Some(end) = pending.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = pending.drain(..=end).collect();
            let line = String::from_utf8(line).expect("text");
            is_error_event |= line.starts_with("event: error");
            if let Some(data) = line.strip_prefix("data:") {
                streamed.read_data(data.trim(), is_error_event);
                on_data(streamed.events);
            }
        }
    }
    streamed
}

/// Reads a stream to its end, or until its connection is lost.
pub(crate) async fn read(answer: Response) -> StreamedAnswer {
    read_with(answer, |_| {}).await
}

impl StreamedAnswer {
    fn read_data(&mut self, data: &str, is_error_event: bool) {
        if data == "[DONE]" {
            self.is_complete = true;
            return;
        }
        let value: Value = serde_json::from_str(data).expect("JSON");
        if is_error_event {
            self.error = Some(value);
        } else if let Some(text) = value["choices"][0]["delta"]["content"].as_str() {
            self.text.push_str(text);
            self.events += 1;
        }
    }
}
