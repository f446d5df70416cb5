//! Blocking HTTP client for one address, whose errors tell whether a call may have been sent.
//!
//! Connections are kept alive and reused. A call is never sent twice. A failure after the first
//! byte may have been sent is [`HttpError::Lost`] or [`HttpError::TimedOut`], never
//! [`HttpError::NotConnected`].

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use ureq::Agent;
use ureq::AsSendBody;
use ureq::http;

use crate::engine::ServerError;
use crate::engine::StreamFlow;
use crate::hop_headers::HopByHopHeaders;
use crate::http_agent::FailureKind;
use crate::http_agent::build_agent;
use crate::http_agent::failure_kind;

/// Why an HTTP call failed, by what it proves about the call.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum HttpError {
    /// No connection was opened, so nothing was sent.
    #[error("connection was not opened: {0}")]
    NotConnected(String),
    /// The call failed after it may have been sent.
    #[error("connection was lost: {0}")]
    Lost(String),
    /// No data arrived within this time.
    #[error("no data within {0:?}")]
    TimedOut(Duration),
    /// The response exceeds this limit, in bytes.
    #[error("answer exceeds {0} bytes")]
    TooLarge(usize),
    /// The response cannot be parsed.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl From<HttpError> for ServerError {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::NotConnected(reason) => Self::NotConnected(reason),
            HttpError::Lost(reason) => Self::Lost(reason),
            HttpError::TimedOut(limit) => Self::TimedOut(limit),
            HttpError::TooLarge(_) => Self::Malformed(error.to_string()),
            HttpError::Malformed(reason) => Self::Malformed(reason),
        }
    }
}

/// Result of an HTTP call.
pub type Result<T> = std::result::Result<T, HttpError>;

/// Limits of the calls to one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpClientLimits {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Timeout of a whole call that sets no other timeout.
    pub call_timeout: Duration,
    /// Largest response body, in bytes.
    pub max_body_bytes: usize,
    /// Longest line of a streamed response, in bytes.
    pub max_line_bytes: usize,
    /// Most idle connections kept open.
    pub max_idle_connections: usize,
}

impl Default for HttpClientLimits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(5),
            max_body_bytes: 16 * 1024 * 1024,
            max_line_bytes: 64 * 1024,
            max_idle_connections: 64,
        }
    }
}

/// Timeout of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallTimeout {
    /// Limits the whole call, from connecting to the last byte.
    Total(Duration),
    /// Limits each read; the whole call may take any time.
    PerRead(Duration),
}

impl CallTimeout {
    fn duration(self) -> Duration {
        match self {
            Self::Total(duration) | Self::PerRead(duration) => duration,
        }
    }
}

/// A connection for one call, which other threads can close.
#[derive(Clone, Debug)]
pub struct CallConnection(Agent);

impl CallConnection {
    /// Closes the connection. The call fails, also if it has not begun yet.
    pub fn close(self) {
        self.0.shutdown();
    }
}

/// Which connection a call uses.
#[derive(Clone, Copy, Debug)]
pub enum ConnectionUse<'a> {
    /// An idle connection if there is one. If it is silently broken, or the server is closing it,
    /// it is unknown whether the call ran.
    Pooled,
    /// A new connection, which costs one round trip.
    Fresh,
    /// A new connection that other threads can close.
    Own(&'a CallConnection),
}

/// One HTTP call.
#[derive(Clone, Debug)]
pub struct HttpCall<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query, with the leading slash.
    pub path: &'a str,
    /// Headers; hop-by-hop ones, `Host`, `Content-Length` and `Expect` are not sent.
    pub headers: &'a [(String, String)],
    /// Body.
    pub body: &'a [u8],
    /// Timeout.
    pub timeout: CallTimeout,
    /// Connection to use.
    pub connection: ConnectionUse<'a>,
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status.
    pub status: u16,
    /// Headers in order, without hop-by-hop ones and those whose value is not ASCII text.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// Returns the value of the first header with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(found, _)| found.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|e| HttpError::Malformed(e.to_string()))
    }

    /// Describes the response for an error message: its status and the start of its body.
    pub fn summary(&self) -> String {
        const SHOWN_BYTES: usize = 200;
        let shown = &self.body[..self.body.len().min(SHOWN_BYTES)];
        format!("status {}: {}", self.status, String::from_utf8_lossy(shown))
    }
}

/// How a streamed call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The response ended normally.
    Ended,
    /// The line callback stopped the stream, and the connection is closed.
    Stopped,
    /// The status was not 200, so the body was not read as lines.
    Status(HttpResponse),
}

/// HTTP client for one address.
pub struct HttpClient {
    address: SocketAddr,
    limits: HttpClientLimits,
    pooled: RwLock<Agent>,
    fresh: Agent,
}

impl HttpClient {
    /// Creates a client without opening a connection.
    pub fn new(address: SocketAddr, limits: HttpClientLimits) -> Self {
        let pooled = RwLock::new(build_agent(limits.connect_timeout, limits.max_idle_connections));
        Self { address, limits, pooled, fresh: build_agent(limits.connect_timeout, 0) }
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the limits.
    pub fn limits(&self) -> &HttpClientLimits {
        &self.limits
    }

    /// Closes idle connections. Calls in flight keep theirs until they end, and later calls open
    /// new ones.
    pub fn retire_connections(&self) {
        let renewed = build_agent(self.limits.connect_timeout, self.limits.max_idle_connections);
        *self.pooled.write().unwrap_or_else(PoisonError::into_inner) = renewed;
    }

    /// Returns a connection for one call, which opens it.
    pub fn own_connection(&self) -> CallConnection {
        CallConnection(build_agent(self.limits.connect_timeout, 0))
    }

    /// Makes a call and reads the complete response, whatever its HTTP status.
    pub fn call(&self, call: &HttpCall) -> Result<HttpResponse> {
        let response = self.send(call)?;
        self.read_response(response, call.timeout)
    }

    /// Posts a JSON value within the call timeout and reads the complete response.
    pub fn post_json<T: Serialize>(&self, path: &str, value: &T) -> Result<HttpResponse> {
        let body = serde_json::to_vec(value).map_err(|e| HttpError::Malformed(e.to_string()))?;
        let headers = json_headers();
        self.call(&self.pooled_call("POST", path, &headers, &body))
    }

    /// Gets a path within the call timeout and reads the complete response.
    pub fn get(&self, path: &str) -> Result<HttpResponse> {
        self.call(&self.pooled_call("GET", path, &[], &[]))
    }

    /// Builds a call over a pooled connection within the call timeout.
    pub fn pooled_call<'a>(
        &self,
        method: &'a str,
        path: &'a str,
        headers: &'a [(String, String)],
        body: &'a [u8],
    ) -> HttpCall<'a> {
        let timeout = CallTimeout::Total(self.limits.call_timeout);
        HttpCall { method, path, headers, body, timeout, connection: ConnectionUse::Pooled }
    }

    /// Makes a call and passes each line of the response to `on_line`, without its line ending.
    pub fn stream(
        &self,
        call: &HttpCall,
        on_line: &mut dyn FnMut(&[u8]) -> Result<StreamFlow>,
    ) -> Result<StreamEnd> {
        let response = self.send(call)?;
        if response.status().as_u16() != 200 {
            return self.read_response(response, call.timeout).map(StreamEnd::Status);
        }
        let mut reader = BufReader::new(response.into_body().into_reader());
        loop {
            let line = match self.read_line(&mut reader, call.timeout)? {
                Some(line) => line,
                None => return Ok(StreamEnd::Ended),
            };
            match on_line(&line)? {
                StreamFlow::Continue => {}
                StreamFlow::Stop => return Ok(StreamEnd::Stopped),
            }
        }
    }

    fn send(&self, call: &HttpCall) -> Result<http::Response<ureq::Body>> {
        let agent = match call.connection {
            ConnectionUse::Pooled => {
                self.pooled.read().unwrap_or_else(PoisonError::into_inner).clone()
            }
            ConnectionUse::Fresh => self.fresh.clone(),
            ConnectionUse::Own(CallConnection(agent)) => agent.clone(),
        };
        // An empty body would add a `Content-Length` header, which these methods do not use.
        let has_body = !call.body.is_empty() || !matches!(call.method, "GET" | "HEAD" | "OPTIONS");
        let sent = if has_body {
            agent.run(self.build_request(&agent, call, call.body)?)
        } else {
            agent.run(self.build_request(&agent, call, ())?)
        };
        sent.map_err(|error| classify(error, call.timeout, &self.limits))
    }

    fn build_request<B: AsSendBody>(
        &self,
        agent: &Agent,
        call: &HttpCall,
        body: B,
    ) -> Result<http::Request<B>> {
        // Without the leading slash, the path could change the address in the URI.
        if !call.path.starts_with('/') {
            return Err(HttpError::NotConnected(format!("path {:?} is not absolute", call.path)));
        }
        let uri = format!("http://{}{}", self.address, call.path);
        let mut builder = http::Request::builder().method(call.method).uri(uri);
        let hops =
            HopByHopHeaders::of(call.headers.iter().map(|(name, value)| (&**name, &**value)));
        for (name, value) in call.headers {
            if !hops.contains(name) && !is_set_by_client(name) {
                builder = builder.header(name, value);
            }
        }
        let request = builder.body(body).map_err(|e| HttpError::NotConnected(e.to_string()))?;
        let configured = agent.configure_request(request);
        Ok(match call.timeout {
            CallTimeout::Total(total) => configured.timeout_global(Some(total)).build(),
            CallTimeout::PerRead(gap) => configured.timeout_per_read(Some(gap)).build(),
        })
    }

    fn read_response(
        &self,
        response: http::Response<ureq::Body>,
        timeout: CallTimeout,
    ) -> Result<HttpResponse> {
        let (parts, body) = response.into_parts();
        let limit = u64::try_from(self.limits.max_body_bytes).unwrap_or(u64::MAX);
        let body = body
            .into_with_config()
            .limit(limit)
            .read_to_vec()
            .map_err(|error| classify(error, timeout, &self.limits))?;
        Ok(HttpResponse {
            status: parts.status.as_u16(),
            headers: end_to_end_headers(&parts.headers),
            body,
        })
    }

    /// Reads one line, or returns `None` at the end of the response.
    fn read_line(
        &self,
        reader: &mut impl BufRead,
        timeout: CallTimeout,
    ) -> Result<Option<Vec<u8>>> {
        let max = self.limits.max_line_bytes;
        let bound = u64::try_from(max).unwrap_or(u64::MAX).saturating_add(1);
        let mut line = Vec::new();
        reader
            .take(bound)
            .read_until(b'\n', &mut line)
            .map_err(|error| classify(ureq::Error::from(error), timeout, &self.limits))?;
        match line.pop() {
            None => Ok(None),
            Some(b'\n') => Ok(Some(line)),
            Some(_) if line.len() >= max => Err(HttpError::TooLarge(max)),
            Some(_) => Err(HttpError::Lost("stream ended within a line".to_owned())),
        }
    }
}

/// Returns the headers of a request with a JSON body.
pub fn json_headers() -> [(String, String); 1] {
    [("Content-Type".to_owned(), "application/json".to_owned())]
}

/// Returns whether the client sets the header itself, for each connection and body.
fn is_set_by_client(name: &str) -> bool {
    ["host", "content-length", "expect"].iter().any(|other| name.eq_ignore_ascii_case(other))
}

/// Returns the headers with text values, without hop-by-hop ones.
fn end_to_end_headers(headers: &http::HeaderMap) -> Vec<(String, String)> {
    let texts: Vec<_> = headers
        .iter()
        .filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)))
        .collect();
    let hops = HopByHopHeaders::of(texts.iter().copied());
    let kept = texts.into_iter().filter(|(name, _)| !hops.contains(name));
    kept.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

/// Converts a library error by what it proves about the call.
fn classify(error: ureq::Error, timeout: CallTimeout, limits: &HttpClientLimits) -> HttpError {
    match failure_kind(&error) {
        FailureKind::NotConnected => HttpError::NotConnected(error.to_string()),
        FailureKind::TimedOut => HttpError::TimedOut(timeout.duration()),
        FailureKind::TooLarge => HttpError::TooLarge(limits.max_body_bytes),
        FailureKind::Lost => HttpError::Lost(error.to_string()),
    }
}
