//! As much HTTP/1.1 as the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or status line.
    pub first: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
    pub fn length(&self) -> usize {
        self.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0)
    }
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head. Returns it with the bytes of the body that came along; `None` if the stream ended before.
pub fn read_head(stream: &mut TcpStream, mut buf: Vec<u8>) -> io::Result<Option<(Head, Vec<u8>)>> {
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let rest = buf.split_off(end + 4);
            let text = String::from_utf8_lossy(&buf).into_owned();
            let mut lines = text.split("\r\n").filter(|l| !l.is_empty());
            let first = lines.next().unwrap_or_default().to_string();
            let headers = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_string()))
                .collect();
            return Ok(Some((Head { first, headers }, rest)));
        }
        let mut piece = [0; 8192];
        match stream.read(&mut piece)? {
            0 => return Ok(None),
            n => buf.extend_from_slice(&piece[..n]),
        }
    }
}

/// An answer as its caller saw it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the whole body came.
    pub whole: bool,
}

/// Reads an answer; `pace` is called with each number of body bytes read, and may wait.
pub fn read_answer(stream: &mut TcpStream, mut pace: impl FnMut(usize)) -> io::Result<Option<Answer>> {
    let Some((head, mut body)) = read_head(stream, Vec::new())? else { return Ok(None) };
    let length = head.length();
    let mut piece = vec![0; 16 << 10];
    pace(body.len());
    while body.len() < length {
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => break,
            Ok(n) => {
                body.extend_from_slice(&piece[..n]);
                pace(n);
            }
        }
    }
    let whole = body.len() == length;
    Ok(Some(Answer { head, body, whole }))
}

/// One call on a connection of its own.
pub fn call(to: SocketAddr, method: &str, path: &str, headers: &str, body: &[u8], wait: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    let host = if headers.contains("Host:") { String::new() } else { format!("Host: {to}\r\n") };
    write!(stream, "{method} {path} HTTP/1.1\r\n{host}{headers}Content-Length: {}\r\n\r\n", body.len())?;
    stream.write_all(body)?;
    let ended = || io::Error::new(io::ErrorKind::UnexpectedEof, "no answer");
    read_answer(&mut stream, |_| {})?.ok_or_else(ended)
}

/// Waits so that `bytes` since `began` take as long as at `bytes_per_s`.
pub fn keep_pace(began: Instant, bytes: usize, bytes_per_s: f64) {
    let due = Duration::from_secs_f64(bytes as f64 / bytes_per_s);
    std::thread::sleep(due.saturating_sub(began.elapsed()));
}
