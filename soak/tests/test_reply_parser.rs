//! Reading replies piece by piece.

use pomelostack_soak::reply_parser::ParseError;
use pomelostack_soak::reply_parser::ReplyParser;
use pomelostack_soak::reply_parser::ReplyProgress;
use rstest::rstest;

const SIZED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n";
const EMPTY: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

#[rstest]
#[case::sized(SIZED, 200, b"whole")]
#[case::chunked(CHUNKED, 200, b"whole")]
#[case::empty(EMPTY, 503, b"")]
fn whole_reply(
    #[case] text: &str,
    #[case] status: u16,
    #[case] body: &[u8],
    #[values(1, 2, 7, 1_000)] piece: usize,
) {
    let mut parser = ReplyParser::default();
    for bytes in text.as_bytes().chunks(piece) {
        assert_ne!(parser.progress(), ReplyProgress::Complete);
        parser.push(bytes).expect("the reply is valid");
    }
    assert_eq!(parser.progress(), ReplyProgress::Complete);
    assert_eq!(parser.head().map(|head| head.status), Some(status));
    assert_eq!(parser.body(), body);
}

#[rstest]
#[case::no_length("HTTP/1.1 200 OK\r\n\r\n", ParseError::BadHead)]
#[case::other_protocol("ICY 200 OK\r\nContent-Length: 0\r\n\r\n", ParseError::BadHead)]
#[case::no_colon("HTTP/1.1 200 OK\r\nContent-Length\r\n\r\n", ParseError::BadHead)]
#[case::bad_chunk(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
    ParseError::BadChunk
)]
#[case::extra_bytes("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nabc", ParseError::ExtraBytes)]
fn malformed_reply(#[case] text: &str, #[case] error: ParseError) {
    assert_eq!(ReplyParser::default().push(text.as_bytes()), Err(error));
}
