//! Streams that break off and are taken up by a server that does not continue them.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use testutils::byte_server::ByteRequest;
use testutils::byte_server::ByteServer;
use testutils::byte_server::ByteStep;
use testutils::byte_server::chunk;
use testutils::byte_server::signed_head;
use testutils::deployment_standin::DeploymentStandin;
use testutils::deployment_standin::SERVICE;
use testutils::deployment_standin::STREAM_EVENTS;
use testutils::deployment_standin::event_text;
use testutils::gateway_fixture::GatewayFixture;
use testutils::gateway_process::request_headers;
use testutils::raw_caller::RawCaller;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");

/// Events that the first server sends before it breaks off or falls silent.
const FIRST_EVENTS: u64 = 3;

/// Longer than a host waits before it hedges a stream.
const SILENCE: Duration = Duration::from_millis(3_500);

/// Text that marks what may not reach a caller.
const FOREIGN: &str = "foreign";

const STREAM_FIELDS: &str =
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
const UNFRAMED_FIELDS: &str = "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n";
const TEXT_FIELDS: &str =
    "Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";

/// How a server answers that is asked to go on after an event.
#[derive(Clone, Copy, Debug)]
enum Resumption {
    /// With an error, its content type and whether it is signed.
    Error(&'static str, &'static str, bool),
    /// With a refusal of this status.
    Refusal(&'static str),
    /// With a whole text instead of events.
    Text,
    /// With an event that has no number.
    Unnumbered,
    /// Without the next event, but with the rest.
    Gap,
    /// With all events from this one.
    EventsFrom(u64),
    /// With the whole stream, in chunks.
    FromStart,
    /// With the part of the stream that the caller has, in an answer that ends with its connection.
    OnlyKnown,
    /// With nothing but a head, in an answer that ends with its connection.
    Empty,
    /// With an error's head inside the body.
    NestedHead,
}

fn events(ids: impl Iterator<Item = u64>) -> String {
    ids.map(event_text).collect()
}

impl Resumption {
    fn answer(self, request: &ByteRequest) -> String {
        let after = request.resume_after.unwrap_or(0);
        let stream = |text: &str| {
            let head = signed_head(request, "200 OK", STREAM_FIELDS);
            format!("{head}{}0\r\n\r\n", chunk(text))
        };
        match self {
            Self::Error(status, kind, is_signed) => {
                let length = FOREIGN.len() + 2;
                let fields = format!(
                    "Content-Type: {kind}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
                );
                let head = signed_head(request, status, &fields);
                let head = if is_signed { head } else { head.replace("Replica-Signature", "X") };
                format!("{head}{FOREIGN}\n\n")
            }
            Self::Refusal(status) => signed_head(
                request,
                status,
                "Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
            ),
            Self::Text => {
                let head = signed_head(request, "200 OK", TEXT_FIELDS);
                format!("{head}{}0\r\n\r\n", chunk(&format!("{FOREIGN}\n\n")))
            }
            Self::Unnumbered => stream(&format!("event: error\ndata: {FOREIGN}\n\n")),
            Self::Gap => stream(&events(after + 2..=STREAM_EVENTS)),
            Self::EventsFrom(first) => stream(&events(first..=STREAM_EVENTS)),
            Self::FromStart => stream(&events(1..=STREAM_EVENTS)),
            Self::OnlyKnown => {
                let head = signed_head(request, "200 OK", UNFRAMED_FIELDS);
                format!("{head}{}", events(1..after))
            }
            Self::Empty => signed_head(request, "200 OK", UNFRAMED_FIELDS),
            Self::NestedHead => stream(&format!(
                "HTTP/1.1 500 Internal Server Error\r\nX-Kind: {FOREIGN}\r\n\r\n{FOREIGN}\n\n"
            )),
        }
    }
}

/// What a server does after the events that it sends first.
#[derive(Clone, Copy, Debug)]
enum FirstEnd {
    Reset,
    /// It is silent, sends the rest and ends.
    Silence,
}

fn steps(request: &ByteRequest, end: FirstEnd, resumption: Resumption) -> Vec<ByteStep> {
    if !request.path.starts_with("/brief/") {
        let fields = "Content-Length: 0\r\nConnection: close\r\n\r\n";
        return vec![ByteStep::Send(signed_head(request, "200 OK", fields))];
    }
    if request.resume_after.is_some() {
        return vec![ByteStep::Send(resumption.answer(request))];
    }
    let head = signed_head(request, "200 OK", STREAM_FIELDS);
    let first = ByteStep::Send(format!("{head}{}", chunk(&events(1..=FIRST_EVENTS))));
    match end {
        FirstEnd::Reset => vec![first, ByteStep::Reset],
        FirstEnd::Silence => {
            let rest = chunk(&events(FIRST_EVENTS + 1..=STREAM_EVENTS));
            vec![first, ByteStep::Pause(SILENCE), ByteStep::Send(format!("{rest}0\r\n\r\n"))]
        }
    }
}

/// Starts a host in front of two servers whose streams break off and are taken up.
fn start(number: u8, end: FirstEnd, resumption: Resumption) -> (GatewayFixture, [ByteServer; 2]) {
    start_with(number, move |request| steps(request, end, resumption))
}

/// Starts a host in front of two servers.
fn start_with(
    number: u8,
    answer: impl Fn(&ByteRequest) -> Vec<ByteStep> + Copy + Send + Sync + 'static,
) -> (GatewayFixture, [ByteServer; 2]) {
    let servers = [answer; 2].map(|answer| ByteServer::start(answer).expect("valid in tests"));
    let mut standin = DeploymentStandin::start_with(&[SERVICE; 2]).expect("valid in tests");
    for (index, server) in servers.iter().enumerate() {
        standin.replicas[index] = server.address;
        standin.register_replica(index, "ready");
    }
    standin.publish_config(3);
    (GatewayFixture::start_host(PROGRAM, Arc::new(standin), number).serving(), servers)
}

/// What a caller received of a stream.
#[derive(Debug)]
struct ReceivedStream {
    events: String,
    is_complete: bool,
}

fn call_stream(fixture: &GatewayFixture, id: &str, fields: &str) -> ReceivedStream {
    let headers = request_headers(id).map(|(name, value)| format!("{name}: {value}\r\n"));
    let mut caller = RawCaller::connect(&fixture.ip).expect("the host accepts");
    let request = format!(
        "POST /brief/1 HTTP/1.1\r\n{}{fields}Connection: close\r\nContent-Length: 0\r\n\r\n",
        headers.concat()
    );
    caller.send(&request).expect("the host reads");
    let text = caller.text_to_close().expect("the host closes");
    let (head, body) = text.split_once("\r\n\r\n").expect("the host answers");
    if !head.to_ascii_lowercase().contains("transfer-encoding: chunked") {
        return ReceivedStream { events: String::new(), is_complete: false };
    }
    let (mut events, mut rest, mut is_complete) = (String::new(), body, false);
    while let Some((size, tail)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("the host sends chunks");
        is_complete = size == 0;
        if is_complete || tail.len() < size + 2 {
            break;
        }
        events.push_str(&tail[..size]);
        rest = &tail[size + 2..];
    }
    ReceivedStream { events, is_complete }
}

/// Asserts that a caller received the stream after an event, or a beginning of it that breaks off visibly.
fn assert_sound(stream: &ReceivedStream, after: u64) {
    let whole = events(after + 1..=STREAM_EVENTS);
    assert!(whole.starts_with(&stream.events), "{stream:?}");
    assert!(!stream.is_complete || stream.events == whole, "{stream:?}");
}

/// Servers that took up a stream and did not continue it had their bytes relayed into it, or ended it as if it
/// were complete (ORDER, MIXED).
#[rstest]
#[case::error_500(1, Resumption::Error("500 Internal Server Error", "text/event-stream", true))]
#[case::error_502(2, Resumption::Error("502 Bad Gateway", "text/html", true))]
#[case::error_504(3, Resumption::Error("504 Gateway Timeout", "application/json", true))]
#[case::unsigned_500(4, Resumption::Error("500 Oops", "text/event-stream", false))]
#[case::refused_503(5, Resumption::Refusal("503 Service Unavailable"))]
#[case::refused_429(6, Resumption::Refusal("429 Too Many Requests"))]
#[case::refused_421(7, Resumption::Refusal("421 Misdirected Request"))]
#[case::other_type(8, Resumption::Text)]
#[case::unnumbered(9, Resumption::Unnumbered)]
#[case::gap(10, Resumption::Gap)]
#[case::repeated(11, Resumption::EventsFrom(2))]
#[case::from_start(12, Resumption::FromStart)]
#[case::only_known(13, Resumption::OnlyKnown)]
#[case::empty(14, Resumption::Empty)]
#[case::nested_head(15, Resumption::NestedHead)]
fn resumed_stream(#[case] number: u8, #[case] resumption: Resumption) {
    let (fixture, servers) = start(150 + number, FirstEnd::Reset, resumption);
    let stream = call_stream(&fixture, "r1", "");
    assert_sound(&stream, 0);
    assert!(stream.events.starts_with(&events(1..=FIRST_EVENTS)), "{stream:?}");
    let is_resumed = |server: &ByteServer| {
        server.requests().iter().any(|request| request.resume_after == Some(FIRST_EVENTS))
    };
    assert!(servers.iter().any(is_resumed), "a server is asked to go on");
}

/// As a hedge beside a silent stream, such a server had it replaced.
#[rstest]
#[case::error_500(1, Resumption::Error("500 Internal Server Error", "text/event-stream", true))]
#[case::refused_503(2, Resumption::Refusal("503 Service Unavailable"))]
#[case::other_type(3, Resumption::Text)]
#[case::unnumbered(4, Resumption::Unnumbered)]
#[case::gap(5, Resumption::Gap)]
#[case::repeated(6, Resumption::EventsFrom(2))]
#[case::only_known(7, Resumption::OnlyKnown)]
#[case::empty(8, Resumption::Empty)]
#[case::nested_head(9, Resumption::NestedHead)]
fn hedged_stream(#[case] number: u8, #[case] resumption: Resumption) {
    let (fixture, _servers) = start(170 + number, FirstEnd::Silence, resumption);
    let stream = call_stream(&fixture, "r1", "");
    assert_sound(&stream, 0);
    assert!(stream.events.starts_with(&events(1..=FIRST_EVENTS)), "{stream:?}");
}

/// A caller that takes its stream up got an answer that ends as if nothing were left.
#[rstest]
#[case::error_500(1, Resumption::Error("500 Internal Server Error", "text/event-stream", true))]
#[case::refused_503(2, Resumption::Refusal("503 Service Unavailable"))]
#[case::other_type(3, Resumption::Text)]
#[case::unnumbered(4, Resumption::Unnumbered)]
#[case::from_start(5, Resumption::FromStart)]
#[case::only_known(6, Resumption::OnlyKnown)]
#[case::empty(7, Resumption::Empty)]
#[case::nested_head(8, Resumption::NestedHead)]
fn caller_resumes(#[case] number: u8, #[case] resumption: Resumption) {
    let (fixture, servers) = start(180 + number, FirstEnd::Reset, resumption);
    call_stream(&fixture, "r1", "");
    let fields = format!("Resumes: r1\r\nLast-Event-Id: {FIRST_EVENTS}\r\n");
    let stream = call_stream(&fixture, "r2", &fields);
    assert_sound(&stream, FIRST_EVENTS);
    let is_asked = |server: &ByteServer| server.requests().iter().any(|request| request.id == "r2");
    assert!(servers.iter().any(is_asked), "a server is asked to go on: {stream:?}");
}

/// A new stream whose answer has neither a length nor chunks and ends before its first event was relayed as a
/// complete one.
#[test]
fn empty_stream() {
    let answer = |request: &ByteRequest| match request.path.starts_with("/brief/") {
        true => vec![ByteStep::Send(signed_head(request, "200 OK", UNFRAMED_FIELDS))],
        false => steps(request, FirstEnd::Reset, Resumption::Empty),
    };
    let (fixture, _servers) = start_with(190, answer);
    assert_sound(&call_stream(&fixture, "r1", ""), 0);
}

/// The end of a stream was lost after its last event: a resumed run has nothing left to send.
#[rstest]
#[case::framed(
    192,
    "Content-Type: text/event-stream\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
    true
)]
#[case::unframed(193, UNFRAMED_FIELDS, false)]
fn lost_end(#[case] number: u8, #[case] fields: &'static str, #[case] is_complete: bool) {
    let answer = move |request: &ByteRequest| match request.path.starts_with("/brief/") {
        true if request.resume_after == Some(STREAM_EVENTS) => {
            vec![ByteStep::Send(signed_head(request, "200 OK", fields))]
        }
        true => {
            let head = signed_head(request, "200 OK", STREAM_FIELDS);
            let whole = chunk(&events(1..=STREAM_EVENTS));
            vec![ByteStep::Send(format!("{head}{whole}")), ByteStep::Reset]
        }
        false => steps(request, FirstEnd::Reset, Resumption::Empty),
    };
    let (fixture, _servers) = start_with(number, answer);
    let stream = call_stream(&fixture, "r1", "");
    assert_eq!((stream.events, stream.is_complete), (events(1..=STREAM_EVENTS), is_complete));
}

/// A stream whose events have no numbers was begun anew at another server, behind what its caller had.
#[test]
fn unnumbered_stream() {
    let answer = |request: &ByteRequest| match request.path.starts_with("/brief/") {
        true => {
            let head = signed_head(request, "200 OK", STREAM_FIELDS);
            let body = chunk("data: piece 1\n\ndata: piece 2\n\n");
            vec![ByteStep::Send(format!("{head}{body}")), ByteStep::Reset]
        }
        false => steps(request, FirstEnd::Reset, Resumption::Empty),
    };
    let (fixture, _servers) = start_with(191, answer);
    let stream = call_stream(&fixture, "r1", "");
    assert_eq!(stream.events, "data: piece 1\n\ndata: piece 2\n\n");
    assert!(!stream.is_complete);
}

/// A stream that broke off looked complete to a caller that speaks HTTP/1.0, whose answers end with their
/// connection (MIXED, ORDER).
#[test]
fn old_caller() {
    let error = Resumption::Error("500 Internal Server Error", "text/plain", true);
    let (fixture, _servers) = start(194, FirstEnd::Reset, error);
    let headers = request_headers("r1").map(|(name, value)| format!("{name}: {value}\r\n"));
    let mut caller = RawCaller::connect(&fixture.ip).expect("the host accepts");
    let head = format!("POST /brief/1 HTTP/1.0\r\n{}Content-Length: 0\r\n\r\n", headers.concat());
    caller.send(&head).expect("the host reads");
    let text = caller.text_to_close();
    let is_refused = text.as_ref().is_ok_and(|text| !text.contains(" 200 "));
    assert!(text.is_err() || is_refused, "{text:?}");
}
