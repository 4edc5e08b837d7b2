use super::*;
use hyper::header::HeaderValue;
use test_case::test_case;

#[test_case("timeout=5" => Some(5))]
#[test_case("max=100, timeout = 2" => Some(2); "after another parameter")]
#[test_case("timeout=0.5" => None; "no whole seconds")]
#[test_case("max=7" => None; "only another parameter")]
fn keep_alive_timeout(header: &'static str) -> Option<u64> {
    let headers = HeaderMap::from_iter([(KEEP_ALIVE, HeaderValue::from_static(header))]);
    keep_alive(&headers).map(|timeout| timeout.as_secs())
}
