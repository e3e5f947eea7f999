//! Streamed answers as a caller's own client reads them.

use futures_util::StreamExt;
use reqwest::Response;
use serde_json::Value;

/// A streamed answer that has ended.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Streamed {
    /// Text of the answer.
    pub(crate) text: String,
    /// Data events with text.
    pub(crate) events: usize,
    /// Whether it ended with its end mark.
    pub(crate) whole: bool,
    /// Data of an error event.
    pub(crate) error: Option<Value>,
}

/// Reads a stream to its end; `each` is called after each piece of text.
pub(crate) async fn read_with(answer: Response, mut each: impl FnMut(usize)) -> Streamed {
    let mut streamed = Streamed::default();
    let mut pending = Vec::new();
    let mut error_event = false;
    let mut chunks = answer.bytes_stream();
    while let Some(Ok(chunk)) = chunks.next().await {
        pending.extend_from_slice(&chunk);
        while let Some(end) = pending.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = pending.drain(..=end).collect();
            let line = String::from_utf8(line).expect("text");
            error_event |= line.starts_with("event: error");
            if let Some(data) = line.strip_prefix("data:") {
                streamed.read_data(data.trim(), error_event);
                each(streamed.events);
            }
        }
    }
    streamed
}

/// Reads a stream to its end.
pub(crate) async fn read(answer: Response) -> Streamed {
    read_with(answer, |_| {}).await
}

impl Streamed {
    fn read_data(&mut self, data: &str, error_event: bool) {
        if data == "[DONE]" {
            self.whole = true;
            return;
        }
        let value: Value = serde_json::from_str(data).expect("JSON");
        if error_event {
            self.error = Some(value);
        } else if let Some(text) = value["choices"][0]["delta"]["content"].as_str() {
            self.text.push_str(text);
            self.events += 1;
        }
    }
}
