//! A small HTTP/1.1 message reader, for the stand-ins' servers and clients alike.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name)).map(|h| h.1.as_str())
    }
    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut parts = self.first.split(' ');
        (parts.next().unwrap_or(""), parts.next().unwrap_or(""))
    }
}

/// Reads messages of one connection one after the other.
pub struct Reader {
    pub stream: TcpStream,
    pending: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        let _ = stream.set_nodelay(true);
        Reader { stream, pending: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0; 16384];
        let n = self.stream.read(&mut part)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.pending.extend_from_slice(&part[..n]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.pending.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.pending[..end]).into_owned();
                self.pending.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    fn take(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.pending.len() < n {
            self.fill()?;
        }
        Ok(self.pending.drain(..n).collect())
    }

    /// Reads a whole message; one without a length has no body.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut message = Message { first: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_string(), value.trim().to_string()));
            }
        }
        if message.header("transfer-encoding").is_some_and(|t| t.eq_ignore_ascii_case("chunked")) {
            loop {
                let size = usize::from_str_radix(self.line()?.trim(), 16).unwrap_or(0);
                message.body.extend(self.take(size)?);
                self.line()?;
                if size == 0 {
                    return Ok(message);
                }
            }
        }
        let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        message.body = self.take(length)?;
        Ok(message)
    }
}

/// Sends one request over a new connection and reads its answer.
pub fn call(to: SocketAddr, request: &[u8], wait: Duration) -> io::Result<Message> {
    let began = Instant::now();
    let mut stream = TcpStream::connect_timeout(&to, wait.min(Duration::from_secs(1)))?;
    let left = wait.saturating_sub(began.elapsed()).max(Duration::from_millis(10));
    stream.set_read_timeout(Some(left))?;
    stream.write_all(request)?;
    Reader::new(stream).read()
}
