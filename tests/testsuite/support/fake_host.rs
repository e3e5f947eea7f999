//! A host that gives prepared answers and notes what it was asked.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use serde::Serialize;

/// A prepared answer.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    /// A whole answer of a media type.
    Whole {
        /// HTTP status.
        status: u16,
        /// Body.
        body: String,
    },
    /// A body that ends before its declared length.
    Cut {
        /// The part that is sent.
        body: String,
    },
    /// The connection is closed once the request was read.
    Lost,
}

impl Answer {
    /// A JSON answer.
    pub(crate) fn json<T: Serialize>(status: u16, value: &T) -> Self {
        Self::Whole { status, body: serde_json::to_string(value).expect("JSON") }
    }
}

/// A request that the host read.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    /// Method and path.
    pub(crate) line: String,
    /// Body.
    pub(crate) body: String,
}

/// A running host with prepared answers.
#[derive(Debug)]
pub(crate) struct FakeHost {
    /// Base URL.
    pub(crate) url: String,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl FakeHost {
    /// Answers each request with the next answer, and the last one for ever.
    pub(crate) fn start(answers: Vec<Answer>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let url = format!("http://{}", listener.local_addr().expect("an address"));
        let seen = Arc::new(Mutex::new(Vec::new()));
        let noted = Arc::clone(&seen);
        thread::spawn(move || {
            for (index, stream) in listener.incoming().flatten().enumerate() {
                let answer = answers[index.min(answers.len() - 1)].clone();
                let _ = serve(stream, &answer, &noted);
            }
        });
        Self { url, seen }
    }

    /// Requests read so far.
    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.seen.lock().expect("not poisoned").clone()
    }
}

fn serve(mut stream: TcpStream, answer: &Answer, noted: &Mutex<Vec<Seen>>) -> std::io::Result<()> {
    let seen = read_request(&mut BufReader::new(stream.try_clone()?))?;
    noted.lock().expect("not poisoned").push(seen);
    let (status, body, length) = match answer {
        Answer::Whole { status, body } => (*status, body, body.len()),
        Answer::Cut { body } => (200, body, body.len() + 1),
        Answer::Lost => return Ok(()),
    };
    let head = format!("HTTP/1.1 {status} Answer\r\nContent-Length: {length}\r\n");
    write!(stream, "{head}Connection: close\r\nAnvillift-Route: north/a/a-1>e-1\r\n\r\n{body}")
}

fn read_request(reader: &mut impl BufRead) -> std::io::Result<Seen> {
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
    let line = line.trim_end_matches("HTTP/1.1\r\n").trim().to_owned();
    Ok(Seen { line, body: String::from_utf8_lossy(&body).into_owned() })
}
