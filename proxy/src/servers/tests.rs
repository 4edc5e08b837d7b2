use super::*;
use hyper::header::HeaderValue;
use test_case::test_case;

#[test_case("timeout=5" => Some(5))]
#[test_case("max=100, timeout = 2" => Some(2); "behind another one")]
#[test_case("timeout=0.5" => None; "no whole seconds")]
#[test_case("max=7" => None; "another one alone")]
fn kept_alive(told: &'static str) -> Option<u64> {
    let headers = HeaderMap::from_iter([(KEEP_ALIVE, HeaderValue::from_static(told))]);
    keep_alive(&headers).map(|kept| kept.as_secs())
}
