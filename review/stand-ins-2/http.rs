//! A small HTTP/1.1 client and the reading of requests.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Longest time for opening a channel, as the pages say of requesters.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A message as it was read.
#[derive(Debug, Default)]
pub struct Message {
    /// The request line or status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let field = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name))?;
        Some(&field.1)
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// How a call ended without a whole head of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallError {
    NoChannel,
    NoAnswer,
    TimeLimit,
}

/// Sends bytes on a new channel and reads the answer until `deadline`.
pub fn call(address: SocketAddr, request: &[u8], deadline: Instant) -> Result<Message, CallError> {
    let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT.min(left))
        .map_err(|_| CallError::NoChannel)?;
    stream.set_nodelay(true).ok();
    stream.write_all(request).map_err(|_| CallError::NoAnswer)?;
    let mut reader = Reader { buffer: Vec::new(), deadline };
    let mut message = reader.head(&mut stream)?;
    message.is_complete = reader.body(&mut stream, &mut message).is_ok();
    Ok(message)
}

struct Reader {
    buffer: Vec<u8>,
    deadline: Instant,
}

impl Reader {
    /// Reads more bytes; 0 at the end of the channel.
    fn fill(&mut self, stream: &mut TcpStream) -> Result<usize, CallError> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(CallError::TimeLimit);
        }
        stream.set_read_timeout(Some(left)).ok();
        let mut bytes = [0; 8192];
        match stream.read(&mut bytes) {
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(count)
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Err(CallError::TimeLimit)
            }
            Err(_) => Err(CallError::NoAnswer),
        }
    }

    fn head(&mut self, stream: &mut TcpStream) -> Result<Message, CallError> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let message = parse_head(&self.buffer[..end]);
                self.buffer.drain(..end + 4);
                return Ok(message);
            }
            if self.fill(stream)? == 0 {
                return Err(CallError::NoAnswer);
            }
        }
    }

    fn body(&mut self, stream: &mut TcpStream, message: &mut Message) -> Result<(), CallError> {
        let is_chunked =
            message.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
        let length = message.header("content-length").and_then(|text| text.parse::<usize>().ok());
        if is_chunked {
            return self.chunks(stream, message);
        }
        match length {
            Some(length) => {
                while self.buffer.len() < length {
                    if self.fill(stream)? == 0 {
                        return Err(CallError::NoAnswer);
                    }
                }
                message.body = self.buffer.drain(..length).collect();
            }
            None => {
                while self.fill(stream)? > 0 {}
                message.body = std::mem::take(&mut self.buffer);
            }
        }
        Ok(())
    }

    fn chunks(&mut self, stream: &mut TcpStream, message: &mut Message) -> Result<(), CallError> {
        loop {
            let Some(end) = find(&self.buffer, b"\r\n") else {
                if self.fill(stream)? == 0 {
                    return Err(CallError::NoAnswer);
                }
                continue;
            };
            let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| CallError::NoAnswer)?;
            while self.buffer.len() < end + 2 + size + 2 {
                if self.fill(stream)? == 0 {
                    return Err(CallError::NoAnswer);
                }
            }
            message.body.extend_from_slice(&self.buffer[end + 2..end + 2 + size]);
            self.buffer.drain(..end + 2 + size + 2);
            if size == 0 {
                return Ok(());
            }
        }
    }
}

/// Reads a request with its body from a channel; `None` at its end.
pub fn read_request(stream: &mut TcpStream) -> Option<Message> {
    let mut buffer = Vec::new();
    let mut bytes = [0; 8192];
    let end = loop {
        if let Some(end) = find(&buffer, b"\r\n\r\n") {
            break end;
        }
        match stream.read(&mut bytes) {
            Ok(count) if count > 0 => buffer.extend_from_slice(&bytes[..count]),
            _ => return None,
        }
    };
    let mut message = parse_head(&buffer[..end]);
    buffer.drain(..end + 4);
    let length: usize =
        message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        match stream.read(&mut bytes) {
            Ok(count) if count > 0 => buffer.extend_from_slice(&bytes[..count]),
            _ => return None,
        }
    }
    message.body = buffer;
    message.is_complete = true;
    Some(message)
}

fn parse_head(bytes: &[u8]) -> Message {
    let text = String::from_utf8_lossy(bytes);
    let mut lines = text.split("\r\n");
    let first_line = lines.next().unwrap_or_default().to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    Message { first_line, headers, ..Message::default() }
}

pub fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

/// The text of a simple call with a JSON body.
pub fn simple(method: &str, target: &str, body: &str) -> Vec<u8> {
    format!(
        "{method} {target} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
