//! Tests of the engine client against a stand-in engine over HTTP.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail by panicking, too")]

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use pomelostack_lib::attempt_stop::AttemptStop;
use pomelostack_lib::engine::CacheChange;
use pomelostack_lib::engine::EngineOrder;
use pomelostack_lib::engine::FinishReason;
use pomelostack_lib::engine::GenerateEnd;
use pomelostack_lib::engine::GenerateEvent;
use pomelostack_lib::engine::GenerateRequest;
use pomelostack_lib::engine::ModelEngine;
use pomelostack_lib::engine::RequestPriority;
use pomelostack_lib::engine::Result;
use pomelostack_lib::engine::ServerError;
use pomelostack_lib::engine::StreamFlow;
use pomelostack_lib::engine_client::EngineClient;
use pomelostack_lib::http_client::HttpClientLimits;
use pomelostack_lib::ids::AttemptNumber;
use pomelostack_lib::ids::FencingToken;
use pomelostack_lib::ids::RequestId;
use pomelostack_lib::prompt::count_tokens;
use pomelostack_lib::prompt::hash_blocks;
use pomelostack_lib::server_connector::HttpConnector;
use pomelostack_lib::session_ports::ServerConnector as _;
use rstest::rstest;
use testutils::bounded_wait::WAIT_TIMEOUT;
use testutils::bounded_wait::wait_for;
use testutils::engine_standin::EngineFault;
use testutils::engine_standin::EngineSettings;
use testutils::engine_standin::EngineStandin;
use testutils::engine_standin::whole_answer;
use testutils::journal::RunOutcome;
use testutils::raw_server::RawServer;

const MODEL: &str = "forecast";
/// Decode step longer than any test runs.
const ENDLESS_STEP: Duration = Duration::from_secs(3600);

fn start(settings: EngineSettings) -> (EngineStandin, EngineClient) {
    let engine = EngineStandin::start(settings).unwrap();
    let client = EngineClient::new(engine.address(), HttpClientLimits::default());
    (engine, client)
}

fn endless() -> EngineSettings {
    EngineSettings { decode_step: ENDLESS_STEP, ..EngineSettings::default() }
}

fn request(sequence: u64, prompt: &str) -> GenerateRequest {
    GenerateRequest {
        request: RequestId { origin: 1, sequence },
        attempt: AttemptNumber(1),
        model: MODEL.to_owned(),
        prompt: prompt.to_owned(),
        generated: String::new(),
        resume_from: 0,
        max_tokens: 1_000,
        priority: RequestPriority(0),
        fence: None,
    }
}

fn long_prompt(words: usize) -> String {
    (0..words).map(|word| format!("word{word} ")).collect()
}

/// Runs a request until it ends and returns its text and end.
fn run(client: &dyn ModelEngine, request: &GenerateRequest) -> Result<(String, GenerateEnd)> {
    let mut text = String::new();
    let end = client.generate(request, WAIT_TIMEOUT, &AttemptStop::default(), &mut |event| {
        if let GenerateEvent::Token(chunk) = event {
            text.push_str(&chunk.text);
        }
        StreamFlow::Continue
    })?;
    Ok((text, end))
}

#[test]
fn complete_stream() {
    let (engine, client) = start(EngineSettings::default());
    let wanted = request(1, "wind at the start");
    let mut events = Vec::new();
    let end = client.generate(&wanted, WAIT_TIMEOUT, &AttemptStop::default(), &mut |event| {
        events.push(event);
        StreamFlow::Continue
    });
    let end = end.unwrap();
    assert_eq!(events.remove(0), GenerateEvent::Accepted);
    let mut text = String::new();
    for (index, event) in events.iter().enumerate() {
        let GenerateEvent::Token(chunk) = event else { panic!("unexpected {event:?}") };
        assert_eq!(chunk.offset as usize, index);
        text.push_str(&chunk.text);
    }
    assert_eq!(text, whole_answer(MODEL, &wanted.prompt, 1_000));
    assert_eq!(end.end_offset as usize, events.len());
    assert_eq!(end.finish_reason, FinishReason::Stop);
    assert_eq!((end.prompt_tokens, end.computed_tokens), (4, 4));
    wait_for(|| engine.journal().entries()[0].outcome == Some(RunOutcome::Done));
}

#[test]
fn resume_on_other_engine() {
    let (_first, client) = start(EngineSettings::default());
    let (_second, other) = start(EngineSettings::default());
    let mut wanted = request(1, "course to the mark [[tokens=40]]");
    let mut head = String::new();
    let stopped = client.generate(&wanted, WAIT_TIMEOUT, &AttemptStop::default(), &mut |event| {
        if let GenerateEvent::Token(chunk) = event {
            head.push_str(&chunk.text);
        }
        if count_tokens(&head) == 11 { StreamFlow::Stop } else { StreamFlow::Continue }
    });
    assert!(matches!(stopped, Err(ServerError::Lost(_))));
    wanted.attempt = wanted.attempt.next();
    wanted.generated = head.clone();
    wanted.resume_from = 11;
    let (tail, end) = run(&other, &wanted).unwrap();
    assert_eq!(format!("{head}{tail}"), whole_answer(MODEL, &wanted.prompt, 1_000));
    assert_eq!(end.end_offset, 40);
}

#[test]
fn length_limit() {
    let (_engine, client) = start(EngineSettings::default());
    let mut wanted = request(1, "brief [[tokens=40]]");
    wanted.max_tokens = 7;
    let (text, end) = run(&client, &wanted).unwrap();
    assert_eq!(count_tokens(&text), 7);
    assert_eq!(end.finish_reason, FinishReason::Length);
}

#[test]
fn cached_prefix() {
    let (_engine, client) = start(EngineSettings::default());
    let prompt = long_prompt(64);
    let (_, cold) = run(&client, &request(1, &prompt)).unwrap();
    let (_, warm) = run(&client, &request(2, &format!("{prompt}and more"))).unwrap();
    assert_eq!((cold.cached_tokens, cold.computed_tokens), (0, 64));
    assert_eq!((warm.cached_tokens, warm.computed_tokens), (64, 2));
}

#[test]
fn evicted_prefix() {
    let (_engine, client) = start(EngineSettings { cache_blocks: 4, ..Default::default() });
    let prompt = format!("{}[[tokens=0]] ", long_prompt(63));
    let other: String = prompt.replace("word", "other");
    run(&client, &request(1, &prompt)).unwrap();
    run(&client, &request(2, &other)).unwrap();
    let (_, end) = run(&client, &request(3, &prompt)).unwrap();
    assert_eq!(end.cached_tokens, 0);
    let events = client.cache_events(0).unwrap();
    let evicted = events.iter().filter(|event| event.change == CacheChange::Evicted);
    let blocks: Vec<_> = evicted.map(|event| event.block).collect();
    let mut expected: Vec<_> = hash_blocks(&prompt).into_iter().rev().collect();
    expected.extend(hash_blocks(&other).into_iter().rev());
    assert_eq!(blocks, expected);
}

#[test]
fn lost_cache_events() {
    let settings = EngineSettings { cache_event_loss: 0.5, ..Default::default() };
    let (_engine, client) = start(settings);
    run(&client, &request(1, &long_prompt(1_600))).unwrap();
    let events = client.cache_events(0).unwrap();
    let last = events.last().unwrap().sequence;
    assert!(events.len() < 80 && last >= 80, "{} events up to {last}", events.len());
    let later = client.cache_events(last).unwrap();
    assert_eq!(later, events[events.len() - 1..]);
}

#[test]
fn stale_reports() {
    let day = Duration::from_secs(86_400);
    let settings =
        EngineSettings { load_lag: day, cache_event_lag: day, ..EngineSettings::default() };
    let (_engine, client) = start(settings);
    run(&client, &request(1, &long_prompt(64))).unwrap();
    assert_eq!(client.cache_events(0).unwrap(), []);
    let report = client.load_report().unwrap();
    assert_eq!((report.running, report.age_ms), (0, 86_400_000));
}

#[test]
fn priority_order() {
    let (engine, client) = start(EngineSettings { batch_limit: 1, ..endless() });
    thread::scope(|scope| {
        for (sequence, priority) in [(1, 0), (2, 1), (3, 7)] {
            let prompt = if sequence == 1 { "holds the batch" } else { "queued [[tokens=0]]" };
            let mut wanted = request(sequence, prompt);
            wanted.priority = RequestPriority(priority);
            let client = &client;
            scope.spawn(move || run(client, &wanted).map(drop));
            wait_for(|| engine.attempts() == sequence as usize);
        }
        assert_eq!(client.load_report().unwrap().queued, 2);
        client.cancel(RequestId { origin: 1, sequence: 1 }, AttemptNumber(1)).unwrap();
    });
    wait_for(|| engine.journal().entries().iter().all(|entry| entry.outcome.is_some()));
    let outcomes: Vec<_> = engine.journal().entries().iter().map(|entry| entry.outcome).collect();
    let [cancelled, done] = [RunOutcome::Cancelled, RunOutcome::Done].map(Some);
    assert_eq!(outcomes, [cancelled, done, done]);
    assert_eq!(
        engine.started_requests(),
        [1, 3, 2].map(|sequence| RequestId { origin: 1, sequence })
    );
}

#[test]
fn cancelled_stream() {
    let (engine, client) = start(endless());
    let wanted = request(1, "never ends");
    let mut accepted = false;
    let outcome = client.generate(&wanted, WAIT_TIMEOUT, &AttemptStop::default(), &mut |event| {
        accepted |= event == GenerateEvent::Accepted;
        client.cancel(wanted.request, wanted.attempt).unwrap();
        StreamFlow::Continue
    });
    assert!(accepted);
    assert!(matches!(outcome, Err(ServerError::Lost(_))), "{outcome:?}");
    wait_for(|| engine.journal().entries()[0].outcome == Some(RunOutcome::Cancelled));
}

#[test]
fn closed_connection() {
    let (engine, client) = start(endless());
    let outcome = client.generate(
        &request(1, "given up"),
        WAIT_TIMEOUT,
        &AttemptStop::default(),
        &mut |_| StreamFlow::Stop,
    );
    assert!(matches!(outcome, Err(ServerError::Lost(_))));
    wait_for(|| engine.journal().entries()[0].outcome == Some(RunOutcome::ClientGone));
    assert_eq!(engine.attempts(), 0);
}

/// A stopped attempt kept its connection to an engine that sent nothing, which worked on.
#[test]
fn stopped_attempt() {
    let (engine, client) = start(endless());
    engine.apply_fault(EngineFault::Mute(true));
    let stop = AttemptStop::default();
    let wanted = request(1, "never heard");
    let outcome = thread::scope(|scope| {
        let reader = scope
            .spawn(|| client.generate(&wanted, WAIT_TIMEOUT, &stop, &mut |_| StreamFlow::Continue));
        wait_for(|| engine.attempts() == 1);
        stop.stop();
        reader.join().unwrap()
    });
    assert!(matches!(outcome, Err(ServerError::Lost(_))), "{outcome:?}");
    wait_for(|| engine.journal().entries()[0].outcome == Some(RunOutcome::ClientGone));
}

#[test]
fn stopped_before_start() {
    let (engine, client) = start(endless());
    let stop = AttemptStop::default();
    stop.stop();
    let wanted = request(1, "never sent");
    let outcome = client.generate(&wanted, WAIT_TIMEOUT, &stop, &mut |_| StreamFlow::Continue);
    assert!(outcome.is_err(), "{outcome:?}");
    assert_eq!(engine.journal().entries(), []);
}

#[test]
fn kv_cache_transfer() {
    let settings =
        EngineSettings { decode_step: Duration::from_millis(1), ..EngineSettings::default() };
    let (_first, client) = start(settings);
    let (_second, other) = start(EngineSettings::default());
    let mut wanted = request(1, &format!("{}[[tokens=100000]]", long_prompt(100)));
    wanted.max_tokens = 100_000;
    let mut head = String::new();
    let mut export = None;
    let stopped = client.generate(&wanted, WAIT_TIMEOUT, &AttemptStop::default(), &mut |event| {
        let GenerateEvent::Token(chunk) = event else { return StreamFlow::Continue };
        head.push_str(&chunk.text);
        if chunk.offset < 9 {
            return StreamFlow::Continue;
        }
        export = Some(client.export_kv(wanted.request, wanted.attempt).unwrap());
        StreamFlow::Stop
    });
    assert!(stopped.is_err());
    let export = export.unwrap();
    wanted.attempt = wanted.attempt.next();
    wanted.generated = head;
    wanted.resume_from = 10;
    wanted.max_tokens = 12;
    other.import_kv(wanted.request, wanted.attempt, &export).unwrap();
    let (_, end) = run(&other, &wanted).unwrap();
    assert!(export.tokens >= end.prompt_tokens);
    assert_eq!((end.cached_tokens, end.computed_tokens), (end.prompt_tokens, 0));
    let gone = client.export_kv(RequestId::default(), AttemptNumber(1));
    assert!(matches!(gone, Err(ServerError::Refused(_))));
}

#[test]
fn stale_fencing_token() {
    let order = EngineOrder::LoadModel("agenda".to_owned());
    for fencing_check in [true, false] {
        let (_engine, client) = start(EngineSettings { fencing_check, ..Default::default() });
        client.order(&order, Some(FencingToken(8))).unwrap();
        client.order(&order, None).unwrap();
        let late = client.order(&order, Some(FencingToken(7)));
        let mut wanted = request(1, "fenced");
        wanted.model = "agenda".to_owned();
        wanted.fence = Some(FencingToken(7));
        let outcome = run(&client, &wanted).map(drop);
        let expected =
            if fencing_check { Err(ServerError::Fenced(FencingToken(8))) } else { Ok(()) };
        assert_eq!((late, outcome), (expected.clone(), expected));
    }
}

#[test]
fn unloaded_model() {
    let settings = EngineSettings { models: vec!["agenda".to_owned()], ..Default::default() };
    let (engine, client) = start(settings);
    let mut wanted = request(1, "which model");
    assert!(matches!(run(&client, &wanted), Err(ServerError::Refused(_))));
    wanted.model = "agenda:court".to_owned();
    assert!(matches!(run(&client, &wanted), Err(ServerError::Refused(_))));
    client.order(&EngineOrder::LoadAdapter("court".to_owned()), None).unwrap();
    run(&client, &wanted).unwrap();
    client.order(&EngineOrder::UnloadAdapter("court".to_owned()), None).unwrap();
    assert!(matches!(run(&client, &wanted), Err(ServerError::Refused(_))));
    assert_eq!(engine.journal().entries().len(), 1);
}

#[test]
fn full_queue() {
    let (engine, client) = start(EngineSettings { queue_limit: 0, ..Default::default() });
    let outcome = run(&client, &request(1, "no room"));
    assert!(matches!(outcome, Err(ServerError::Refused(_))), "{outcome:?}");
    assert_eq!(engine.journal().entries(), []);
}

#[test]
fn duplicate_attempt() {
    let (engine, client) = start(endless());
    let wanted = request(1, "sent twice");
    let outcome = client.generate(&wanted, WAIT_TIMEOUT, &AttemptStop::default(), &mut |_| {
        // The first call runs, so the second must not report that nothing ran.
        let second = run(&client, &wanted);
        assert!(matches!(second, Err(ServerError::Malformed(_))), "{second:?}");
        StreamFlow::Stop
    });
    assert!(outcome.is_err());
    assert_eq!(engine.journal().entries().len(), 1);
}

const TOKEN_LINE: &str = "{\"token\":{\"offset\":0,\"text\":\"a \"}}\n";

#[rstest]
#[case::no_end(TOKEN_LINE, ServerError::Lost("stream ended without an end line".to_owned()))]
#[case::truncated_line(&TOKEN_LINE[..9], ServerError::Lost("stream ended within a line".to_owned()))]
#[case::long_line(&"x".repeat(2_000), ServerError::Malformed("answer exceeds 1000 bytes".to_owned()))]
fn broken_stream(#[case] lines: &str, #[case] expected: ServerError) {
    let server = RawServer::start(format!("HTTP/1.1 200 OK\r\n\r\n{lines}")).unwrap();
    let limits = HttpClientLimits { max_line_bytes: 1_000, ..HttpClientLimits::default() };
    let client = EngineClient::new(server.address(), limits);
    assert_eq!(run(&client, &request(1, "x")).map(drop), Err(expected));
}

#[rstest]
#[case::not_json("oops\n")]
#[case::unknown_line("{\"bye\":1}\n")]
#[case::negative_offset("{\"token\":{\"offset\":-1,\"text\":\"a\"}}\n")]
fn malformed_line(#[case] lines: &str) {
    let server = RawServer::start(format!("HTTP/1.1 200 OK\r\n\r\n{lines}")).unwrap();
    let client = EngineClient::new(server.address(), HttpClientLimits::default());
    let outcome = run(&client, &request(1, "x"));
    assert!(matches!(outcome, Err(ServerError::Malformed(_))), "{outcome:?}");
}

#[rstest]
#[case::plain("503 Busy", "busy")]
#[case::ran("503 Busy", "{\"ran\":true,\"reason\":\"x\"}")]
#[case::ran_not_stated("429 Busy", "{\"reason\":\"x\"}")]
fn unproven_refusal(#[case] status: &str, #[case] body: &str) {
    let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
    let server = RawServer::start(head + body).unwrap();
    let client = EngineClient::new(server.address(), HttpClientLimits::default());
    let outcome = run(&client, &request(1, "x"));
    assert!(matches!(outcome, Err(ServerError::Malformed(_))), "{outcome:?}");
}

#[test]
fn refused_work() {
    let (engine, client) = start(EngineSettings::default());
    engine.apply_fault(EngineFault::RefuseWork(true));
    assert!(matches!(run(&client, &request(1, "no")), Err(ServerError::Refused(_))));
    engine.apply_fault(EngineFault::RefuseWork(false));
    run(&client, &request(1, "yes")).unwrap();
    assert_eq!(engine.journal().entries().len(), 1);
}

#[test]
fn crash_marker() {
    let (engine, client) = start(EngineSettings::default());
    let outcome = run(&client, &request(1, "boom [[crash]]"));
    assert!(matches!(outcome, Err(ServerError::Lost(_))), "{outcome:?}");
    let entries = engine.journal().entries();
    assert_eq!((entries.len(), entries[0].end_ms), (1, None));
    wait_for(|| !engine.is_up());
    let refused = run(&client, &request(2, "fine"));
    assert!(matches!(refused, Err(ServerError::NotConnected(_))), "{refused:?}");
    engine.stop();
}

#[test]
fn crash_restart() {
    let (engine, client) = start(EngineSettings::default());
    let prompt = long_prompt(64);
    run(&client, &request(1, &prompt)).unwrap();
    engine.apply_fault(EngineFault::Crash { restart_after_ms: Some(1) });
    wait_for(|| engine.is_up());
    let (_, end) = run(&client, &request(2, &prompt)).unwrap();
    assert_eq!(end.cached_tokens, 0);
}

#[test]
fn silent_connection() {
    let settings =
        EngineSettings { decode_step: Duration::from_millis(2), ..EngineSettings::default() };
    let (engine, client) = start(settings);
    let gap = Duration::from_millis(500);
    let mut silenced = false;
    let mut wanted = request(1, "goes silent [[tokens=1000000]]");
    wanted.max_tokens = 1_000_000;
    let outcome = client.generate(&wanted, gap, &AttemptStop::default(), &mut |event| {
        if let (GenerateEvent::Token(_), false) = (event, silenced) {
            engine.apply_fault(EngineFault::SilenceConnections);
            silenced = true;
        }
        StreamFlow::Continue
    });
    assert_eq!(outcome, Err(ServerError::TimedOut(gap)));
    // A new connection works while the engine still runs the attempt on the silent one.
    assert_eq!(engine.attempts(), 1);
    run(&client, &request(2, "new connection [[tokens=3]]")).unwrap();
}

#[test]
fn retired_connections() {
    let (engine, client) = start(EngineSettings::default());
    run(&client, &request(1, "first [[tokens=1]]")).unwrap();
    engine.apply_fault(EngineFault::SilenceConnections);
    client.retire_connections();
    run(&client, &request(2, "second [[tokens=1]]")).unwrap();
}

#[test]
fn shared_clients() {
    let (first, _) = start(EngineSettings::default());
    let (second, _) = start(EngineSettings::default());
    let connector = HttpConnector::new(HttpClientLimits::default());
    let client = connector.engine(first.address());
    run(client.as_ref(), &request(1, "first [[tokens=1]]")).unwrap();
    assert!(Arc::ptr_eq(&client, &connector.engine(first.address())));
    assert!(!Arc::ptr_eq(&client, &connector.engine(second.address())));
    first.apply_fault(EngineFault::SilenceConnections);
    connector.retire(first.address());
    run(client.as_ref(), &request(2, "second [[tokens=1]]")).unwrap();
    connector.keep_only(&[second.address()]);
    assert!(!Arc::ptr_eq(&client, &connector.engine(first.address())));
}

/// Starts an engine that refuses its first call, and sends the refusal once more before the answer to the
/// next call on the same connection.
fn start_copying_engine() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let has_refused = Arc::<AtomicBool>::default();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(io::Result::ok) {
            let has_refused = has_refused.clone();
            // An error means that the client closed the connection.
            thread::spawn(move || drop(serve_copies(stream, &has_refused)));
        }
    });
    Ok(address)
}

fn serve_copies(mut stream: TcpStream, has_refused: &AtomicBool) -> io::Result<()> {
    let refusal = "{\"ran\": false, \"reason\": \"full\"}";
    let refusal = http_text("503 Service Unavailable", refusal);
    let end = "{\"end\": {\"finish_reason\": \"stop\", \"end_offset\": 0, \"prompt_tokens\": 4, \
               \"cached_tokens\": 0, \"computed_tokens\": 4}}\n";
    let mut copy = None;
    let mut request = [0; 4_096];
    // The small requests of this test arrive as a head and a body, or both together.
    while let Some(head) = read_head(&mut stream, &mut request)? {
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length = length.and_then(|length| length.trim().parse::<usize>().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        stream.read_exact(&mut body)?;
        if !has_refused.swap(true, Ordering::SeqCst) {
            stream.write_all(refusal.as_bytes())?;
            copy = Some(refusal.clone());
            continue;
        }
        let copied = copy.take().unwrap_or_default();
        stream.write_all(format!("{copied}{}", http_text("200 OK", end)).as_bytes())?;
    }
    Ok(())
}

fn http_text(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Reads the head of a request in lowercase; `None` at the end of the connection.
fn read_head(stream: &mut TcpStream, buffer: &mut [u8]) -> io::Result<Option<String>> {
    let mut length = 0;
    while !buffer[..length].ends_with(b"\r\n\r\n") {
        if stream.read(&mut buffer[length..length + 1])? == 0 {
            return Ok(None);
        }
        length += 1;
    }
    Ok(Some(String::from_utf8_lossy(&buffer[..length]).to_ascii_lowercase()))
}

/// A late copy of a refusal was taken for the answer to the next call on its connection: the engine ran
/// a call that counted as not run.
#[rstest]
#[case("generate")]
#[case("order")]
fn copied_refusal(#[case] call: &str) {
    let client = EngineClient::new(start_copying_engine().unwrap(), HttpClientLimits::default());
    let make_call = |sequence| match call {
        "generate" => run(&client, &request(sequence, "wind at the start")).map(drop),
        _ => client.order(&EngineOrder::LoadModel(MODEL.to_owned()), None),
    };
    assert!(matches!(make_call(1), Err(ServerError::Refused(_))));
    assert_eq!(make_call(2), Ok(()));
}
