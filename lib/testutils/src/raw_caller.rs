//! A caller that controls when it sends and reads bytes, over one kept connection.

use std::io;
use std::io::ErrorKind;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use socket2::Domain;
use socket2::SockRef;
use socket2::Socket;
use socket2::Type;

use crate::bounded_wait::WAIT_TIMEOUT;
use crate::deployment_standin::FRONT_PORT;
use crate::gateway_process::request_headers;

/// Receive buffer of a caller that reads slowly, in bytes.
const NARROW_BUFFER_BYTES: usize = 4_096;
/// Bytes that a caller reads at once.
const READ_BYTES: usize = 65_536;

/// A response with a length.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawResponse {
    /// Status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
}

/// A caller and its connection.
pub struct RawCaller {
    stream: TcpStream,
    received: Vec<u8>,
}

impl RawCaller {
    /// Connects to a gateway.
    pub fn connect(ip: &str) -> io::Result<Self> {
        Self::with_buffer(ip, None)
    }

    /// Connects to a gateway with a small receive buffer.
    pub fn connect_narrow(ip: &str) -> io::Result<Self> {
        Self::with_buffer(ip, Some(NARROW_BUFFER_BYTES))
    }

    fn with_buffer(ip: &str, bytes: Option<usize>) -> io::Result<Self> {
        let address = SocketAddr::new(ip.parse().map_err(io::Error::other)?, FRONT_PORT);
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        if let Some(bytes) = bytes {
            socket.set_recv_buffer_size(bytes)?;
        }
        socket.connect(&address.into())?;
        let stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
        Ok(Self { stream, received: Vec::new() })
    }

    /// Sends bytes.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    /// Sends a request without a body.
    pub fn request(&mut self, method: &str, path: &str, id: &str) -> io::Result<()> {
        self.send(&request_text(method, path, id))
    }

    /// Reads at most this many bytes of a response.
    pub fn read_piece(&mut self, bytes: usize) -> io::Result<usize> {
        let mut piece = vec![0; bytes];
        let count = self.stream.read(&mut piece)?;
        self.received.extend_from_slice(&piece[..count]);
        Ok(count)
    }

    /// Returns the number of bytes of the current response that were read.
    pub fn received(&self) -> usize {
        self.received.len()
    }

    /// Reads a response with a length to its end.
    pub fn response(&mut self) -> io::Result<RawResponse> {
        loop {
            if let Some(response) = self.take_response() {
                return Ok(response);
            }
            if self.read_piece(READ_BYTES)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Waits until the gateway closes the connection, and returns what it sent before.
    pub fn read_to_close(&mut self) -> io::Result<usize> {
        while self.read_piece(READ_BYTES)? > 0 {}
        Ok(self.received.len())
    }

    /// Waits until the gateway closes the connection, and returns what it sent as text.
    pub fn text_to_close(&mut self) -> io::Result<String> {
        self.read_to_close()?;
        Ok(String::from_utf8_lossy(&self.received).into_owned())
    }

    /// Closes the connection with a reset.
    pub fn reset(self) -> io::Result<()> {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
    }

    fn take_response(&mut self) -> Option<RawResponse> {
        let head_end = self.received.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.received[..head_end]).to_ascii_lowercase();
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "))?;
        let end = head_end + length.trim().parse::<usize>().ok()?;
        if self.received.len() < end {
            return None;
        }
        let rest = self.received.split_off(end);
        let body = self.received.split_off(head_end);
        self.received = rest;
        Some(RawResponse { status, body })
    }
}

/// Returns a request without a body from a caller of the only team.
pub fn request_text(method: &str, path: &str, id: &str) -> String {
    let headers = request_headers(id).map(|(name, value)| format!("{name}: {value}\r\n"));
    format!("{method} {path} HTTP/1.1\r\n{}Content-Length: 0\r\n\r\n", headers.concat())
}
