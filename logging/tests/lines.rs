//! Lines are written whole and in order, and a reader that is blocked or closed does not block the callers.

use lupinledge_logging::LineWriter;
use std::io::{pipe, BufRead, BufReader, Read};
use std::time::Duration;

/// The limit for waits that should end much earlier.
const TIMEOUT: Duration = Duration::from_secs(60);

#[test]
fn lines_are_written_in_order() {
    let (reader, writer) = pipe().expect("a pipe");
    let lines = LineWriter::start(writer);
    (0..2000).for_each(|n| lines.write_line(format!("{n}\n").into_bytes()));
    let read = BufReader::new(reader).lines().take(2000);
    assert!(read.enumerate().all(|(n, line)| line.is_ok_and(|line| line == n.to_string())));
}

#[test]
fn blocked_reader_loses_lines_without_blocking_the_caller() {
    let (mut reader, writer) = pipe().expect("a pipe");
    let lines = LineWriter::start(writer);
    let line = [&[b'x'; 999][..], b"\n"].concat();
    // more lines than the pipe and the queue can hold; queueing them needs no reader
    (0..6000).for_each(|_| lines.write_line(line.clone()));
    lines.flush(Duration::ZERO);
    let mut text = Vec::new();
    while !text.windows(19).any(|w| w == b"event=lines_dropped") {
        let mut buf = [0; 65536];
        let n = reader.read(&mut buf).expect("more lines");
        text.extend_from_slice(&buf[..n]);
    }
}

#[test]
fn closed_reader_is_no_error() {
    let (reader, writer) = pipe().expect("a pipe");
    let lines = LineWriter::start(writer);
    drop(reader);
    for _ in 0..10 {
        lines.write_line(b"nobody reads it\n".to_vec());
        lines.flush(TIMEOUT);
    }
}
