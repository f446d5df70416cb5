//! Backend server that sends some of its answers a second time, late: on a connection that is in use
//! again, before the answer to the next request.

use std::collections::HashSet;
use std::io;
use std::io::BufRead as _;
use std::io::BufReader;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Which answers are sent a second time.
#[derive(Clone, Copy, Debug)]
pub enum CopiedAnswer {
    /// Complete answers, which name their request.
    Complete,
    /// Refusals with this status line, which name none.
    Refusal(&'static str),
    /// Refusals with this status line, which name their request and have these further fields.
    NamedRefusal(&'static str, &'static str),
    /// The first answer to each request, which names it. Its copy comes when the same request comes
    /// again on the connection.
    First(FirstAnswer),
}

impl CopiedAnswer {
    /// Returns the refusal of a request, if refusals are copied.
    fn refusal(self, request_id: &str) -> Option<String> {
        let (status, fields) = match self {
            Self::Refusal(status) => (status, String::new()),
            Self::NamedRefusal(status, fields) => {
                (status, format!("Request-Id: {request_id}\r\n{fields}"))
            }
            Self::Complete | Self::First(_) => return None,
        };
        Some(format!("HTTP/1.1 {status}\r\n{fields}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
    }
}

/// First answer of a server to a request.
#[derive(Clone, Copy, Debug)]
pub enum FirstAnswer {
    /// A refusal with this status line: the request does not run.
    Refused(&'static str),
    /// An error with this status line: the request runs.
    Failed(&'static str),
}

impl FirstAnswer {
    /// Returns the answer to a request at the server `id`.
    fn text(self, id: &str, request_id: &str) -> String {
        let (status, field) = match self {
            Self::Refused(status) => (status, "Not-Executed: 1".to_owned()),
            Self::Failed(status) => (status, format!("Replica-Signature: {id}")),
        };
        format!(
            "HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\n{field}\r\nContent-Length: 0\r\n\r\n"
        )
    }
}

/// Time from a request to its answer at servers that refuse by name, so that several connections are in use.
const WORK_TIME: Duration = Duration::from_millis(2);

/// Path prefix of streams; their answers are one event.
const STREAM_PREFIX: &str = "/brief/";

/// A running server; its threads run until the process exits.
pub struct LateCopyServer {
    /// Address of the server.
    pub address: SocketAddr,
    counts: Arc<AnswerCounts>,
}

/// What a server has done on all connections.
#[derive(Debug, Default)]
struct AnswerCounts {
    copies: AtomicUsize,
    refusals: AtomicUsize,
    connections: AtomicUsize,
    runs: Mutex<Vec<String>>,
    /// Requests that got their first answer.
    known: Mutex<HashSet<String>>,
}

impl AnswerCounts {
    fn record_run(&self, request_id: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(request_id.to_owned());
    }

    /// Records a request; returns whether it is new.
    fn record_request(&self, request_id: &str) -> bool {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.insert(request_id.to_owned())
    }
}

impl LateCopyServer {
    /// Starts a server that signs its answers with `id` and repeats one in `one_in` of them on each
    /// connection.
    pub fn start(id: &'static str, one_in: usize) -> io::Result<Self> {
        Self::start_copying(id, one_in, CopiedAnswer::Complete)
    }

    /// Starts a server that repeats one in `one_in` answers on each connection, if they are of this kind.
    pub fn start_copying(
        id: &'static str,
        one_in: usize,
        copied: CopiedAnswer,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let counts = Arc::<AnswerCounts>::default();
        let counter = counts.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let counter = counter.clone();
                counter.connections.fetch_add(1, Ordering::SeqCst);
                // An error means that the gateway closed the connection.
                thread::spawn(move || drop(serve(stream, id, one_in, copied, &counter)));
            }
        });
        Ok(Self { address, counts })
    }

    /// Returns the number of late copies sent.
    pub fn copies(&self) -> usize {
        self.counts.copies.load(Ordering::SeqCst)
    }

    /// Returns the number of requests refused.
    pub fn refusals(&self) -> usize {
        self.counts.refusals.load(Ordering::SeqCst)
    }

    /// Returns the number of connections accepted.
    pub fn connections(&self) -> usize {
        self.counts.connections.load(Ordering::SeqCst)
    }

    /// Returns the ids of the requests that ran, one for each run.
    pub fn runs(&self) -> Vec<String> {
        self.counts.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn serve(
    stream: TcpStream,
    id: &str,
    one_in: usize,
    copied: CopiedAnswer,
    counts: &AnswerCounts,
) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let mut last_answer = String::new();
    let mut answers = 0;
    // Requests whose first answer was sent on this connection and not copied.
    let mut first_answers = HashSet::new();
    while let Some(SeenRequest { request_id, path }) = read_request(&mut reader)? {
        if let CopiedAnswer::First(first) = copied {
            let text = first.text(id, &request_id);
            if counts.record_request(&request_id) {
                match first {
                    FirstAnswer::Refused(_) => drop(counts.refusals.fetch_add(1, Ordering::SeqCst)),
                    FirstAnswer::Failed(_) => counts.record_run(&request_id),
                }
                writer.write_all(text.as_bytes())?;
                first_answers.insert(request_id);
                continue;
            }
            counts.record_run(&request_id);
            if first_answers.remove(&request_id) {
                counts.copies.fetch_add(1, Ordering::SeqCst);
                writer.write_all(text.as_bytes())?;
            }
            writer.write_all(complete_answer(id, &request_id, &path).as_bytes())?;
            continue;
        }
        if matches!(copied, CopiedAnswer::NamedRefusal(..)) {
            thread::sleep(WORK_TIME);
        }
        if let Some(refusal) = copied.refusal(&request_id)
            && answers % one_in == one_in - 1
        {
            counts.refusals.fetch_add(1, Ordering::SeqCst);
            last_answer = refusal;
            writer.write_all(last_answer.as_bytes())?;
            answers += 1;
            continue;
        }
        counts.record_run(&request_id);
        if answers > 0 && answers % one_in == 0 {
            counts.copies.fetch_add(1, Ordering::SeqCst);
            writer.write_all(last_answer.as_bytes())?;
        }
        let answer = complete_answer(id, &request_id, &path);
        writer.write_all(answer.as_bytes())?;
        last_answer = answer;
        answers += 1;
    }
    Ok(())
}

/// Returns the answer of the server `id` to a request that ran.
fn complete_answer(id: &str, request_id: &str, path: &str) -> String {
    let (kind, body) = match path.starts_with(STREAM_PREFIX) {
        true => ("text/event-stream", format!("id: 1\ndata: answer to {request_id}\n\n")),
        false => ("text/plain", format!("answer to {request_id}")),
    };
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nReplica-Signature: {id}\r\n\
         Content-Type: {kind}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The head of a request.
#[derive(Default)]
struct SeenRequest {
    request_id: String,
    path: String,
}

/// Reads the head of a request without a body; `None` at the end of the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<SeenRequest>> {
    let mut request = SeenRequest::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(request));
        }
        if request.path.is_empty() {
            request.path = line.split(' ').nth(1).unwrap_or_default().to_owned();
        } else if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("request-id")
        {
            request.request_id = value.trim().to_owned();
        }
    }
}
