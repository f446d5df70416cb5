//! Servers of the own interface that break off anywhere in an answer.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail by panicking, too")]

use pomelostack_lib::app_client::AppClient;
use pomelostack_lib::app_server::AppRequest;
use pomelostack_lib::app_server::AppServer as _;
use pomelostack_lib::attempt_stop::AttemptStop;
use pomelostack_lib::engine::GenerateRequest;
use pomelostack_lib::engine::ModelEngine as _;
use pomelostack_lib::engine::RequestPriority;
use pomelostack_lib::engine::ServerError;
use pomelostack_lib::engine::StreamFlow;
use pomelostack_lib::engine_client::EngineClient;
use pomelostack_lib::http_client::HttpClientLimits;
use pomelostack_lib::ids::AttemptNumber;
use pomelostack_lib::ids::RequestId;
use rstest::rstest;
use testutils::bounded_wait::WAIT_TIMEOUT;
use testutils::raw_server::RawServer;

const REQUEST: RequestId = RequestId { origin: 1, sequence: 2 };

/// Lines of a whole stream, without the last line's end.
const STREAM_LINES: &str = "\"accepted\"\n{\"token\":{\"offset\":0,\"text\":\"a\"}}\n\
    {\"end\":{\"finish_reason\":\"length\",\"end_offset\":1,\"prompt_tokens\":1,\
    \"cached_tokens\":0,\"computed_tokens\":1}}";

/// A cut answer was taken for a whole one. The last chunk completes a body, whatever follows it.
#[rstest]
#[case::sized("HTTP/1.1 200 OK\r\nX-Note: a\r\nContent-Length: 12\r\n\r\nabcdefghijkl")]
#[case::chunked("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n")]
#[case::redirect("HTTP/1.1 302 Found\r\nLocation: /a\r\nContent-Length: 2\r\n\r\nab")]
#[case::after_interim("HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na")]
#[case::refusal("HTTP/1.1 503 Busy\r\nPomelostack-Ran: false\r\nContent-Length: 1\r\n\r\na")]
fn cut_call(#[case] answer: &str) {
    for bytes in 0..answer.len() {
        let server = RawServer::start(answer[..bytes].to_owned()).unwrap();
        let client = AppClient::new(server.address(), HttpClientLimits::default());
        let request = AppRequest {
            request: REQUEST,
            attempt: AttemptNumber(1),
            method: "POST".to_owned(),
            path: "/slots".to_owned(),
            headers: Vec::new(),
            body: b"one".to_vec(),
            idempotency_key: None,
            fence: None,
        };
        let error = client.call(&request, WAIT_TIMEOUT).expect_err("the answer is cut");
        assert!(matches!(error, ServerError::Lost(_)), "{bytes} bytes: {error:?}");
    }
}

/// A stream without its end line was taken for a whole one, or the text of an error for tokens.
#[rstest]
#[case::unframed("HTTP/1.1 200 OK\r\n\r\n", STREAM_LINES)]
#[case::error("HTTP/1.1 500 Error\r\nContent-Length: 7\r\n\r\n", "foreign")]
#[case::error_with_lines("HTTP/1.1 502 Bad Gateway\r\n\r\n", "\"accepted\"\n")]
#[case::text("HTTP/1.1 200 OK\r\n\r\n", "foreign\nforeign\n")]
fn cut_stream(#[case] head: &str, #[case] body: &str) {
    let answer = format!("{head}{body}");
    for bytes in 0..answer.len() {
        let server = RawServer::start(answer[..bytes].to_owned()).unwrap();
        let client = EngineClient::new(server.address(), HttpClientLimits::default());
        let request = GenerateRequest {
            request: REQUEST,
            attempt: AttemptNumber(1),
            model: "forecast".to_owned(),
            prompt: "p".to_owned(),
            generated: String::new(),
            resume_from: 0,
            max_tokens: 1,
            priority: RequestPriority(0),
            fence: None,
        };
        let mut events = Vec::new();
        let error = client
            .generate(&request, WAIT_TIMEOUT, &AttemptStop::default(), &mut |event| {
                events.push(event);
                StreamFlow::Continue
            })
            .expect_err("the stream is cut");
        assert!(
            matches!(error, ServerError::Lost(_) | ServerError::Malformed(_)),
            "{bytes} bytes: {error:?}"
        );
        assert!(!format!("{events:?}").contains("foreign"), "{events:?}");
    }
}
