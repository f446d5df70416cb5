//! A TCP server that answers one connection with fixed bytes, for responses that no HTTP library
//! sends.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::thread::JoinHandle;

/// Largest request that is read before the answer, in bytes.
const MAX_REQUEST_BYTES: usize = 4096;

/// A server for one connection.
pub struct RawServer {
    address: SocketAddr,
    thread: JoinHandle<io::Result<()>>,
}

impl RawServer {
    /// Starts a server that reads a small request, sends `answer` and closes the connection.
    pub fn start(answer: String) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let thread = thread::spawn(move || {
            let (mut socket, _) = listener.accept()?;
            let mut request = [0; MAX_REQUEST_BYTES];
            let _ = socket.read(&mut request)?;
            socket.write_all(answer.as_bytes())
        });
        Ok(Self { address, thread })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the answer has been sent.
    pub fn join(self) -> io::Result<()> {
        self.thread.join().unwrap_or_else(|_| Err(io::Error::other("server panicked")))
    }
}
