//! Callers that hold long requests over connections of their own, so that they know when a whole
//! request was sent and how its connection ended.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use testutils::deployment_standin::ROUTE_HOST;

use crate::call_judge::CallOutcome;
use crate::call_judge::CallRecord;
use crate::call_judge::ReplyFault;
use crate::call_judge::check_reply;
use crate::reply_parser::ReplyParser;
use crate::reply_parser::ReplyProgress;
use crate::soak_run::SoakWorld;
use crate::soak_run::lock;
use crate::work_plan::WORK_KEY;
use crate::work_plan::WORK_ROUTES;

/// Time for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a connection that was not established.
const CONNECT_BACKOFF: Duration = Duration::from_millis(100);

/// Time after its deadline for which a caller still waits.
const GIVE_UP_DELAY: Duration = Duration::from_secs(1);

/// Deadlines in milliseconds.
const MIN_DEADLINE_MS: u64 = 400;
const MAX_DEADLINE_MS: u64 = 7_000;

/// Most events of a stream.
const MAX_EVENTS: u64 = 120;

/// Longest work of a request that is not a stream, in milliseconds.
const MAX_WORK_MS: u64 = 2_000;

/// Longest pause between two requests in milliseconds: most are short.
const MAX_PAUSE_MS: u64 = 150;
const MAX_IDLE_MS: u64 = 2_400;

/// One in so many pauses is an idle one.
const IDLE_RATIO: u32 = 6;

/// Largest body that a caller reads, far more than a sound replica sends.
const MAX_REPLY_BYTES: usize = 1024 * 1024;

/// Size of a read.
const READ_BYTES: usize = 16 * 1024;

/// Open connections by the number of their host, each with whether it has carried a request.
pub(crate) type KeptConnections = BTreeMap<usize, (TcpStream, bool)>;

/// Longest work of a short request, in milliseconds or events.
const MAX_SHORT_WORK: u64 = 40;

/// One in so many short requests is of any kind; the others run once.
const ANY_KIND_RATIO: u32 = 3;

/// A request of a caller.
pub(crate) struct WorkCall {
    id: String,
    route: usize,
    deadline: Duration,
    /// Events of a stream, or milliseconds of other work.
    amount: u64,
}

impl WorkCall {
    fn draw(random: &mut ChaCha8Rng, id: String) -> Self {
        let route = random.random_range(0..WORK_ROUTES.len());
        let most = if WORK_ROUTES[route].kind.is_stream() { MAX_EVENTS } else { MAX_WORK_MS };
        Self {
            id,
            route,
            deadline: Duration::from_millis(random.random_range(MIN_DEADLINE_MS..=MAX_DEADLINE_MS)),
            amount: random.random_range(1..=most),
        }
    }

    /// Draws a short request, in most cases one that may run once.
    pub(crate) fn draw_short(random: &mut ChaCha8Rng, id: String) -> Self {
        let is_any = random.random_ratio(1, ANY_KIND_RATIO);
        let mut call = Self::draw(random, id);
        while !is_any && WORK_ROUTES[call.route].kind.is_repeatable() {
            call.route = random.random_range(0..WORK_ROUTES.len());
        }
        call.amount = random.random_range(1..=MAX_SHORT_WORK);
        call
    }

    fn text(&self) -> String {
        let route = WORK_ROUTES[self.route];
        let marker = if route.kind.is_stream() { "events" } else { "after-ms" };
        format!(
            "{} {}{}/{marker}-{} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nRequest-Id: {}\r\n\
             Request-Deadline: {}\r\nAuthorization: Token {WORK_KEY}\r\nContent-Length: 0\r\n\r\n",
            route.kind.method(),
            route.prefix,
            self.id,
            self.amount,
            self.id,
            self.deadline.as_millis(),
        )
    }

    fn check(&self, parser: &ReplyParser) -> Option<ReplyFault> {
        let events = WORK_ROUTES[self.route].kind.is_stream().then_some(self.amount);
        check_reply(&self.id, events, parser)
    }
}

/// Sends requests to one host, one after the other, until the run is over.
pub(crate) fn call_work(
    world: &SoakWorld,
    host: usize,
    address: SocketAddr,
    name: &str,
    seed: u64,
) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut number = 0_u64;
    let mut kept = BTreeMap::new();
    while world.is_running() {
        let longest = if random.random_ratio(1, IDLE_RATIO) { MAX_IDLE_MS } else { MAX_PAUSE_MS };
        thread::sleep(Duration::from_millis(random.random_range(0..=longest)));
        if !connect(host, address, &mut kept) {
            continue;
        }
        number += 1;
        let call = WorkCall::draw(&mut random, format!("{host}-{name}-{number}"));
        if let Some(record) = try_call(world, host, address, &mut kept, &call) {
            lock(&world.calls).push(record);
        }
    }
}

/// Connects to a host unless a kept connection is open; returns whether there is one.
fn connect(host: usize, address: SocketAddr, kept: &mut KeptConnections) -> bool {
    // A caller does not use a connection that it has seen closed.
    if kept.get(&host).is_some_and(|(stream, _)| is_open(stream)) {
        return true;
    }
    kept.remove(&host);
    // A host that is down takes no connections.
    let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) else {
        thread::sleep(CONNECT_BACKOFF);
        return false;
    };
    kept.insert(host, (stream, false));
    true
}

/// Sends a request to a host. Returns `None` if the host takes no connection or the request was not wholly
/// sent.
pub(crate) fn try_call(
    world: &SoakWorld,
    host: usize,
    address: SocketAddr,
    kept: &mut KeptConnections,
    call: &WorkCall,
) -> Option<CallRecord> {
    if !connect(host, address, kept) {
        return None;
    }
    let (mut stream, is_reused) = kept.remove(&host)?;
    let started_at = world.now();
    // A request that was not wholly sent is none.
    stream.set_nodelay(true).and_then(|()| stream.write_all(call.text().as_bytes())).ok()?;
    let sent_at = world.now();
    let mut parser = ReplyParser::default();
    let outcome = read_reply(world, &mut stream, &mut parser, sent_at + call.deadline);
    let fault = match outcome {
        CallOutcome::Malformed => None,
        _ => call.check(&parser),
    };
    let field = |name| parser.head().and_then(|head| head.field(name));
    if parser.progress() == ReplyProgress::Complete && field("connection") != Some("close") {
        kept.insert(host, (stream, true));
    }
    let leaver = field("server-leaving").and_then(|_| field("replica-signature"));
    Some(CallRecord {
        host,
        request_id: call.id.clone(),
        route: call.route,
        is_reused,
        started_at,
        sent_at,
        ended_at: world.now(),
        deadline: call.deadline,
        outcome,
        fault,
        followed_at: None,
        leaver: leaver.map(str::to_owned),
    })
}

/// Returns whether the host has neither closed a connection nor sent anything on it.
fn is_open(stream: &TcpStream) -> bool {
    let peeked = stream.set_nonblocking(true).and_then(|()| stream.peek(&mut [0]));
    let is_quiet = peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
    is_quiet && stream.set_nonblocking(false).is_ok()
}

fn read_reply(
    world: &SoakWorld,
    stream: &mut TcpStream,
    parser: &mut ReplyParser,
    deadline: Duration,
) -> CallOutcome {
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let time_left = (deadline + GIVE_UP_DELAY).saturating_sub(world.now());
        if time_left.is_zero() {
            return CallOutcome::TimedOut;
        }
        let read = stream.set_read_timeout(Some(time_left)).and_then(|()| stream.read(&mut buffer));
        match read {
            Ok(0) => return CallOutcome::of_closed(parser),
            Ok(count) => match parser.push(&buffer[..count]) {
                Ok(ReplyProgress::Complete) => return CallOutcome::of_reply(parser),
                Ok(_) if parser.body().len() > MAX_REPLY_BYTES => return CallOutcome::Malformed,
                Ok(ReplyProgress::AwaitingHead | ReplyProgress::ReadingBody) => {}
                Err(_) => return CallOutcome::Malformed,
            },
            Err(error) => match error.kind() {
                ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted => {}
                _ => return CallOutcome::of_closed(parser),
            },
        }
    }
}
