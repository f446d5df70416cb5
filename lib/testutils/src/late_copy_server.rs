//! Backend server that sends some of its answers a second time, late: on a connection that is in use
//! again, before the answer to the next request.

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

/// Which answers are sent a second time.
#[derive(Clone, Copy, Debug)]
pub enum CopiedAnswer {
    /// Complete answers, which name their request.
    Complete,
    /// Refusals with this status line, which name none.
    Refusal(&'static str),
}

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
    runs: Mutex<Vec<String>>,
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
    while let Some(request_id) = read_request(&mut reader)? {
        if let CopiedAnswer::Refusal(status) = copied
            && answers % one_in == one_in - 1
        {
            counts.refusals.fetch_add(1, Ordering::SeqCst);
            last_answer =
                format!("HTTP/1.1 {status}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            writer.write_all(last_answer.as_bytes())?;
            answers += 1;
            continue;
        }
        counts.runs.lock().unwrap_or_else(PoisonError::into_inner).push(request_id.clone());
        if answers > 0 && answers % one_in == 0 {
            counts.copies.fetch_add(1, Ordering::SeqCst);
            writer.write_all(last_answer.as_bytes())?;
        }
        let body = format!("answer to {request_id}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nReplica-Signature: {id}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(answer.as_bytes())?;
        last_answer = answer;
        answers += 1;
    }
    Ok(())
}

/// Reads the head of a request without a body; returns its id, or `None` at the end of the connection.
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
