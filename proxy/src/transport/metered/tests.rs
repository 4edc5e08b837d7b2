use super::*;

/// The end of a head is found when it is split over several writes or follows another line end; the body is counted
/// after it.
#[test]
fn fully_written_only_with_the_last_byte() {
    let meter = MessageMeter::default();
    meter.begin(3, 0);
    assert!(!meter.started());
    for part in ["POST / HTTP/1.1\r", "\na: b\r\n\r", "\nxy"] {
        meter.on_written(part.as_bytes());
        assert!(meter.started() && !meter.fully_written(), "after {part:?}");
    }
    meter.on_written(b"z");
    assert!(meter.fully_written() && meter.may_have_run());
    meter.begin(0, 0);
    meter.on_written(b"GET / HTTP/1.1\r\n\r\r\n\r");
    assert!(!meter.fully_written() && !meter.may_have_run());
    meter.on_written(b"\n");
    assert!(meter.fully_written());
}

/// The start of the final response is found after informational responses, however the bytes are split, and the length
/// of the response is limited.
#[test]
fn final_response_begins_once() {
    let meter = MessageMeter::default();
    meter.begin(0, 100);
    for byte in b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 " {
        assert!(meter.on_read(&[*byte]) && meter.response_start.get() != ResponseStart::Begun);
    }
    assert!(!meter.may_have_run(), "only informational responses so far");
    assert!(meter.on_read(b"200 OK") && meter.response_start.get() == ResponseStart::Begun);
    assert!(
        meter.may_have_run() && !meter.fully_written(),
        "the response begins before the request is fully written"
    );
    assert!(!meter.on_read(&[0; 40]), "longer than the response may be");
}

/// Received bytes and a closed connection are detected before the runtime has had a turn.
#[test]
fn idle_state_without_a_runtime_turn() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (mut server, _) = listener.accept().unwrap();
        assert_eq!(check_idle(&stream), IdleState::Clean);
        std::io::Write::write_all(&mut server, b"x").unwrap();
        assert_eq!(check_idle(&stream), IdleState::StrayBytes);
        let closed = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        drop(listener.accept().unwrap());
        assert_eq!(check_idle(&closed), IdleState::Closed);
    });
}
