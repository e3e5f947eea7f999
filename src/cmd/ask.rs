//! `anvillift ask`: sends a question to a model service, or reads a path of a plain service.
//!
//! A streamed answer is printed part by part. It counts as complete only when its
//! end marker, [`STREAM_END`], arrives, so a truncated answer never gives exit code 0.

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
/// Data of the last event of a complete stream.
const STREAM_END: &str = "[DONE]";
/// Longest accepted line of a stream; a longer one ends the command with an error.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Send a question to a model service, or read --get PATH of a plain service.
///
/// Text output streams the answer and prints its route; a truncated answer
/// gives exit code 14, never 0.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "ask")]
pub(crate) struct Ask {
    /// service to send the request to, such as asistente-riego
    #[argh(positional)]
    service: String,
    /// question for a model service
    #[argh(positional)]
    question: Option<String>,
    /// read this path of a plain service instead, such as /pivots/7
    #[argh(option)]
    get: Option<String>,
    /// model that answers (default: any that the service has loaded)
    #[argh(option)]
    model: Option<String>,
    /// maximum number of tokens in the answer (256)
    #[argh(option, default = "256")]
    max_tokens: u32,
    /// deadline for the complete answer, in milliseconds
    #[argh(option)]
    deadline_ms: Option<u64>,
}

impl Ask {
    /// Sends the request and prints the answer.
    pub(crate) async fn execute(&self, client: &Client, format: Format) -> Result<(), Error> {
        match (&self.get, &self.question) {
            (Some(path), None) => self.get_path(client, path).await,
            (None, Some(question)) => self.send_question(client, format, question).await,
            _ => Err(Error::Usage { message: "pass either a question or --get PATH".to_owned() }),
        }
    }

    async fn get_path(&self, client: &Client, path: &str) -> Result<(), Error> {
        let path = format!("/s/{}/{}", self.service, path.trim_start_matches('/'));
        let request = client.request(Method::GET, &path);
        let response = client.send(request).await?;
        print_route(&response);
        let text = response.text().await.map_err(incomplete)?;
        output::print_part(&text)?;
        output::print_part("\n")
    }

    async fn send_question(
        &self,
        client: &Client,
        format: Format,
        question: &str,
    ) -> Result<(), Error> {
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
        print_route(&response);
        match stream {
            true => print_stream(response).await,
            false => {
                let url = response.url().to_string();
                let text = response.text().await.context(NoAnswerSnafu { url })?;
                output::print_part(&text)?;
                output::print_part("\n")
            }
        }
    }
}

fn print_route(response: &Response) {
    let route = response.headers().get("Anvillift-Route").and_then(|route| route.to_str().ok());
    if let Some(route) = route {
        output::print_note(format_args!("route: {route}"));
    }
}

fn incomplete(error: reqwest::Error) -> Error {
    Error::Incomplete { reason: error.to_string() }
}

/// Prints the text of a streamed answer as it arrives.
async fn print_stream(mut response: Response) -> Result<(), Error> {
    let mut reader = EventReader::default();
    while let Some(chunk) = response.chunk().await.map_err(incomplete)? {
        for part in reader.push(&chunk)? {
            output::print_part(&part)?;
        }
    }
    output::print_part("\n")?;
    reader.finish()
}

/// Extracts the answer's text from a stream of server-sent events.
#[derive(Debug, Default)]
struct EventReader {
    pending: Vec<u8>,
    event: String,
    is_complete: bool,
}

impl EventReader {
    /// Adds a chunk of the stream and returns the text of each event line that it completes.
    fn push(&mut self, chunk: &[u8]) -> Result<Vec<String>, Error> {
        self.pending.extend_from_slice(chunk);
        let mut parts = Vec::new();
        while let Some(end) = self.pending.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.pending.drain(..=end).collect();
            parts.extend(self.read_line(String::from_utf8_lossy(&line).trim_end())?);
        }
        if self.pending.len() > MAX_LINE_BYTES {
            return Err(Error::Incomplete {
                reason: "a line of the stream is longer than 1 MiB".to_owned(),
            });
        }
        Ok(parts)
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
            self.is_complete = true;
            return Ok(None);
        }
        if self.event == "error" {
            return Err(match serde_json::from_str::<Problem>(data) {
                Ok(problem) => Error::Refused { problem: Box::new(problem) },
                Err(_) => Error::Incomplete { reason: data.to_owned() },
            });
        }
        let value: Value = serde_json::from_str(data)
            .map_err(|error| Error::Incomplete { reason: error.to_string() })?;
        Ok(value["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
    }

    /// Fails if the stream ended without its end marker.
    fn finish(&self) -> Result<(), Error> {
        match self.is_complete {
            true => Ok(()),
            false => Err(Error::Incomplete {
                reason: "the stream ended without its end marker".to_owned(),
            }),
        }
    }
}
