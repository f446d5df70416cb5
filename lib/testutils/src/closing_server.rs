//! Backend server that closes each connection shortly after an answer, when the next request may be on its way.

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
use std::thread;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use socket2::SockRef;

/// Longest time from an answer to the close, in microseconds: longer than a caller needs for its next request.
const MAX_DELAY_US: u64 = 1_200;

/// One in this many answers is followed by a close.
const CLOSE_RATIO: u32 = 2;

/// How connections are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseKind {
    /// In order.
    Orderly,
    /// By a reset, which may overtake answers.
    Reset,
}

/// A running server; its threads run until the process exits.
pub struct ClosingServer {
    /// Address of the server.
    pub address: SocketAddr,
    runs: Arc<Mutex<Vec<String>>>,
    unanswered: Arc<Mutex<Vec<String>>>,
}

impl ClosingServer {
    /// Starts a server that signs its answers with `id`. A request that has arrived when it closes a connection
    /// runs and gets no answer.
    pub fn start(id: &'static str, kind: CloseKind, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (runs, unanswered) = (Arc::<Mutex<Vec<String>>>::default(), Arc::default());
        let server = Self { address, runs, unanswered };
        let (runs, unanswered) = (server.runs.clone(), server.unanswered.clone());
        thread::spawn(move || {
            for (number, stream) in (seed..).zip(listener.incoming().map_while(Result::ok)) {
                let (runs, unanswered) = (runs.clone(), unanswered.clone());
                let random = ChaCha8Rng::seed_from_u64(number);
                // An error means that the gateway closed the connection.
                thread::spawn(move || {
                    drop(serve(stream, id, kind, random, &runs, &unanswered));
                });
            }
        });
        Ok(server)
    }

    /// Returns the ids of the requests that ran, one for each run.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the ids of those that ran without an answer.
    pub fn unanswered(&self) -> Vec<String> {
        self.unanswered.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn push(list: &Mutex<Vec<String>>, id: &str) {
    list.lock().unwrap_or_else(PoisonError::into_inner).push(id.to_owned());
}

fn serve(
    stream: TcpStream,
    id: &str,
    kind: CloseKind,
    mut random: ChaCha8Rng,
    runs: &Mutex<Vec<String>>,
    unanswered: &Mutex<Vec<String>>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let Some(request_id) = read_request(&mut reader)? else { return Ok(()) };
        push(runs, &request_id);
        let body = format!("answer to {request_id}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nReplica-Signature: {id}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(answer.as_bytes())?;
        if !random.random_ratio(1, CLOSE_RATIO) {
            continue;
        }
        thread::sleep(Duration::from_micros(random.random_range(0..=MAX_DELAY_US)));
        writer.set_nonblocking(true)?;
        if let Ok(Some(request_id)) = read_request(&mut reader) {
            push(runs, &request_id);
            push(unanswered, &request_id);
        }
        if kind == CloseKind::Reset {
            SockRef::from(&writer).set_linger(Some(Duration::ZERO))?;
        }
        return Ok(());
    }
}

/// Reads the head of a request without a body and returns its id; `None` at the end of the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut request_id = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(request_id));
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("request-id")
        {
            request_id = value.trim().to_owned();
        }
    }
}
