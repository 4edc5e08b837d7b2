use super::*;

#[test]
fn call_is_an_array_of_strings() {
    let mut out = Vec::new();
    write_call(&mut out, &["CNT.ADD", "ab", "-2.5", "4000"]);
    assert_eq!(out, b"*4\r\n$7\r\nCNT.ADD\r\n$2\r\nab\r\n$4\r\n-2.5\r\n$4\r\n4000\r\n");
}

/// A reply is returned only once it is complete, however it is split.
#[test]
fn replies_split_at_any_byte() {
    let all: &[(&[u8], Reply)] = &[
        (b"$4\r\n12.5\r\n", Reply::Total(12.5)),
        (b"-BUSY later\r\n", Reply::Busy),
        (b"-ERR no such call\r\n", Reply::Refused),
        (b":7\r\n", Reply::Total(7.0)),
    ];
    for (bytes, expected) in all {
        for n in 0..bytes.len() {
            assert_eq!(read_reply(&bytes[..n]), Ok(None), "{n} bytes of {expected:?}");
        }
        let more = [bytes, &b"$1\r\n"[..]].concat();
        let (reply, consumed) = read_reply(&more).expect("well-formed").expect("complete");
        assert_eq!((&reply, consumed), (expected, bytes.len()));
    }
}

#[test]
fn malformed_is_distinguished_from_incomplete() {
    for bytes in [&b"hello\r\n"[..], b"$x\r\n", b"$99999\r\n", b"$1\r\nabc", b"\r\n", &[b'+'; 5000]] {
        assert_eq!(read_reply(bytes), Err(Malformed));
    }
    for bytes in [&b"$-1\r\n"[..], b"$3\r\nabc\r\n", b"$3\r\nNaN\r\n", b"+OK\r\n", b"-OOPS 1\r\n"] {
        assert_eq!(read_reply(bytes), Err(Malformed), "it has no total");
    }
}
