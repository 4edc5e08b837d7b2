use super::*;

#[test]
fn a_call_is_an_array_of_strings() {
    let mut to = Vec::new();
    write_call(&mut to, &["CNT.ADD", "ab", "-2.5", "4000"]);
    assert_eq!(to, b"*4\r\n$7\r\nCNT.ADD\r\n$2\r\nab\r\n$4\r\n-2.5\r\n$4\r\n4000\r\n");
}

/// Each answer is found whole however it is split, and only then.
#[test]
fn answers_come_in_any_pieces() {
    let all: &[(&[u8], Reply)] = &[
        (b"$4\r\n12.5\r\n", Reply::Total(12.5)),
        (b"-BUSY later\r\n", Reply::Busy),
        (b"-ERR no such call\r\n", Reply::Refused),
        (b":7\r\n", Reply::Total(7.0)),
    ];
    for (bytes, want) in all {
        for n in 0..bytes.len() {
            assert_eq!(read_reply(&bytes[..n]), Ok(None), "{n} bytes of {want:?}");
        }
        let more = [bytes, &b"$1\r\n"[..]].concat();
        let (got, used) = read_reply(&more).expect("sound").expect("whole");
        assert_eq!((&got, used), (want, bytes.len()));
    }
}

#[test]
fn garbage_is_told_from_what_is_not_whole() {
    for bytes in [&b"hello\r\n"[..], b"$x\r\n", b"$99999\r\n", b"$1\r\nabc", b"\r\n", &[b'+'; 5000]] {
        assert_eq!(read_reply(bytes), Err(Garbled));
    }
    for bytes in [&b"$-1\r\n"[..], b"$3\r\nabc\r\n", b"$3\r\nNaN\r\n", b"+OK\r\n", b"-OOPS 1\r\n"] {
        assert_eq!(read_reply(bytes), Err(Garbled), "no total in it");
    }
}
