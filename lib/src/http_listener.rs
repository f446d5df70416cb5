//! Accepts callers' connections and serves HTTP/1.1 on them.
//!
//! A caller that sends its header section too slowly gets a reply with the numbered code and is cut
//! off, and so is one that does not read its reply; connections beyond the limit wait in the listen
//! queue.

use std::convert::Infallible;
use std::future::Future;
use std::io::Write as _;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::Sleep;

use crate::http_reply::FrontError;
use crate::http_reply::FrontReply;
use crate::http_reply::RESULT_HEADER;
use crate::result_code::ResultCode;
use crate::settings::FrontDoorSettings;

/// Most headers that one request may have.
const MAX_HEADERS: usize = 256;

/// Future of one reply.
pub type ReplyFuture = Pin<Box<dyn Future<Output = FrontReply> + Send>>;
/// Answers one request.
pub type RequestHandler = Arc<dyn Fn(Request<Incoming>) -> ReplyFuture + Send + Sync>;

/// Result of listening.
pub type Result<T> = std::io::Result<T>;

/// A listening front door.
pub struct HttpListener {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    connections: Arc<Semaphore>,
    max_connections: u32,
}

impl HttpListener {
    /// Binds the address and serves connections on the runtime until [`Self::stop`].
    pub fn start(
        runtime: &tokio::runtime::Handle,
        address: SocketAddr,
        settings: FrontDoorSettings,
        handler: RequestHandler,
    ) -> Result<Self> {
        let listener = runtime.block_on(TcpListener::bind(address))?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let connections = Arc::new(Semaphore::new(settings.max_connections));
        let max_connections = u32::try_from(settings.max_connections).unwrap_or(u32::MAX);
        let server = ConnectionServer { settings, handler, stopped };
        runtime.spawn(accept_loop(listener, server, connections.clone()));
        Ok(Self { address, stop, connections, max_connections })
    }

    /// Returns the address that is listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting and tells open connections to end after their current reply.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Waits until every connection has ended.
    pub async fn wait_until_idle(&self) {
        // The semaphore is never closed, so this fails in no case.
        let _ = self.connections.acquire_many(self.max_connections).await;
    }
}

async fn wait_for_stop(stopped: &mut watch::Receiver<bool>) {
    // A listener that is gone has stopped as well.
    let _ = stopped.wait_for(|&stop| stop).await;
}

#[derive(Clone)]
struct ConnectionServer {
    settings: FrontDoorSettings,
    handler: RequestHandler,
    stopped: watch::Receiver<bool>,
}

async fn accept_loop(listener: TcpListener, server: ConnectionServer, connections: Arc<Semaphore>) {
    let mut stopped = server.stopped.clone();
    loop {
        let Ok(permit) = connections.clone().acquire_owned().await else { return };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_stop(&mut stopped) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let server = server.clone();
                tokio::spawn(async move {
                    server.serve(stream).await;
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        }
    }
}

impl ConnectionServer {
    async fn serve(mut self, stream: TcpStream) {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("event=nodelay_failed error=\"{error}\"");
        }
        let Ok((stream, second_handle)) = clone_handle(stream) else { return };
        let flags = Arc::new(StreamFlags::default());
        let io = TokioIo::new(CallerStream {
            stream,
            flags: flags.clone(),
            write_timeout: self.settings.write_timeout,
            write_timer: None,
        });
        let handler = self.handler.clone();
        let service = service_fn(move |request| {
            let reply = handler(request);
            async move { Ok::<_, Infallible>(reply.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.settings.header_timeout)
            .max_headers(MAX_HEADERS)
            .max_buf_size(self.settings.max_header_bytes.saturating_mul(2))
            .half_close(false)
            .serve_connection(io, service);
        tokio::pin!(connection);
        let result = tokio::select! {
            result = connection.as_mut() => result,
            () = wait_for_stop(&mut self.stopped) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = result {
            refuse_unreadable_request(&error, &flags, second_handle);
        }
    }
}

/// Returns the stream and a second handle of the same socket.
///
/// When a request cannot be read, the HTTP library closes its handle without a reply or with one
/// that has no code; the second handle carries the reply.
fn clone_handle(stream: TcpStream) -> Result<(TcpStream, std::net::TcpStream)> {
    let stream = stream.into_std()?;
    let second_handle = stream.try_clone()?;
    Ok((TcpStream::from_std(stream)?, second_handle))
}

/// Tells the caller why its request could not be read, if it sent one and still listens.
fn refuse_unreadable_request(
    error: &hyper::Error,
    flags: &StreamFlags,
    mut second_handle: std::net::TcpStream,
) {
    let refusal = if error.is_timeout() && flags.mid_request.load(Ordering::Relaxed) {
        FrontError::new(ResultCode::CallerTooSlow, "the header did not arrive in time")
    } else if !flags.reply_withheld.load(Ordering::Relaxed) {
        return;
    } else if error.is_parse_too_large() {
        FrontError::new(ResultCode::HeaderTooLarge, "the header section is too large")
    } else {
        FrontError::new(ResultCode::BadValue, "this is not an HTTP/1.1 request")
    };
    let body = refusal.to_json().to_string();
    let reply = format!(
        "HTTP/1.1 {} Refused\r\ncontent-type: application/json\r\n\
         {RESULT_HEADER}: {}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        refusal.code.http_status(),
        refusal.code.number(),
        body.len(),
    );
    // The socket does not block, and a caller that is gone needs no reply.
    let _ = second_handle.write_all(reply.as_bytes());
    let _ = second_handle.shutdown(std::net::Shutdown::Write);
}

/// What a stream has seen.
#[derive(Debug, Default)]
struct StreamFlags {
    /// Whether bytes of a request have come in since the last reply.
    mid_request: AtomicBool,
    /// Whether a reply of the HTTP library's own was reply_withheld.
    reply_withheld: AtomicBool,
}

/// A stream that flags what passes, withholds replies without a result code, and fails when a write
/// waits too long for the caller.
struct CallerStream {
    stream: TcpStream,
    flags: Arc<StreamFlags>,
    write_timeout: Duration,
    /// Runs while a write waits.
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// Waits on for a pending write, or fails it if it has waited for the write timeout.
    fn poll_write_timer(&mut self, cx: &mut Context<'_>) -> Poll<Result<usize>> {
        let timeout = self.write_timeout;
        let timer = self.write_timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        timer.as_mut().poll(cx).map(|()| {
            log::info!("event=caller_cut_off reason=\"the caller does not read\"");
            Err(std::io::ErrorKind::TimedOut.into())
        })
    }
}

/// Returns whether this is the HTTP library's own reply to a request that it could not read.
fn is_library_reply(data: &[u8]) -> bool {
    let header = RESULT_HEADER.as_bytes();
    data.starts_with(b"HTTP/1.1 4") && !data.windows(header.len()).any(|part| part == header)
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.flags.mid_request.store(true, Ordering::Relaxed);
        }
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<Result<usize>> {
        if is_library_reply(data) {
            self.flags.reply_withheld.store(true, Ordering::Relaxed);
            return Poll::Ready(Ok(data.len()));
        }
        self.flags.mid_request.store(false, Ordering::Relaxed);
        let polled = Pin::new(&mut self.stream).poll_write(cx, data);
        if polled.is_pending() {
            return self.poll_write_timer(cx);
        }
        self.write_timer = None;
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        if self.flags.reply_withheld.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
