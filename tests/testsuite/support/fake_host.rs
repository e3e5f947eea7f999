//! A host that returns prepared answers and records the requests.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use serde::Serialize;

/// An answer that the host is to return.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    /// A complete answer.
    Complete {
        /// HTTP status code.
        status: u16,
        /// The body, sent with its actual length.
        body: String,
    },
    /// An answer whose body is one byte shorter than its declared length.
    Truncated {
        /// The part of the body that is sent.
        body: String,
    },
    /// The connection is closed without an answer after the request was read.
    ConnectionClosed,
}

impl Answer {
    /// Creates a complete answer with a JSON body.
    pub(crate) fn json<T: Serialize>(status: u16, value: &T) -> Self {
        Self::Complete { status, body: serde_json::to_string(value).expect("JSON") }
    }
}

/// A request that the host received.
#[derive(Clone, Debug)]
pub(crate) struct RecordedRequest {
    /// Request line without the HTTP version, such as `GET /metrics`.
    pub(crate) request_line: String,
    /// Body as text.
    pub(crate) body: String,
}

/// A host on a free port of the loopback address, which serves until the test process ends.
#[derive(Debug)]
pub(crate) struct FakeHost {
    /// Base URL of the host.
    pub(crate) url: String,
    requests: Arc<Mutex<Vec<RecordedRequest>>>,
}

impl FakeHost {
    /// Starts a host that answers each request with the next of `answers`, and repeats the last
    /// one.
    pub(crate) fn start(answers: Vec<Answer>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let url = format!("http://{}", listener.local_addr().expect("an address"));
        let requests = Arc::new(Mutex::new(Vec::new()));
        let recorded = Arc::clone(&requests);
        thread::spawn(move || {
            for (index, stream) in listener.incoming().flatten().enumerate() {
                let answer = answers[index.min(answers.len() - 1)].clone();
                let _ = serve(stream, &answer, &recorded);
            }
        });
        Self { url, requests }
    }

    /// Returns the requests received so far.
    pub(crate) fn requests(&self) -> Vec<RecordedRequest> {
        self.requests.lock().expect("not poisoned").clone()
    }
}

fn serve(
    mut stream: TcpStream,
    answer: &Answer,
    recorded: &Mutex<Vec<RecordedRequest>>,
) -> std::io::Result<()> {
    let request = read_request(&mut BufReader::new(stream.try_clone()?))?;
    recorded.lock().expect("not poisoned").push(request);
    let (status, body, length) = match answer {
        Answer::Complete { status, body } => (*status, body, body.len()),
        Answer::Truncated { body } => (200, body, body.len() + 1),
        Answer::ConnectionClosed => return Ok(()),
    };
    let head = format!("HTTP/1.1 {status} Answer\r\nContent-Length: {length}\r\n");
    write!(stream, "{head}Connection: close\r\nAnvillift-Route: north/a/a-1>e-1\r\n\r\n{body}")
}

fn read_request(reader: &mut impl BufRead) -> std::io::Result<RecordedRequest> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header)?;
        if let Some(value) = header.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length");
        }
        if header.trim().is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let request_line = line.trim_end_matches("HTTP/1.1\r\n").trim().to_owned();
    Ok(RecordedRequest { request_line, body: String::from_utf8_lossy(&body).into_owned() })
}
