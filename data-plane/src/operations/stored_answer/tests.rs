use super::*;

/// MIXED: a repeat gets status, headers and body of the first, under its own id.
#[test]
fn a_kept_answer_comes_back_under_another_id() {
    let mut headers = HeaderMap::new();
    headers.append("lupinledge-server-stamp", HeaderValue::from_static("st"));
    headers.append("x-many", HeaderValue::from_static("one"));
    headers.append("x-many", HeaderValue::from_bytes(b"\xfftwo").unwrap());
    let mut own = headers.clone();
    own.insert(ATTEMPT, HeaderValue::from_static("first"));
    let made =
        ServerAnswer { status: StatusCode::CREATED, headers: own, body: Bytes::from_static(b"\x00body") };
    let bytes = StoredAnswer::encoded(&made).unwrap();
    let id = HeaderValue::from_static("second");
    let again = StoredAnswer::decoded(&bytes, Some(&id)).unwrap();
    headers.insert(ATTEMPT, id);
    assert_eq!((again.status, again.headers, again.body), (StatusCode::CREATED, headers, made.body));
}

/// Bytes that are no answer are refused.
#[test]
fn what_is_no_answer_is_not_read() {
    let made =
        ServerAnswer { status: StatusCode::OK, headers: HeaderMap::new(), body: Bytes::from_static(b"x") };
    let bytes = StoredAnswer::encoded(&made).unwrap();
    assert!((0..bytes.len()).all(|end| StoredAnswer::decoded(&bytes[..end], None).is_none()));
    let odd = StoredAnswer { status: 99, headers: Vec::new(), body: ByteBuf::new() };
    let mut bytes = Vec::new();
    encode(&odd, &mut bytes).unwrap();
    assert!(StoredAnswer::decoded(&bytes, None).is_none());
}
