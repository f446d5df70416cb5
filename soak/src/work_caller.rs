//! Callers that hold long requests over connections of their own, so that they know when a whole
//! request was sent and how its connection ended.

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

/// A request of a caller.
struct WorkCall {
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
    let mut kept: Option<TcpStream> = None;
    while world.is_running() {
        let longest = if random.random_ratio(1, IDLE_RATIO) { MAX_IDLE_MS } else { MAX_PAUSE_MS };
        thread::sleep(Duration::from_millis(random.random_range(0..=longest)));
        // A caller does not use a connection that it has seen closed.
        kept = kept.take().filter(is_open);
        let is_reused = kept.is_some();
        // A host that is down takes no connections.
        let Ok(mut stream) =
            kept.take().map_or_else(|| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT), Ok)
        else {
            thread::sleep(CONNECT_BACKOFF);
            continue;
        };
        number += 1;
        let call = WorkCall::draw(&mut random, format!("{host}-{name}-{number}"));
        let started_at = world.now();
        // A request that was not wholly sent is none.
        if stream.set_nodelay(true).and_then(|()| stream.write_all(call.text().as_bytes())).is_err()
        {
            continue;
        }
        let sent_at = world.now();
        let mut parser = ReplyParser::default();
        let outcome = read_reply(world, &mut stream, &mut parser, sent_at + call.deadline);
        let fault = match outcome {
            CallOutcome::Malformed => None,
            _ => call.check(&parser),
        };
        let is_closing =
            parser.head().is_some_and(|head| head.field("connection") == Some("close"));
        if parser.progress() == ReplyProgress::Complete && !is_closing {
            kept = Some(stream);
        }
        lock(&world.calls).push(CallRecord {
            host,
            request_id: call.id,
            route: call.route,
            is_reused,
            started_at,
            sent_at,
            ended_at: world.now(),
            deadline: call.deadline,
            outcome,
            fault,
        });
    }
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
