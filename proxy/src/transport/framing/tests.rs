use super::*;
use test_case::test_case;

const BOTH: Option<&str> = Some("Content-Length: beside a Transfer-Encoding");
const BARE: Option<&str> = Some("head: a line that ends in LF alone");
const PAST: Option<&str> = Some("Content-Length: not the body's");

/// However the bytes are cut.
#[test_case("GET / HTTP/1.1\r\nA: b\r\n\r\nGET / HTTP/1.1\r\n\r\n", None, false; "two reqs")]
#[test_case("P / H\r\nContent-Length: 4\r\n\r\nA:\r\nP / H\r\n\r\n", None, false; "a body skipped")]
#[test_case("P / H\r\nContent-Length: 2\r\n\r\nlonger", PAST, true; "a body past its length")]
#[test_case("P / H\r\ncontent-length:4\r\nTRANSFER-ENCODING : x\r\n\r\n", BOTH, true; "both, in any form")]
#[test_case("P / H\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n", BOTH, true; "the other way")]
#[test_case("P / H\r\nA: b\nC: d\r\n\r\n", BARE, true; "LF alone")]
#[test_case("P / H\r\nA: b\r\n\n", BARE, true; "LF alone at the end")]
#[test_case("P / H\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n", None, true; "coded alone")]
fn framing(bytes: &str, fault: Option<&str>, last: bool) {
    for cut in [1, 2, 7, 1000] {
        let heads = RequestFraming::default();
        bytes.as_bytes().chunks(cut).for_each(|part| heads.read(part));
        assert_eq!((heads.fault(), heads.last(), heads.begun()), (fault, last, heads.begun()));
        assert_eq!(heads.begun().is_some(), fault == PAST, "no head is open");
    }
}
