//! A pool of HTTP/1.1 connections to backend servers and to the platform.
//!
//! A connection carries one request at a time. Dropping a [`PooledConnection`] closes it, which
//! cancels the request when its caller has disconnected; only [`PooledConnection::release`] returns
//! the connection to the pool.
//!
//! A connection never carries the same request twice. A server may send a copy of an answer late, before
//! the answer to the next request on the connection. A copy names the request that it answered, so it can be
//! told apart by that name unless both requests are the same.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::HeaderMap;
use hyper_util::rt::TokioIo;
use slotmap::SlotMap;
use slotmap::new_key_type;
use socket2::SockRef;
use socket2::TcpKeepalive;
use thiserror::Error;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::gateway::buffer_budget::BufferBudget;
use crate::gateway::head_limit::HeadAllowance;
use crate::gateway::head_limit::HeadLimitedStream;
use crate::gateway::reach::reach_table::OpenFailure;

/// Timeout of a connect. TCP retransmits a lost SYN only after one second, so that trying another
/// server is faster than waiting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for which a new connection must stay open to count as opened.
const STAY_TIME: Duration = Duration::from_millis(20);

/// Idle time before the first TCP keepalive probe, and the interval between probes.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which a connection is dead.
const KEEPALIVE_PROBES: u32 = 2;

/// Maximum time for which sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Idle timeout of a connection whose server sends no `Keep-Alive` timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum idle timeout of a connection, whatever its server states.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Margin by which the pool's idle timeout is shorter than the server's own.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Maximum number of addresses whose connection set-up times are kept until they are read.
const MAX_CONNECT_TIMES: usize = 1_024;

/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// Number of identified requests after which a connection is closed: it remembers each of them.
const MAX_CARRIED_REQUESTS: usize = 1_024;

/// Maximum size of the buffer that hyper reads into: it limits a head, and each piece of a body.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Maximum number of bytes before the end of a response's head, interim responses included.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// Maximum number of bytes before the ends of all heads that are awaited.
const HEAD_BUDGET_BYTES: usize = 32 << 20;

/// A request that got no response.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be opened.
    #[error("not sent: {detail}")]
    Unopened {
        /// How it failed.
        failure: OpenFailure,
        /// What the operating system says.
        detail: String,
    },
    /// There was a connection, and no byte of the request was sent.
    #[error("not sent: {0}")]
    Unsent(String),
    /// It was no longer wanted when there was a connection.
    #[error("no longer wanted")]
    Withheld,
    /// The request was sent, and the connection broke or carried no valid response.
    #[error("lost: {0}")]
    Lost(String),
}

/// Whether a request may open a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenRule {
    /// It may.
    MayOpen,
    /// Only connections that are open are used.
    Reuse,
}

/// Result of sending a request.
pub type Result<T> = std::result::Result<T, CallError>;

new_key_type! {
    /// Identifies a connection that is open.
    struct ConnectionKey;
}

/// Identifies a request by a hash of its name. Two requests with one key never share a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKey(u64);

impl From<&str> for RequestKey {
    fn from(name: &str) -> Self {
        let hash = *blake3::hash(name.as_bytes()).as_bytes();
        let (first, _) = hash.split_first_chunk().unwrap_or((&[0; 8], &[]));
        Self(u64::from_le_bytes(*first))
    }
}

/// Identifies a connection among those that this process opens, and how often it has been used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionHistory {
    /// Number of the connection, in the order of opening.
    pub connection: u64,
    /// Number of requests that were sent on it before.
    pub requests: u32,
}

/// A connection whose other end has not closed it.
struct LiveConnection {
    address: SocketAddr,
    opened_at: Instant,
}

type LiveTable = Rc<RefCell<SlotMap<ConnectionKey, LiveConnection>>>;

/// Keeps a connection in the table until it is dropped.
struct LiveGuard {
    table: LiveTable,
    key: ConnectionKey,
}

impl LiveGuard {
    fn new(table: &LiveTable, address: SocketAddr) -> Self {
        let live = LiveConnection { address, opened_at: Instant::now() };
        let key = table.borrow_mut().insert(live);
        Self { table: table.clone(), key }
    }
}

impl Drop for LiveGuard {
    fn drop(&mut self) {
        self.table.borrow_mut().remove(self.key);
    }
}

struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    head_allowance: HeadAllowance,
    task: JoinHandle<()>,
    /// Number of the connection, and of the requests that were sent on it.
    history: ConnectionHistory,
    /// The identified requests among them.
    carried: Vec<RequestKey>,
}

impl OpenConnection {
    /// Returns whether a request may be sent on this connection.
    fn may_carry(&self, request: Option<RequestKey>) -> bool {
        !request.is_some_and(|request| self.carried.contains(&request))
    }

    /// Records that a request is sent.
    fn on_sent(&mut self, request: Option<RequestKey>) {
        self.history.requests += 1;
        self.carried.extend(request);
    }

    /// Returns whether it can remember another request.
    fn has_room(&self) -> bool {
        self.carried.len() < MAX_CARRIED_REQUESTS
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct IdleConnection {
    connection: OpenConnection,
    expires_at: Instant,
}

/// Shortest recent set-up of a connection, by address.
type ConnectTimes = Rc<RefCell<HashMap<SocketAddr, Duration>>>;

type IdleTable = Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>;

/// The connection pool of one process. Clones share the same connections.
#[derive(Clone)]
pub struct ConnectionPool {
    idle: IdleTable,
    live: LiveTable,
    connect_times: ConnectTimes,
    /// Budget of the heads that are awaited.
    heads: BufferBudget,
    /// Number of connections opened.
    opened: Rc<Cell<u64>>,
    /// Address that connections come from, if it is not left to the operating system.
    source: Option<IpAddr>,
}

impl Default for ConnectionPool {
    fn default() -> Self {
        let heads = BufferBudget::new(HEAD_BUDGET_BYTES);
        Self {
            idle: IdleTable::default(),
            live: LiveTable::default(),
            connect_times: ConnectTimes::default(),
            heads,
            opened: Rc::default(),
            source: None,
        }
    }
}

/// A connection in use by one request.
pub struct PooledConnection {
    connection: OpenConnection,
    address: SocketAddr,
    idle_timeout: Duration,
    idle: IdleTable,
}

impl PooledConnection {
    /// Closes the connection when it is released, since a late copy of the response that it carried could not
    /// be told from the response to the next request.
    pub fn forbid_reuse(&mut self) {
        self.idle_timeout = Duration::ZERO;
    }

    /// Returns whether the request is the first one on the connection.
    pub fn is_first_use(&self) -> bool {
        self.connection.history.requests == 1
    }

    /// Keeps an unused connection for the next request, unless the pool has one.
    pub fn keep_as_spare(self) {
        if self.idle.borrow().get(&self.address).is_none_or(Vec::is_empty) {
            self.release();
        }
    }

    /// Returns the connection to the pool. Only valid once the response was read to its end.
    pub fn release(self) {
        let connection = &self.connection;
        if connection.sender.is_closed() || self.idle_timeout.is_zero() || !connection.has_room() {
            return;
        }
        let expires_at = Instant::now() + self.idle_timeout;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(self.address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(IdleConnection { connection: self.connection, expires_at });
        }
    }
}

impl ConnectionPool {
    /// Builds a pool whose connections come from an address of this host, by which servers and firewalls
    /// tell hosts apart.
    pub fn from_address(source: IpAddr) -> Self {
        Self { source: Some(source), ..Self::default() }
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// Has no timeout besides that of the connect; dropping the future closes the connection.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, PooledConnection)> {
        self.exchange(address, request, None, OpenRule::MayOpen, |_| true).await
    }

    /// Sends a request as [`Self::call`] does, if `is_wanted` still holds once there is a connection, and
    /// on none that has carried a request with the same key.
    pub async fn call_if(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        key: RequestKey,
        rule: OpenRule,
        is_wanted: impl Fn(ConnectionHistory) -> bool,
    ) -> Result<(Response<Incoming>, PooledConnection)> {
        self.exchange(address, request, Some(key), rule, is_wanted).await
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        key: Option<RequestKey>,
        rule: OpenRule,
        is_wanted: impl Fn(ConnectionHistory) -> bool,
    ) -> Result<(Response<Incoming>, PooledConnection)> {
        loop {
            let (mut connection, reused) = match self.take_idle(address, key) {
                Some(connection) => (connection, true),
                None if rule == OpenRule::Reuse => {
                    let detail = "no open connection".to_owned();
                    return Err(CallError::Unopened { failure: OpenFailure::Refused, detail });
                }
                None => (self.open(address).await?, false),
            };
            if reused && connection.sender.ready().await.is_err() {
                continue;
            }
            if !is_wanted(connection.history) {
                return Err(CallError::Withheld);
            }
            connection.on_sent(key);
            connection.head_allowance.start(self.heads.lease(MAX_HEAD_BYTES));
            let sent = connection.sender.try_send_request(request).await;
            connection.head_allowance.stop();
            match sent {
                Ok(response) => {
                    let idle_timeout = idle_timeout(response.headers());
                    let idle = self.idle.clone();
                    return Ok((
                        response,
                        PooledConnection { connection, address, idle_timeout, idle },
                    ));
                }
                Err(mut failure) => match failure.take_message() {
                    // The server had closed the idle connection, so nothing was sent on it.
                    Some(unsent) if reused => request = unsent,
                    Some(_) => return Err(CallError::Unsent(failure.error().to_string())),
                    None => return Err(CallError::Lost(failure.error().to_string())),
                },
            }
        }
    }

    /// Opens a connection that stays open for a moment.
    pub async fn open_trial(&self, address: SocketAddr) -> Result<PooledConnection> {
        let connection = self.open(address).await?;
        tokio::time::sleep(STAY_TIME).await;
        if connection.sender.is_closed() {
            let detail = "closed at once".to_owned();
            return Err(CallError::Unopened { failure: OpenFailure::Refused, detail });
        }
        let (idle, idle_timeout) = (self.idle.clone(), DEFAULT_IDLE_TIMEOUT);
        Ok(PooledConnection { connection, address, idle_timeout, idle })
    }

    /// Returns whether a connection to an address that was opened before a time is still open: the process
    /// at its other end lives.
    pub fn has_connection_from_before(&self, address: SocketAddr, time: Instant) -> bool {
        let is_older = |live: &LiveConnection| live.address == address && live.opened_at < time;
        self.live.borrow().values().any(is_older)
    }

    /// Closes the idle connections to an address, for a server that is gone.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes idle connections past their idle timeout.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    async fn open(&self, address: SocketAddr) -> Result<OpenConnection> {
        let unsent = |error: &dyn std::fmt::Display| CallError::Unsent(error.to_string());
        let begun_at = Instant::now();
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, self.connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                let failure = match error.kind() {
                    std::io::ErrorKind::TimedOut => OpenFailure::TimedOut,
                    _ => OpenFailure::Refused,
                };
                return Err(CallError::Unopened { failure, detail: error.to_string() });
            }
            Err(_) => {
                let (failure, detail) = (OpenFailure::TimedOut, "connect timed out".to_owned());
                return Err(CallError::Unopened { failure, detail });
            }
        };
        self.record_connect_time(address, begun_at.elapsed());
        let guard = LiveGuard::new(&self.live, address);
        set_tcp_timeouts(&stream, TCP_USER_TIMEOUT).map_err(|error| unsent(&error))?;
        let head_allowance = HeadAllowance::default();
        let stream = HeadLimitedStream::new(stream, head_allowance.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unsent(&error))?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("event=connection_failed address={address} error=\"{error}\"");
            }
            drop(guard);
        });
        self.opened.set(self.opened.get() + 1);
        let history = ConnectionHistory { connection: self.opened.get(), requests: 0 };
        Ok(OpenConnection { sender, head_allowance, task, history, carried: Vec::new() })
    }

    async fn connect(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        if let Some(source) = self.source.filter(|source| source.is_ipv4() == address.is_ipv4()) {
            socket.bind(SocketAddr::new(source, 0))?;
        }
        socket.connect(address).await
    }

    fn record_connect_time(&self, address: SocketAddr, time: Duration) {
        let mut times = self.connect_times.borrow_mut();
        if times.len() < MAX_CONNECT_TIMES {
            let least = times.entry(address).or_insert(time);
            *least = time.min(*least);
        }
    }

    /// Returns how long the set-up of connections took since the last call, by address.
    pub fn take_connect_times(&self) -> HashMap<SocketAddr, Duration> {
        self.connect_times.take()
    }

    /// Takes the connection that was used last among those that may carry a request.
    fn take_idle(
        &self,
        address: SocketAddr,
        request: Option<RequestKey>,
    ) -> Option<OpenConnection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        for index in (0..connections.len()).rev() {
            let candidate = &connections[index];
            if candidate.expires_at <= now || candidate.connection.sender.is_closed() {
                connections.remove(index);
            } else if candidate.connection.may_carry(request) {
                return Some(connections.remove(index).connection);
            }
        }
        None
    }
}

/// Sets `TCP_NODELAY`, keepalive probes and the user timeout, so that a connection over a cut link
/// fails: no reset arrives there.
pub fn set_tcp_timeouts(stream: &TcpStream, user_timeout: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD)
        .with_interval(KEEPALIVE_PERIOD)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}

/// Returns the idle timeout of a connection by its response headers; zero if the server closes it.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("");
    if text(hyper::header::CONNECTION).to_ascii_lowercase().contains("close") {
        return Duration::ZERO;
    }
    let fields = headers.get("keep-alive").and_then(|value| value.to_str().ok()).unwrap_or("");
    let timeout = fields.split(',').find_map(|field| field.trim().strip_prefix("timeout="));
    match timeout.and_then(|seconds| seconds.parse().ok()) {
        Some(seconds) => {
            Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIMEOUT)
        }
        None => DEFAULT_IDLE_TIMEOUT,
    }
}
