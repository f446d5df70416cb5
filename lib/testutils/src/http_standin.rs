//! HTTP server shared by the stand-ins.
//!
//! Each request has its own thread and is answered with JSON, JSON lines or raw bytes. A stand-in
//! takes its faults as `POST /faults`.

use std::io;
use std::io::Read as _;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

use crate::connection_relay::ConnectionRelay;
use crate::process_lifecycle::ProcessLifecycle;
use crate::standin_listener::listen;

/// Largest request body that a stand-in accepts, in bytes; larger ones get status 413.
pub const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

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

fn dispatch_request<S: StandinService>(service: &S, exchange: HttpExchange) {
    if (exchange.method(), exchange.path()) != ("POST", "/faults") {
        return service.serve(exchange);
    }
    match exchange.json::<S::Fault>() {
        Ok(fault) if fault.ends_connections() => {
            exchange.respond_json(200, &());
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
    server: Arc<Server>,
    acceptor: Mutex<Option<JoinHandle<()>>>,
    handlers: Arc<Mutex<Vec<JoinHandle<()>>>>,
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
        let listener =
            listen(inner).map_err(|cause| StandinError::Bind { address: inner, cause })?;
        let target =
            listener.local_addr().map_err(|cause| StandinError::Bind { address: inner, cause })?;
        let server = Server::from_listener(listener, None)
            .map_err(|error| StandinError::Server(error.to_string()))?;
        let relay = ConnectionRelay::start(address, target)
            .map_err(|cause| StandinError::Bind { address, cause })?;
        let life = ProcessLifecycle::new(relay);
        let service = Arc::new(build(life.clone()));
        let server = Arc::new(server);
        let handlers = Arc::default();
        let acceptor =
            spawn_acceptor(server.clone(), life.clone(), service.clone(), Arc::clone(&handlers));
        Ok((Self { life, server, acceptor: Mutex::new(Some(acceptor)), handlers }, service))
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
        let acceptor = self.acceptor.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(acceptor) = acceptor else { return };
        self.life.stop();
        self.server.unblock();
        let _ = acceptor.join();
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

fn spawn_acceptor<S: StandinService>(
    server: Arc<Server>,
    life: Arc<ProcessLifecycle>,
    service: Arc<S>,
    handlers: Arc<Mutex<Vec<JoinHandle<()>>>>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        while let Ok(request) = server.recv() {
            let (life, service) = (life.clone(), service.clone());
            let handler = thread::spawn(move || {
                if let Some(exchange) = HttpExchange::read(request, life) {
                    dispatch_request(&*service, exchange);
                }
            });
            let mut handlers = handlers.lock().unwrap_or_else(PoisonError::into_inner);
            handlers.retain(|handler| !handler.is_finished());
            handlers.push(handler);
        }
    })
}

/// JSON body of an error response.
#[derive(Clone, Debug, Serialize)]
struct ErrorBody<'a> {
    reason: &'a str,
}

/// One request and its pending response; dropping it unanswered closes the connection.
pub struct HttpExchange {
    /// `None` once answered.
    request: Option<Request>,
    life: Arc<ProcessLifecycle>,
    peer: Option<SocketAddr>,
    method: String,
    url: String,
    headers: Vec<Header>,
    body: Vec<u8>,
}

impl HttpExchange {
    /// Reads the request's body.
    ///
    /// Returns `None` if the body cannot be read, or is too large and was answered with status 413.
    fn read(mut request: Request, life: Arc<ProcessLifecycle>) -> Option<Self> {
        let mut body = Vec::new();
        let read = request.as_reader().take(MAX_BODY_BYTES + 1).read_to_end(&mut body);
        let too_large = body.len() as u64 > MAX_BODY_BYTES;
        let exchange = Self {
            peer: request.remote_addr().copied(),
            method: request.method().as_str().to_owned(),
            url: request.url().to_owned(),
            headers: request.headers().to_vec(),
            request: Some(request),
            life,
            body,
        };
        match read {
            Ok(_) if too_large => {
                exchange.refuse(413, "body too large");
                None
            }
            Ok(_) => Some(exchange),
            Err(_) => None,
        }
    }

    /// Returns the method.
    pub fn method(&self) -> &str {
        &self.method
    }

    /// Returns the path with its query string.
    pub fn url(&self) -> &str {
        &self.url
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
        let is_named = |header: &&Header| header.field.as_str().as_str().eq_ignore_ascii_case(name);
        let found = self.headers.iter().find(is_named);
        found.map(|header| header.value.as_str())
    }

    /// Returns the headers in order, with their names in lower case.
    pub fn headers(&self) -> impl Iterator<Item = (String, &str)> {
        let name = |header: &Header| header.field.as_str().as_str().to_ascii_lowercase();
        self.headers.iter().map(move |header| (name(header), header.value.as_str()))
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
        move || peer.is_some_and(|peer| relay.is_open(peer))
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
    pub fn respond(mut self, status: u16, headers: &[(&str, &str)], body: Vec<u8>) {
        let Some(request) = self.request.take() else { return };
        let mut response = Response::from_data(body).with_status_code(status);
        for (name, value) in headers {
            if let Ok(header) = Header::from_bytes(name.as_bytes(), value.as_bytes()) {
                response = response.with_header(header);
            }
        }
        // An error means that the client has disconnected.
        let _ = request.respond(response);
    }

    /// Starts a streamed response of JSON lines.
    pub fn into_lines(mut self) -> LineStream {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/jsonl\r\n\
                    Transfer-Encoding: chunked\r\n\r\n";
        LineStream {
            writer: self.request.take().map(Request::into_writer),
            pending: head.as_bytes().to_vec(),
            peer: self.peer,
            relay: self.life.relay().clone(),
        }
    }
}

impl Drop for HttpExchange {
    fn drop(&mut self) {
        // `tiny_http` answers a dropped request with status 500, so the connection is closed
        // before that.
        if let (Some(_), Some(peer)) = (&self.request, self.peer) {
            self.life.relay().close(peer);
        }
    }
}

/// Response of JSON lines in chunked encoding; dropping it unfinished closes the connection.
pub struct LineStream {
    /// `None` once the response is finished.
    writer: Option<Box<dyn Write + Send>>,
    pending: Vec<u8>,
    peer: Option<SocketAddr>,
    relay: Arc<ConnectionRelay>,
}

impl LineStream {
    /// Buffers a line until the next [`Self::flush`] or [`Self::finish`].
    pub fn push<T: Serialize>(&mut self, value: &T) -> io::Result<()> {
        let mut line = serde_json::to_vec(value)?;
        line.push(b'\n');
        self.pending.extend_from_slice(format!("{:x}\r\n", line.len()).as_bytes());
        self.pending.extend_from_slice(&line);
        self.pending.extend_from_slice(b"\r\n");
        Ok(())
    }

    /// Sends the buffered lines.
    pub fn flush(&mut self) -> io::Result<()> {
        let Some(writer) = &mut self.writer else { return Ok(()) };
        if !self.pending.is_empty() {
            writer.write_all(&self.pending)?;
            self.pending.clear();
            writer.flush()?;
        }
        Ok(())
    }

    /// Sends the buffered lines and ends the response.
    pub fn finish(mut self) -> io::Result<()> {
        self.pending.extend_from_slice(b"0\r\n\r\n");
        self.flush()?;
        self.writer = None;
        Ok(())
    }
}

impl Drop for LineStream {
    fn drop(&mut self) {
        if let (Some(_), Some(peer)) = (&self.writer, self.peer) {
            self.relay.close(peer);
        }
    }
}
