//! HTTP server shared by the stand-ins.
//!
//! Each request has its own thread and is answered with JSON, JSON lines or raw bytes. A stand-in
//! takes its faults as `POST /faults`.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio_stream::wrappers::ReceiverStream;

use crate::connection_relay::ConnectionRelay;
use crate::process_lifecycle::ProcessLifecycle;
use crate::standin_listener::listen;

/// Largest request body that a stand-in accepts, in bytes; larger ones get status 413.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// `Server` field of each response but streamed ones.
const SERVER_NAME: &str = "stand-in";

/// Chunks of a streamed response that may wait for its client to read.
const PENDING_CHUNKS: usize = 16;

type ChunkResult = io::Result<Frame<Bytes>>;
type StandinBody = Either<Full<Bytes>, StreamBody<ReceiverStream<ChunkResult>>>;
type StandinReply = Response<StandinBody>;
type HandlerThreads = Arc<Mutex<Vec<JoinHandle<()>>>>;

/// Error of starting a stand-in.
#[derive(Debug, Error)]
pub enum StandinError {
    /// The address cannot be bound.
    #[error("cannot listen on {address}: {cause}")]
    Bind {
        /// Address.
        address: SocketAddr,
        /// Cause.
        cause: io::Error,
    },
    /// A setting is invalid.
    #[error("invalid setting: {0}")]
    BadSetting(String),
    /// The HTTP server cannot start.
    #[error("cannot start HTTP server: {0}")]
    Server(String),
}

/// Result of starting a stand-in.
pub type Result<T> = std::result::Result<T, StandinError>;

/// Fault that a stand-in can inject; the body of `POST /faults`.
pub trait StandinFault: DeserializeOwned {
    /// Returns whether the fault may close or mute the connection that it arrives on.
    ///
    /// Such a fault is applied after its request is answered, any other one before.
    fn ends_connections(&self) -> bool;
}

/// Request handler of a stand-in.
pub trait StandinService: Send + Sync + 'static {
    /// Faults that the stand-in can inject.
    type Fault: StandinFault;

    /// Answers one request, on its own thread; never called for `POST /faults`.
    fn serve(&self, exchange: HttpExchange);

    /// Applies a fault.
    fn apply_fault(&self, fault: Self::Fault);
}

/// Time for the response to a fault that ends connections to be written.
const RESPONSE_TIME: Duration = Duration::from_millis(50);

fn dispatch_request<S: StandinService>(service: &S, exchange: HttpExchange) {
    if (exchange.method(), exchange.path()) != ("POST", "/faults") {
        return service.serve(exchange);
    }
    match exchange.json::<S::Fault>() {
        Ok(fault) if fault.ends_connections() => {
            exchange.respond_json(200, &());
            // The server's thread writes the response.
            thread::sleep(RESPONSE_TIME);
            service.apply_fault(fault);
        }
        Ok(fault) => {
            service.apply_fault(fault);
            exchange.respond_json(200, &());
        }
        Err(error) => exchange.refuse(400, &error),
    }
}

/// Running HTTP server of a stand-in, behind a [`ConnectionRelay`].
pub struct HttpStandin {
    life: Arc<ProcessLifecycle>,
    server: Mutex<Option<ServerThread>>,
    handlers: HandlerThreads,
}

/// Thread that reads requests and writes responses.
struct ServerThread {
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl HttpStandin {
    /// Starts a server on `address`, where port 0 picks a free port.
    ///
    /// `build` makes the service, given the process life that it shares with the server.
    pub fn start<S: StandinService>(
        address: SocketAddr,
        build: impl FnOnce(Arc<ProcessLifecycle>) -> S,
    ) -> Result<(Self, Arc<S>)> {
        let inner = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let bind_error = |address| move |cause| StandinError::Bind { address, cause };
        let listener = listen(inner).map_err(bind_error(inner))?;
        let target = listener.local_addr().map_err(bind_error(inner))?;
        let relay = ConnectionRelay::start(address, target).map_err(bind_error(address))?;
        let life = ProcessLifecycle::new(relay);
        let service = Arc::new(build(life.clone()));
        let handlers = HandlerThreads::default();
        let context = ServerContext {
            life: life.clone(),
            service: service.clone(),
            handlers: handlers.clone(),
        };
        let server = spawn_server(listener, context)
            .map_err(|error| StandinError::Server(error.to_string()))?;
        Ok((Self { life, server: Mutex::new(Some(server)), handlers }, service))
    }

    /// Returns the published address.
    pub fn address(&self) -> SocketAddr {
        self.life.relay().address()
    }

    /// Returns the life of the simulated process.
    pub fn life(&self) -> &Arc<ProcessLifecycle> {
        &self.life
    }

    /// Stops the server and waits for its threads; a second call has no effect.
    pub fn stop(&self) {
        let server = self.server.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(server) = server else { return };
        self.life.stop();
        // An error means that the thread has ended.
        let _ = server.stop.send(());
        let _ = server.thread.join();
        let handlers =
            std::mem::take(&mut *self.handlers.lock().unwrap_or_else(PoisonError::into_inner));
        handlers.into_iter().for_each(|handler| drop(handler.join()));
    }
}

impl Drop for HttpStandin {
    fn drop(&mut self) {
        self.stop();
    }
}

/// What each connection of a server needs.
struct ServerContext<S> {
    life: Arc<ProcessLifecycle>,
    service: Arc<S>,
    handlers: HandlerThreads,
}

impl<S> Clone for ServerContext<S> {
    fn clone(&self) -> Self {
        Self {
            life: self.life.clone(),
            service: self.service.clone(),
            handlers: self.handlers.clone(),
        }
    }
}

fn spawn_server<S: StandinService>(
    listener: std::net::TcpListener,
    context: ServerContext<S>,
) -> io::Result<ServerThread> {
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (stop, stopped) = oneshot::channel();
    let thread = thread::spawn(move || {
        LocalSet::new().block_on(&runtime, async move {
            tokio::select! {
                _ = stopped => {}
                () = accept_connections(listener, context) => {}
            }
        });
    });
    Ok(ServerThread { stop, thread })
}

async fn accept_connections<S: StandinService>(
    listener: std::net::TcpListener,
    context: ServerContext<S>,
) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    while let Ok((stream, peer)) = listener.accept().await {
        tokio::task::spawn_local(serve_connection(context.clone(), stream, peer));
    }
}

async fn serve_connection<S: StandinService>(
    context: ServerContext<S>,
    stream: TcpStream,
    peer: SocketAddr,
) {
    let service = service_fn(move |request| answer(context.clone(), peer, request));
    let connection = http1::Builder::new()
        .half_close(true)
        .title_case_headers(true)
        .serve_connection(TokioIo::new(stream), service);
    // Clients may disconnect at any time.
    let _ = connection.await;
}

/// Reads a request and lets a thread of its own answer it.
async fn answer<S: StandinService>(
    context: ServerContext<S>,
    peer: SocketAddr,
    request: Request<Incoming>,
) -> io::Result<StandinReply> {
    let (head, body) = request.into_parts();
    let (responder, reply) = oneshot::channel();
    let mut exchange = HttpExchange {
        responder: Some(responder),
        life: context.life,
        peer,
        head,
        body: Bytes::new(),
    };
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => {
            exchange.body = body.to_bytes();
            let service = context.service;
            let handler = thread::spawn(move || dispatch_request(&*service, exchange));
            let mut handlers = context.handlers.lock().unwrap_or_else(PoisonError::into_inner);
            handlers.retain(|handler| !handler.is_finished());
            handlers.push(handler);
        }
        Err(error) if error.is::<LengthLimitError>() => exchange.refuse(413, "body too large"),
        Err(error) => return Err(io::Error::other(error)),
    }
    reply.await.map_err(io::Error::other)
}

/// JSON body of an error response.
#[derive(Clone, Debug, Serialize)]
struct ErrorBody<'a> {
    reason: &'a str,
}

/// One request and its pending response; dropping it unanswered closes the connection.
pub struct HttpExchange {
    /// `None` once answered.
    responder: Option<oneshot::Sender<StandinReply>>,
    life: Arc<ProcessLifecycle>,
    peer: SocketAddr,
    head: hyper::http::request::Parts,
    body: Bytes,
}

impl HttpExchange {
    /// Returns the method.
    pub fn method(&self) -> &str {
        self.head.method.as_str()
    }

    /// Returns the path with its query string.
    pub fn url(&self) -> &str {
        self.head.uri.path_and_query().map_or("", |url| url.as_str())
    }

    /// Returns the path without its query string.
    pub fn path(&self) -> &str {
        self.url().split('?').next().unwrap_or_default()
    }

    /// Returns the first query parameter with the name, not percent-decoded.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.url().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(found, _)| *found == name).map(|(_, value)| value)
    }

    /// Returns the value of the first header with the name, in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Returns the headers in order, with their names in lower case.
    pub fn headers(&self) -> impl Iterator<Item = (String, &str)> {
        let headers = self.head.headers.iter();
        headers.map(|(name, value)| (name.to_string(), value.to_str().unwrap_or_default()))
    }

    /// Returns the body.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Parses the body as JSON; the error is the reason to send in the response.
    pub fn json<T: DeserializeOwned>(&self) -> std::result::Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|error| error.to_string())
    }

    /// Returns a closure that reports whether the client is still connected.
    pub fn open_check(&self) -> impl Fn() -> bool + Send + 'static {
        let (peer, relay) = (self.peer, self.life.relay().clone());
        move || relay.is_open(peer)
    }

    /// Answers with JSON.
    pub fn respond_json<T: Serialize>(self, status: u16, value: &T) {
        let body = serde_json::to_vec(value).unwrap_or_default();
        self.respond(status, &[("Content-Type", "application/json")], body);
    }

    /// Answers with an error status and a reason.
    pub fn refuse(self, status: u16, reason: &str) {
        self.respond_json(status, &ErrorBody { reason });
    }

    /// Answers with the given headers and body; headers that are not ASCII are left out.
    pub fn respond(self, status: u16, headers: &[(&str, &str)], body: Vec<u8>) {
        let mut response = Response::new(Either::Left(Full::new(Bytes::from(body))));
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
        response.headers_mut().insert(hyper::header::SERVER, HeaderValue::from_static(SERVER_NAME));
        for (name, value) in headers {
            if let (Ok(name), Ok(value)) =
                (name.parse::<HeaderName>(), value.parse::<HeaderValue>())
            {
                response.headers_mut().append(name, value);
            }
        }
        self.send(response);
    }

    /// Starts a streamed response of JSON lines.
    pub fn into_lines(self) -> LineStream {
        let (writer, chunks) = mpsc::channel(PENDING_CHUNKS);
        let mut response =
            Response::new(Either::Right(StreamBody::new(ReceiverStream::new(chunks))));
        let content_type = HeaderValue::from_static("application/jsonl");
        response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
        let (peer, relay) = (self.peer, self.life.relay().clone());
        self.send(response);
        LineStream { writer: Some(writer), pending: Vec::new(), peer, relay }
    }

    fn send(mut self, response: StandinReply) {
        if let Some(responder) = self.responder.take() {
            // An error means that the client has disconnected.
            let _ = responder.send(response);
        }
    }
}

impl Drop for HttpExchange {
    fn drop(&mut self) {
        if self.responder.is_some() {
            self.life.relay().close(self.peer);
        }
    }
}

/// Response of JSON lines in chunked encoding; dropping it unfinished closes the connection.
pub struct LineStream {
    /// `None` once the response is finished.
    writer: Option<mpsc::Sender<ChunkResult>>,
    pending: Vec<u8>,
    peer: SocketAddr,
    relay: Arc<ConnectionRelay>,
}

impl LineStream {
    /// Buffers a line until the next [`Self::flush`] or [`Self::finish`].
    pub fn push<T: Serialize>(&mut self, value: &T) -> io::Result<()> {
        serde_json::to_writer(&mut self.pending, value)?;
        self.pending.push(b'\n');
        Ok(())
    }

    /// Sends the buffered lines; must not be called from asynchronous code.
    pub fn flush(&mut self) -> io::Result<()> {
        let Some(writer) = &self.writer else { return Ok(()) };
        if !self.pending.is_empty() {
            let chunk = Bytes::from(std::mem::take(&mut self.pending));
            writer.blocking_send(Ok(Frame::data(chunk))).map_err(io::Error::other)?;
        }
        Ok(())
    }

    /// Sends the buffered lines and ends the response.
    pub fn finish(mut self) -> io::Result<()> {
        self.flush()?;
        self.writer = None;
        Ok(())
    }
}

impl Drop for LineStream {
    fn drop(&mut self) {
        if let Some(writer) = &self.writer {
            self.relay.close(self.peer);
            // An error means that the connection has ended.
            let _ = writer.try_send(Err(io::ErrorKind::ConnectionAborted.into()));
        }
    }
}
