//! The subset of HTTP/1.1 that the test doubles need: messages with a `Content-Length` or without a body.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A received message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request or status line.
    pub start_line: String,
    /// Headers in the order received, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body; empty without a `Content-Length`.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header; `name` must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
    /// The status of a response; 0 if the status line has none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads the next message; `None` if the connection ends before it.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

/// Reads the start line and headers of the next message; `None` if the connection ends before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.start_line)? == 0 {
        return Ok(None);
    }
    message.start_line = message.start_line.trim_end().to_string();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
    }
    Ok(Some(message))
}

/// Reads the body of a message that `read_head` returned.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)
}

/// A client connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Connects, with a timeout of 10 s to connect and for each read.
    pub fn connect(addr: SocketAddr) -> io::Result<Client> {
        Client::connect_with_timeout(addr, Duration::from_secs(10))
    }
    /// Connects, with a timeout of `timeout` to connect and for each read.
    pub fn connect_with_timeout(addr: SocketAddr, timeout: Duration) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&addr, timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Client(BufReader::new(stream)))
    }
    /// Writes bytes as they are.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.get_mut().write_all(bytes)
    }
    /// Reads the next response; `None` if the connection ends instead.
    pub fn read_response(&mut self) -> io::Result<Option<Message>> {
        read_message(&mut self.0)
    }
    /// Writes a request and reads its response.
    pub fn send_request(&mut self, bytes: &[u8]) -> io::Result<Option<Message>> {
        self.write(bytes)?;
        self.read_response()
    }
}
