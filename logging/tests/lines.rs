//! Lines come out whole and in order; a reader that stands still or has ended holds nobody up.

use lupinledge_logging::LineWriter;
use std::io::{pipe, BufRead, BufReader, Read};
use std::time::Duration;

/// What has not come by then never does.
const LONG: Duration = Duration::from_secs(60);

#[test]
fn lines_come_in_order() {
    let (reader, writer) = pipe().expect("a pipe");
    let lines = LineWriter::start(writer);
    (0..2000).for_each(|n| lines.write_line(format!("{n}\n").into_bytes()));
    let read = BufReader::new(reader).lines().take(2000);
    assert!(read.enumerate().all(|(n, line)| line.is_ok_and(|line| line == n.to_string())));
}

#[test]
fn a_reader_that_stands_still_costs_lines_and_no_time() {
    let (mut reader, writer) = pipe().expect("a pipe");
    let lines = LineWriter::start(writer);
    let line = [&[b'x'; 999][..], b"\n"].concat();
    // more than the pipe and the lines that may wait hold together; to put them in takes no reader
    (0..6000).for_each(|_| lines.write_line(line.clone()));
    lines.flush(Duration::ZERO);
    let mut text = Vec::new();
    while !text.windows(19).any(|w| w == b"event=lines_dropped") {
        let mut some = [0; 65536];
        let n = reader.read(&mut some).expect("more lines");
        text.extend_from_slice(&some[..n]);
    }
}

#[test]
fn a_reader_that_has_ended_is_no_fault() {
    let (reader, writer) = pipe().expect("a pipe");
    let lines = LineWriter::start(writer);
    drop(reader);
    for _ in 0..10 {
        lines.write_line(b"nobody reads it\n".to_vec());
        lines.flush(LONG);
    }
}
