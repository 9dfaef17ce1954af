//! HTTP/1.1 over blocking sockets: reads requests and replies, keeps bodies as they are.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// Request or reply: the first line, the headers with lowercase names, and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Words of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    /// Status of a reply; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Why no message was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadEnd {
    /// The connection ended before the first byte.
    Closed,
    /// The connection ended or broke within the message.
    Cut,
    /// The time was over.
    TimedOut,
}

/// Connection with the bytes that were read and not used.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> std::io::Result<Self> {
        TcpStream::connect_timeout(&address, timeout).map(Self::new)
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads one message with a content length, in chunks, or without a body.
    pub fn read_message(&mut self, until: Instant) -> Result<Message, ReadEnd> {
        let head_end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            let was_empty = self.buffer.is_empty();
            self.fill(until, was_empty)?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        self.buffer.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message { first_line, headers, body: Vec::new() };
        if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            message.body = self.read_chunks(until)?;
            return Ok(message);
        }
        let length = message.header("content-length").and_then(|value| value.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.buffer.len() < length {
            self.fill(until, false)?;
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(message)
    }

    fn read_chunks(&mut self, until: Instant) -> Result<Vec<u8>, ReadEnd> {
        let mut body = Vec::new();
        loop {
            let line_end = loop {
                if let Some(end) = find(&self.buffer, b"\r\n") {
                    break end;
                }
                self.fill(until, false)?;
            };
            let line = String::from_utf8_lossy(&self.buffer[..line_end]).into_owned();
            self.buffer.drain(..line_end + 2);
            let size = line.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| ReadEnd::Cut)?;
            while self.buffer.len() < size + 2 {
                self.fill(until, false)?;
            }
            body.extend(self.buffer.drain(..size));
            self.buffer.drain(..2);
            if size == 0 {
                return Ok(body);
            }
        }
    }

    fn fill(&mut self, until: Instant, is_first: bool) -> Result<(), ReadEnd> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ReadEnd::TimedOut);
        }
        let _ = self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        let mut piece = [0; 16 << 10];
        match self.stream.read(&mut piece) {
            Ok(0) => Err(if is_first { ReadEnd::Closed } else { ReadEnd::Cut }),
            Ok(count) => {
                self.buffer.extend_from_slice(&piece[..count]);
                Ok(())
            }
            Err(error) => Err(match error.kind() {
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => ReadEnd::TimedOut,
                std::io::ErrorKind::Interrupted => return Ok(()),
                _ if is_first => ReadEnd::Closed,
                _ => ReadEnd::Cut,
            }),
        }
    }
}

/// Reply with a content length.
pub fn reply(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    [bytes.into_bytes(), body.to_vec()].concat()
}

/// Position of `wanted` in `bytes`.
pub fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}
