//! Callers of streams, and what they received.

use std::io;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::clock::wall_ms;
use crate::http::call;
use crate::http::read_body;
use crate::http::read_chunk;
use crate::http::read_head;
use crate::http::send_request;

/// Time for which a caller waits for its stream.
const DEADLINE: Duration = Duration::from_secs(15);

/// Time without an event after which a caller abandons its stream: four times the latency goal, or eight times
/// the pause that the sheet allows.
const ABANDON_TIME: Duration = Duration::from_millis(6_400);

/// Time for which a caller waits for the answer to a plain call.
const CALL_DEADLINE: Duration = Duration::from_secs(3);

/// A part of an answer.
#[derive(Clone, Debug)]
pub struct Event {
    /// Number.
    pub number: u64,
    /// Version of the software of the server that wrote it.
    pub version: String,
    /// Server that wrote it.
    pub server: String,
}

/// How an attempt of a caller ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer is complete.
    Whole,
    /// The answer broke off, or the connection did.
    Broken,
    /// The answer has another status than 200.
    Status(u16),
}

/// An attempt of a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Identifier.
    pub request_id: String,
    /// Address that it was sent to.
    pub host: SocketAddr,
    /// When it was sent.
    pub sent_ms: u64,
    /// When it ended.
    pub ended_ms: u64,
    /// Last event that the caller had before.
    pub after: u64,
    /// What it brought.
    pub events: Vec<Event>,
    /// How it ended.
    pub end: AttemptEnd,
}

/// A stream that a caller wants.
#[derive(Clone, Debug)]
pub struct WantedStream {
    /// Name, from which the identifiers of attempts are derived.
    pub name: String,
    /// Number of events.
    pub count: u64,
    /// First part of the prompt, which other streams may share.
    pub prefix: u64,
}

/// Makes one attempt. With `origin`, the stream is taken up that this attempt began.
pub fn attempt(
    host: SocketAddr,
    wanted: &WantedStream,
    try_number: u32,
    origin: Option<&str>,
    after: u64,
) -> Attempt {
    let request_id = format!("{}-{try_number}", wanted.name);
    let mut attempt = Attempt {
        request_id,
        host,
        sent_ms: wall_ms(),
        ended_ms: 0,
        after,
        events: Vec::new(),
        end: AttemptEnd::Broken,
    };
    if let Ok(end) = read_stream(wanted, origin, &mut attempt) {
        attempt.end = end;
    }
    attempt.ended_ms = wall_ms();
    attempt
}

fn read_stream(
    wanted: &WantedStream,
    origin: Option<&str>,
    attempt: &mut Attempt,
) -> io::Result<AttemptEnd> {
    let after = attempt.after.to_string();
    let deadline = DEADLINE.as_millis().to_string();
    let prompt = format!("{:x}:60,{:x}:40", wanted.prefix, attempt.sent_ms);
    let mut fields = vec![
        ("Host", "desk.example"),
        ("Request-Id", attempt.request_id.as_str()),
        ("Model-Name", "m"),
        ("Token-Counts", "100,400"),
        ("Prompt-Prefix", prompt.as_str()),
        ("Request-Deadline", deadline.as_str()),
        ("Authorization", "Token key-1"),
    ];
    if let Some(origin) = origin {
        fields.extend([("Resumes", origin), ("Last-Event-Id", after.as_str())]);
    }
    let start = format!("POST /brief/1/events-{}", wanted.count);
    let body = wanted.name.as_bytes();
    let mut reader = send_request(attempt.host, &start, &fields, body, ABANDON_TIME)?;
    let Some(mut head) = read_head(&mut reader)? else { return Ok(AttemptEnd::Broken) };
    if head.status() != 200 {
        read_body(&mut reader, &mut head)?;
        return Ok(AttemptEnd::Status(head.status()));
    }
    read_events(&mut reader, &mut attempt.events)
}

fn read_events(
    reader: &mut BufReader<TcpStream>,
    events: &mut Vec<Event>,
) -> io::Result<AttemptEnd> {
    let mut pending = String::new();
    loop {
        let chunk = read_chunk(reader)?;
        if chunk.is_empty() {
            return Ok(AttemptEnd::Whole);
        }
        pending.push_str(&String::from_utf8_lossy(&chunk));
        while let Some((event, rest)) = pending.split_once("\n\n") {
            events.extend(parse_event(event));
            pending = rest.to_owned();
        }
    }
}

fn parse_event(event: &str) -> Option<Event> {
    let number = event.lines().find_map(|line| line.strip_prefix("id: "))?.parse().ok()?;
    let data = event.lines().find_map(|line| line.strip_prefix("data: "))?;
    let mut words = data.split(' ');
    let (version, server) = (words.next()?.to_owned(), words.next()?.to_owned());
    Some(Event { number, version, server })
}

/// Makes a plain call that may not be repeated, over a connection of its own.
pub fn confirm(host: SocketAddr, request_id: &str) -> Attempt {
    let sent_ms = wall_ms();
    let fields = [
        ("Host", "desk.example"),
        ("Request-Id", request_id),
        ("Request-Deadline", "3000"),
        ("Authorization", "Token key-1"),
    ];
    let body = request_id.as_bytes();
    let answer = call(host, "POST /confirm/1", &fields, body, CALL_DEADLINE);
    let end = answer.map_or(AttemptEnd::Broken, |answer| match answer.status() {
        200 => AttemptEnd::Whole,
        status => AttemptEnd::Status(status),
    });
    let (request_id, events) = (request_id.to_owned(), Vec::new());
    Attempt { request_id, host, sent_ms, ended_ms: wall_ms(), after: 0, events, end }
}
