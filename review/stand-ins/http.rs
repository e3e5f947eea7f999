//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Largest head that is read, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// A head: the first line and the fields with lower-case names.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    /// Status of a response; 0 if the first line has none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn parse(text: &str) -> Self {
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        let field = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        };
        Self { first_line, fields: lines.filter_map(field).collect() }
    }
}

/// A connection with the bytes that were read and not yet used.
pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> Result<()> {
        let mut part = [0; 64 * 1024];
        let count = self.stream.read(&mut part)?;
        if count == 0 {
            return Err(Error::from(ErrorKind::UnexpectedEof));
        }
        self.buffer.extend_from_slice(&part[..count]);
        Ok(())
    }

    pub fn read_head(&mut self) -> Result<Head> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                return Ok(Head::parse(&text));
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(Error::other("head too large"));
            }
            self.fill()?;
        }
    }

    fn read_exactly(&mut self, count: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn read_line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    /// Reads the next chunk of a chunked body; empty at its end.
    pub fn read_chunk(&mut self) -> Result<Vec<u8>> {
        let line = self.read_line()?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(Error::other)?;
        let data = self.read_exactly(size)?;
        self.read_exactly(2)?;
        Ok(data)
    }

    /// Reads a body by the fields of its head. One without a length or chunks is empty.
    pub fn read_body(&mut self, head: &Head) -> Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend_from_slice(&chunk);
            }
        }
        let length = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        self.read_exactly(length)
    }

    /// Whether the peer has closed the connection.
    pub fn is_closed(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let mut probe = [0; 1];
        let peeked = self.stream.peek(&mut probe);
        self.stream.set_nonblocking(false).ok();
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

/// Makes one call with a JSON body over a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Result<(Head, Vec<u8>)> {
    let mut channel = Channel::connect(address, timeout)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    channel.write(head.as_bytes())?;
    channel.write(body.as_bytes())?;
    let head = channel.read_head()?;
    let body = channel.read_body(&head)?;
    Ok((head, body))
}
