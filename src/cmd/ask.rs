//! `anvillift ask`.

use anvillift_schema::public::Problem;
use reqwest::{Method, Response};
use serde_json::{Value, json};
use snafu::ResultExt;

use crate::client::Client;
use crate::error::{Error, NoAnswerSnafu};
use crate::output::{self, Format};

/// Prefix of a data line in server-sent events.
const DATA_PREFIX: &str = "data:";
/// Prefix of an event's name in server-sent events.
const EVENT_PREFIX: &str = "event:";
/// Data that ends a whole stream.
const STREAM_END: &str = "[DONE]";
/// Longest line of a stream.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Ask a service: a question to a model, or --get PATH of a plain service.
///
/// Text output streams the answer and names its route; an answer that breaks
/// off ends in exit code 14, never in 0.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "ask")]
pub(crate) struct Ask {
    /// service to ask, such as asistente-riego
    #[argh(positional)]
    service: String,
    /// question to a model service
    #[argh(positional)]
    question: Option<String>,
    /// read this path of a plain service instead, such as /pivots/7
    #[argh(option)]
    get: Option<String>,
    /// model to ask for (any that the service has loaded)
    #[argh(option)]
    model: Option<String>,
    /// most tokens of the answer (256)
    #[argh(option, default = "256")]
    max_tokens: u32,
    /// longest time for the whole answer, in milliseconds
    #[argh(option)]
    deadline_ms: Option<u64>,
}

impl Ask {
    /// Sends the question and prints the answer.
    pub(crate) async fn execute(&self, client: &Client, format: Format) -> Result<(), Error> {
        match (&self.get, &self.question) {
            (Some(path), None) => self.read(client, path).await,
            (None, Some(question)) => self.ask(client, format, question).await,
            _ => Err(Error::Usage { message: "give either a question or --get PATH".to_owned() }),
        }
    }

    async fn read(&self, client: &Client, path: &str) -> Result<(), Error> {
        let path = format!("/s/{}/{}", self.service, path.trim_start_matches('/'));
        let request = client.request(Method::GET, &path);
        let response = client.send(request).await?;
        note_route(&response);
        let text = response.text().await.map_err(cut)?;
        output::print_piece(&text)?;
        output::print_piece("\n")
    }

    async fn ask(&self, client: &Client, format: Format, question: &str) -> Result<(), Error> {
        let stream = format == Format::Text;
        let path = format!("/s/{}/v1/chat/completions", self.service);
        let mut body = json!({
            "messages": [{ "role": "user", "content": question }],
            "max_tokens": self.max_tokens,
            "stream": stream,
        });
        if let Some(model) = &self.model {
            body["model"] = json!(model);
        }
        let mut request = client.request(Method::POST, &path).json(&body);
        if let Some(deadline_ms) = self.deadline_ms {
            request = request.header("Anvillift-Deadline-Ms", deadline_ms);
        }
        let response = client.send(request).await?;
        note_route(&response);
        match stream {
            true => print_stream(response).await,
            false => {
                let url = response.url().to_string();
                let text = response.text().await.context(NoAnswerSnafu { url })?;
                output::print_piece(&text)?;
                output::print_piece("\n")
            }
        }
    }
}

fn note_route(response: &Response) {
    let route = response.headers().get("Anvillift-Route").and_then(|route| route.to_str().ok());
    if let Some(route) = route {
        output::print_note(format_args!("route: {route}"));
    }
}

fn cut(error: reqwest::Error) -> Error {
    Error::Cut { reason: error.to_string() }
}

/// Prints the pieces of a stream as they arrive.
async fn print_stream(mut response: Response) -> Result<(), Error> {
    let mut reader = EventReader::default();
    while let Some(chunk) = response.chunk().await.map_err(cut)? {
        for piece in reader.read(&chunk)? {
            output::print_piece(&piece)?;
        }
    }
    output::print_piece("\n")?;
    reader.finish()
}

/// Reads the pieces of text from server-sent events.
#[derive(Debug, Default)]
struct EventReader {
    pending: Vec<u8>,
    event: String,
    whole: bool,
}

impl EventReader {
    /// Pieces that are complete with `chunk`.
    fn read(&mut self, chunk: &[u8]) -> Result<Vec<String>, Error> {
        self.pending.extend_from_slice(chunk);
        let mut pieces = Vec::new();
        while let Some(end) = self.pending.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.pending.drain(..=end).collect();
            pieces.extend(self.read_line(String::from_utf8_lossy(&line).trim_end())?);
        }
        if self.pending.len() > MAX_LINE_BYTES {
            return Err(Error::Cut { reason: "a line of the stream is too long".to_owned() });
        }
        Ok(pieces)
    }

    fn read_line(&mut self, line: &str) -> Result<Option<String>, Error> {
        if line.is_empty() {
            self.event.clear();
        } else if let Some(event) = line.strip_prefix(EVENT_PREFIX) {
            event.trim().clone_into(&mut self.event);
        } else if let Some(data) = line.strip_prefix(DATA_PREFIX) {
            return self.read_data(data.trim());
        }
        Ok(None)
    }

    fn read_data(&mut self, data: &str) -> Result<Option<String>, Error> {
        if data == STREAM_END {
            self.whole = true;
            return Ok(None);
        }
        if self.event == "error" {
            return Err(match serde_json::from_str::<Problem>(data) {
                Ok(problem) => Error::Refused { problem: Box::new(problem) },
                Err(_) => Error::Cut { reason: data.to_owned() },
            });
        }
        let value: Value =
            serde_json::from_str(data).map_err(|error| Error::Cut { reason: error.to_string() })?;
        Ok(value["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
    }

    /// Checks that the stream came to its end.
    fn finish(&self) -> Result<(), Error> {
        match self.whole {
            true => Ok(()),
            false => Err(Error::Cut { reason: "the stream ended without its end mark".to_owned() }),
        }
    }
}
