//! Backend server that answers with given bytes, however they violate HTTP or break off.

use std::io;
use std::io::BufRead as _;
use std::io::BufReader;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use socket2::SockRef;

/// A request that the server received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ByteRequest {
    /// Path.
    pub path: String,
    /// Identifier; empty for a probe.
    pub id: String,
    /// Event after which a stream is to go on.
    pub resume_after: Option<u64>,
}

/// A step of an answer. The connection is closed in order after the last step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ByteStep {
    /// Sends bytes.
    Send(String),
    /// Sends nothing for a while.
    Pause(Duration),
    /// Resets the connection, once its caller had time to read what was sent.
    Reset,
}

/// What becomes of the body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyRule {
    /// It is read before the answer.
    Read,
    /// It is never read, so that a long one is still being sent while the answer comes.
    Leave,
}

/// Time for a caller to read what was sent before a reset.
const RESET_DELAY: Duration = Duration::from_millis(50);

type AnswerFn = dyn Fn(&ByteRequest) -> Vec<ByteStep> + Send + Sync;

/// A running server; its threads run until the process exits.
pub struct ByteServer {
    /// Address of the server.
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<ByteRequest>>>,
}

impl ByteServer {
    /// Starts a server that answers each request as `answer` says. Probes get an empty response.
    pub fn start(
        answer: impl Fn(&ByteRequest) -> Vec<ByteStep> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        Self::start_with(BodyRule::Read, answer)
    }

    /// Starts a server that treats the bodies of requests by a rule.
    pub fn start_with(
        rule: BodyRule,
        answer: impl Fn(&ByteRequest) -> Vec<ByteStep> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let requests = Arc::<Mutex<Vec<ByteRequest>>>::default();
        let (log, answer): (_, Arc<AnswerFn>) = (requests.clone(), Arc::new(answer));
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (log, answer) = (log.clone(), answer.clone());
                // An error means that the gateway closed the connection.
                thread::spawn(move || drop(serve(stream, rule, &log, &*answer)));
            }
        });
        Ok(Self { address, requests })
    }

    /// Returns the requests that were received, probes excluded.
    pub fn requests(&self) -> Vec<ByteRequest> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn serve(
    stream: TcpStream,
    rule: BodyRule,
    log: &Mutex<Vec<ByteRequest>>,
    answer: &AnswerFn,
) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let Some(request) = read_request(&mut BufReader::new(stream), rule)? else { return Ok(()) };
    if request.id.is_empty() {
        return writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    log.lock().unwrap_or_else(PoisonError::into_inner).push(request.clone());
    for step in answer(&request) {
        match step {
            ByteStep::Send(text) => writer.write_all(text.as_bytes())?,
            ByteStep::Pause(time) => thread::sleep(time),
            ByteStep::Reset => {
                thread::sleep(RESET_DELAY);
                return SockRef::from(&writer).set_linger(Some(Duration::ZERO));
            }
        }
    }
    Ok(())
}

/// Reads a request; returns `None` at the end of the connection.
fn read_request(
    reader: &mut BufReader<TcpStream>,
    rule: BodyRule,
) -> io::Result<Option<ByteRequest>> {
    let mut request = ByteRequest::default();
    let mut length = 0;
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    request.path = line.split(' ').nth(1).unwrap_or_default().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "request-id" => request.id = value.to_owned(),
            "last-event-id" => request.resume_after = value.parse().ok(),
            "content-length" => length = value.parse().unwrap_or(0),
            _ => {}
        }
    }
    if rule == BodyRule::Read {
        reader.read_exact(&mut vec![0; length])?;
    }
    Ok(Some(request))
}

/// Returns the status line and the header fields of a response that names its request and is signed,
/// without the empty line after them.
pub fn signed_head(request: &ByteRequest, status: &str, fields: &str) -> String {
    let id = &request.id;
    format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nReplica-Signature: i-0\r\n{fields}")
}

/// Returns a text as one chunk of a body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
