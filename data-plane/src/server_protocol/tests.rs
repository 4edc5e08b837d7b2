use super::*;

/// Hop-by-hop headers, headers that only the gateway may set, and the API key are never forwarded.
#[test]
fn only_end_to_end_headers_are_forwarded() {
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
    let mut forwarded: Vec<_> =
        c.headers.iter().map(|(n, v)| format!("{n}={}", v.to_str().unwrap())).collect();
    forwarded.sort();
    assert_eq!(forwarded, ["lupinledge-attempt-id=9c", "lupinledge-tenant=own", "x-app=kept"]);
}
