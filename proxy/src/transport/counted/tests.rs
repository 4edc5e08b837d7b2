use super::*;

/// A head's end split over writes, or with a line end before it, is found; the body is counted after it.
#[test]
fn whole_only_with_the_last_byte() {
    let m = Meter::default();
    m.begin(3, 0);
    assert!(!m.started());
    for part in ["POST / HTTP/1.1\r", "\na: b\r\n\r", "\nxy"] {
        m.wrote(part.as_bytes());
        assert!(m.started() && !m.whole(), "after {part:?}");
    }
    m.wrote(b"z");
    assert!(m.whole() && m.may_run());
    m.begin(0, 0);
    m.wrote(b"GET / HTTP/1.1\r\n\r\r\n\r");
    assert!(!m.whole() && !m.may_run());
    m.wrote(b"\n");
    assert!(m.whole());
}

/// An answer's front is found behind those told ahead, however it is cut, and its bytes are bounded.
#[test]
fn an_answer_begins_once() {
    let m = Meter::default();
    m.begin(0, 100);
    for b in b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 " {
        assert!(m.read(&[*b]) && m.front.get() != Front::Off);
    }
    assert!(!m.may_run(), "only told ahead of an answer");
    assert!(m.read(b"200 OK") && m.front.get() == Front::Off);
    assert!(m.may_run() && !m.whole(), "it answers before it has read all");
    assert!(!m.read(&[0; 40]), "past what an answer may have");
}

/// What came is seen before the runtime has had a turn.
#[test]
fn at_rest_or_not() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (mut srv, _) = listener.accept().unwrap();
        assert_eq!(at_rest(&stream), Rest::Quiet);
        std::io::Write::write_all(&mut srv, b"x").unwrap();
        assert_eq!(at_rest(&stream), Rest::Stray);
        let other = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        drop(listener.accept().unwrap());
        assert_eq!(at_rest(&other), Rest::Over);
    });
}
