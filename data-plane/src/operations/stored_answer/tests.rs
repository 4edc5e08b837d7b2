use super::*;

/// A repeated request gets status, headers and body of the first answer under its own attempt id.
#[test]
fn a_stored_answer_is_returned_under_another_id() {
    let mut headers = HeaderMap::new();
    headers.append("lupinledge-server-stamp", HeaderValue::from_static("st"));
    headers.append("x-many", HeaderValue::from_static("one"));
    headers.append("x-many", HeaderValue::from_bytes(b"\xfftwo").unwrap());
    let mut own_headers = headers.clone();
    own_headers.insert(ATTEMPT, HeaderValue::from_static("first"));
    let made = ServerAnswer {
        status: StatusCode::CREATED,
        headers: own_headers,
        body: Bytes::from_static(b"\x00body"),
    };
    let bytes = StoredAnswer::encoded(&made).unwrap();
    let id = HeaderValue::from_static("second");
    let decoded = StoredAnswer::decoded(&bytes, Some(&id)).unwrap();
    headers.insert(ATTEMPT, id);
    assert_eq!((decoded.status, decoded.headers, decoded.body), (StatusCode::CREATED, headers, made.body));
}

/// Bytes that are not a stored answer are refused.
#[test]
fn invalid_stored_answers_are_refused() {
    let made =
        ServerAnswer { status: StatusCode::OK, headers: HeaderMap::new(), body: Bytes::from_static(b"x") };
    let bytes = StoredAnswer::encoded(&made).unwrap();
    assert!((0..bytes.len()).all(|end| StoredAnswer::decoded(&bytes[..end], None).is_none()));
    let invalid = StoredAnswer { status: 99, headers: Vec::new(), body: ByteBuf::new() };
    let mut bytes = Vec::new();
    encode(&invalid, &mut bytes).unwrap();
    assert!(StoredAnswer::decoded(&bytes, None).is_none());
}
