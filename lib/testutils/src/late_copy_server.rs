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
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

/// A running server; its threads run until the process exits.
pub struct LateCopyServer {
    /// Address of the server.
    pub address: SocketAddr,
    copies: Arc<AtomicUsize>,
}

impl LateCopyServer {
    /// Starts a server that signs its answers with `id` and repeats one in `one_in` of them on each
    /// connection.
    pub fn start(id: &'static str, one_in: usize) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let copies = Arc::<AtomicUsize>::default();
        let counter = copies.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let counter = counter.clone();
                // An error means that the gateway closed the connection.
                thread::spawn(move || drop(serve(stream, id, one_in, &counter)));
            }
        });
        Ok(Self { address, copies })
    }

    /// Returns the number of late copies sent.
    pub fn copies(&self) -> usize {
        self.copies.load(Ordering::SeqCst)
    }
}

fn serve(stream: TcpStream, id: &str, one_in: usize, copies: &AtomicUsize) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let mut last_answer = String::new();
    let mut answers = 0;
    while let Some(request_id) = read_request(&mut reader)? {
        if answers > 0 && answers % one_in == 0 {
            copies.fetch_add(1, Ordering::SeqCst);
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
