//! As much of HTTP/1.1 as the stand-ins need: messages with a `Content-Length` or none.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message as it came. `start` is the request or status line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header, named in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// The next message; `None` where the connection ends before one.
pub fn read_message(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut m) = read_head(from)? else { return Ok(None) };
    read_body(from, &mut m)?;
    Ok(Some(m))
}

/// The next message without its body.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut m = Message::default();
    if from.read_line(&mut m.start_line)? == 0 {
        return Ok(None);
    }
    m.start_line = m.start_line.trim_end().to_string();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        m.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
    }
    Ok(Some(m))
}

/// The body of a message whose head was read.
pub fn read_body(from: &mut impl BufRead, m: &mut Message) -> io::Result<()> {
    let length = m.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    m.body.resize(length, 0);
    from.read_exact(&mut m.body)
}

/// A connection of a client.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn connect(addr: SocketAddr) -> io::Result<Client> {
        Client::connect_with_timeout(addr, Duration::from_secs(10))
    }
    /// One that waits at most `wait` to connect and for each read.
    pub fn connect_with_timeout(addr: SocketAddr, wait: Duration) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&addr, wait)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(wait))?;
        Ok(Client(BufReader::new(stream)))
    }
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.get_mut().write_all(bytes)
    }
    /// The next answer; `None` where the connection is ended instead.
    pub fn read_response(&mut self) -> io::Result<Option<Message>> {
        read_message(&mut self.0)
    }
    pub fn send_request(&mut self, bytes: &[u8]) -> io::Result<Option<Message>> {
        self.write(bytes)?;
        self.read_response()
    }
}
