use super::*;

/// What is of one connection, what the client has no business to set, and the key never go on.
#[test]
fn what_goes_on() {
    let mut h = HeaderMap::new();
    for (n, v) in [
        ("authorization", "Token k"),
        ("connection", "close, x-mine"),
        ("x-mine", "1"),
        ("keep-alive", "timeout=3"),
        ("lupinledge-tenant", "other"),
        ("lupinledge-expect-instance", "i-0"),
        ("lupinledge-attempt-id", "9c"),
        ("x-app", "kept"),
    ] {
        h.insert(HeaderName::from_static(n), HeaderValue::from_static(v));
    }
    let tenant = Some(HeaderValue::from_static("own"));
    let c = ForwardedRequest::new(Method::GET, Uri::from_static("/a/b"), h, tenant, Bytes::new());
    let mut left: Vec<_> = c.headers.iter().map(|(n, v)| format!("{n}={}", v.to_str().unwrap())).collect();
    left.sort();
    assert_eq!(left, ["lupinledge-attempt-id=9c", "lupinledge-tenant=own", "x-app=kept"]);
}
