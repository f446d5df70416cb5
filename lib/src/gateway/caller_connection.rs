//! The socket and the response bodies of a caller's connection, which report what the connection is
//! doing.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::Version;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::gateway::caller_phase::CallerPhase;
use crate::gateway::caller_phase::WaitLimits;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::reply_body::ReplyBody;

/// Limits before a configuration is loaded.
const DEFAULT_LIMITS: WaitLimits =
    WaitLimits { idle: Duration::from_secs(15), head: Duration::from_secs(15) };

/// Counts a caller's connection as open while it lives; a draining host waits for these.
pub struct OpenConnection {
    state: Rc<GatewayState>,
    phase: Cell<CallerPhase>,
    /// Whether a response broke off that a close in order would complete.
    must_reset: Cell<bool>,
}

impl OpenConnection {
    /// Counts a connection that was opened.
    pub fn new(state: Rc<GatewayState>) -> Self {
        state.connections.set(state.connections.get() + 1);
        let phase = CallerPhase::new(state.now(), wait_limits(&state));
        Self { state, phase: Cell::new(phase), must_reset: Cell::new(false) }
    }

    /// Returns what the connection is doing.
    pub fn phase(&self) -> CallerPhase {
        self.phase.get()
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> WaitLimits {
        wait_limits(&self.state)
    }

    /// Returns whether the connection is to be reset rather than closed.
    pub fn must_reset(&self) -> bool {
        self.must_reset.get()
    }

    /// Records that a request was read.
    pub fn on_request(&self) {
        self.phase.set(CallerPhase::Request);
    }

    fn on_bytes(&self) {
        self.phase.set(self.phase.get().on_bytes(self.state.now()));
    }

    fn on_response_queued(&self) {
        self.phase.set(self.phase.get().on_response_queued());
    }

    fn on_flushed(&self) {
        if self.phase.get() == CallerPhase::Flushing {
            self.phase.set(self.phase.get().on_flushed(self.state.now(), self.limits()));
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.state.connections.set(self.state.connections.get().saturating_sub(1));
    }
}

fn wait_limits(state: &GatewayState) -> WaitLimits {
    let config = state.config.borrow();
    config.current().map_or(DEFAULT_LIMITS, |config| WaitLimits {
        idle: config.limits.idle_timeout,
        head: config.limits.header_timeout,
    })
}

/// The socket of a caller. Clones share it.
#[derive(Clone)]
pub struct CallerSocket {
    stream: Rc<RefCell<TcpStream>>,
    connection: Rc<OpenConnection>,
}

impl CallerSocket {
    /// Builds the socket of a connection.
    pub fn new(stream: TcpStream, connection: Rc<OpenConnection>) -> Self {
        Self { stream: Rc::new(RefCell::new(stream)), connection }
    }

    /// Returns whether the kernel holds bytes that were not read. After a stall of the process,
    /// timers fire before the event loop learns of them.
    pub fn has_unread_bytes(&self) -> bool {
        let stream = self.stream.borrow();
        let mut byte = [MaybeUninit::uninit()];
        // A read reports the error, if there is one.
        SockRef::from(&*stream).peek(&mut byte).is_ok_and(|count| count > 0)
    }

    /// Lets the connection be reset when the socket is dropped.
    pub fn reset_on_drop(&self) {
        let reset = SockRef::from(&*self.stream.borrow()).set_linger(Some(Duration::ZERO));
        if let Err(error) = reset {
            log::debug!("event=socket_option_failed detail=\"{error}\"");
        }
    }

    fn with<T>(&self, poll: impl FnOnce(Pin<&mut TcpStream>) -> T) -> T {
        poll(Pin::new(&mut *self.stream.borrow_mut()))
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = self.with(|stream| stream.poll_read(cx, buffer));
        if buffer.filled().len() > before {
            self.connection.on_bytes();
        }
        read
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.with(|stream| stream.poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.with(|stream| stream.poll_write_vectored(cx, slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }

    /// Hyper flushes the socket once its own buffer is empty.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = self.with(|stream| stream.poll_flush(cx));
        if let Poll::Ready(Ok(())) = flushed {
            self.connection.on_flushed();
        }
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(|stream| stream.poll_shutdown(cx))
    }
}

/// The body of a response on a connection. Hyper drops it once its last frame is queued.
pub struct CallerBody {
    body: ReplyBody,
    connection: Rc<OpenConnection>,
    version: Version,
}

impl CallerBody {
    /// Builds the body of a response to a request of an HTTP version.
    pub fn new(body: ReplyBody, connection: Rc<OpenConnection>, version: Version) -> Self {
        Self { body, connection, version }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = <ReplyBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        // Without chunks, a body ends with its connection.
        if matches!(frame, Poll::Ready(Some(Err(_)))) && self.version < Version::HTTP_11 {
            self.connection.must_reset.set(true);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        self.connection.on_response_queued();
    }
}
