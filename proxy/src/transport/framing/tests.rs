use super::*;
use test_case::test_case;

const LENGTH_AND_ENCODING: Option<&str> = Some("Content-Length: beside a Transfer-Encoding");
const BARE_LF: Option<&str> = Some("head: a line that ends in LF alone");
const WRONG_LENGTH: Option<&str> = Some("Content-Length: not the body's");

/// The result does not depend on how the bytes are split over reads.
#[test_case("GET / HTTP/1.1\r\nA: b\r\n\r\nGET / HTTP/1.1\r\n\r\n", None, false; "two requests")]
#[test_case("P / H\r\nContent-Length: 4\r\n\r\nA:\r\nP / H\r\n\r\n", None, false; "a body skipped")]
#[test_case("P / H\r\nContent-Length: 2\r\n\r\nlonger", WRONG_LENGTH, true; "a body past its length")]
#[test_case("P / H\r\ncontent-length:4\r\nTRANSFER-ENCODING : x\r\n\r\n", LENGTH_AND_ENCODING, true; "both, in any form")]
#[test_case("P / H\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n", LENGTH_AND_ENCODING, true; "in the other order")]
#[test_case("P / H\r\nA: b\nC: d\r\n\r\n", BARE_LF, true; "LF alone")]
#[test_case("P / H\r\nA: b\r\n\n", BARE_LF, true; "LF alone at the end")]
#[test_case("P / H\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n", None, true; "encoding alone")]
fn framing_is_tracked(bytes: &str, fault: Option<&str>, must_close: bool) {
    for size in [1, 2, 7, 1000] {
        let framing = RequestFraming::default();
        bytes.as_bytes().chunks(size).for_each(|part| framing.on_read(part));
        assert_eq!(
            (framing.fault(), framing.must_close(), framing.head_started()),
            (fault, must_close, framing.head_started())
        );
        assert_eq!(framing.head_started().is_some(), fault == WRONG_LENGTH, "no head is incomplete");
    }
}
