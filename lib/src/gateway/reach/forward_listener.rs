//! Sends attempts of peers to servers that these do not reach.
//!
//! The peer has checked the request, and decides what follows a failure. This host adds what it knows of the
//! server: whether it is leaving, paused or another process by now. It never passes an attempt on to a third
//! host.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Either;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::gateway::accepted_request::InFlightGuard;
use crate::gateway::accepted_request::end_to_end_headers;
use crate::gateway::body_reader::read_body;
use crate::gateway::connection_pool::CallError;
use crate::gateway::connection_pool::ConnectionHistory;
use crate::gateway::connection_pool::OpenRule;
use crate::gateway::connection_pool::PooledConnection;
use crate::gateway::connection_pool::RequestKey;
use crate::gateway::connection_pool::set_tcp_timeouts;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::http_listeners::accept;
use crate::gateway::platform_api::WireProtocol;
use crate::gateway::process_probe::probe_address;
use crate::gateway::reach::hop_message::HopHead;
use crate::gateway::reach::hop_message::HopKind;
use crate::gateway::reach::hop_message::HopOutcome;
use crate::gateway::reach::reach_table::OpenFailure;
use crate::gateway::reach::reach_table::ServerPath;
use crate::gateway::server_attempt::NoticeSource;
use crate::gateway::server_attempt::record_notice;
use crate::gateway::stream_relay::is_framed;
use crate::ids::ServerKey;
use crate::ids::ServiceName;
use crate::timestamp::wall_clock_ms;

/// Maximum number of attempts of peers in flight.
const MAX_FORWARDED: usize = 256;

/// Maximum number of connections of peers.
const MAX_CONNECTIONS: usize = 512;

/// Time for a head to arrive, and for which a connection may stay idle.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// Time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum age of a hop when it is read. A host that stood still reads hops whose callers may have left.
const MAX_HOP_AGE: Duration = Duration::from_millis(500);

/// Maximum time for which bytes sent to a peer may stay unacknowledged.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Body of a forwarded response.
type ForwardedBody = Either<Full<Bytes>, ForwardedStream>;

/// A response to a peer.
type HopReply = Response<ForwardedBody>;

/// The body of a server's response while it is forwarded. Dropping it before its end closes the connection to the
/// server.
pub struct ForwardedStream {
    body: Incoming,
    connection: Option<PooledConnection>,
    _guard: InFlightGuard,
    _place: OwnedSemaphorePermit,
}

impl ForwardedStream {
    fn release_at_end(&mut self) {
        if self.body.is_end_stream()
            && let Some(connection) = self.connection.take()
        {
            connection.release();
        }
    }
}

impl Body for ForwardedStream {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(None | Some(Ok(_))) = &polled {
            self.release_at_end();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Forwards attempts of peers.
pub struct ForwardListener<W> {
    state: Rc<GatewayState>,
    wire: Rc<W>,
    places: Arc<Semaphore>,
    connections: Arc<Semaphore>,
}

impl<W: WireProtocol + 'static> ForwardListener<W> {
    /// Builds a listener without connections.
    pub fn new(state: Rc<GatewayState>, wire: Rc<W>) -> Self {
        Self {
            state,
            wire,
            places: Arc::new(Semaphore::new(MAX_FORWARDED)),
            connections: Arc::new(Semaphore::new(MAX_CONNECTIONS)),
        }
    }

    /// Serves peers until the process exits. Connections from other addresses are closed.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Some(stream) = accept(&listener).await else { continue };
            let is_peer = stream
                .peer_addr()
                .is_ok_and(|address| self.state.peers.borrow().knows_address(address.ip()));
            let Ok(place) = self.connections.clone().try_acquire_owned() else { continue };
            if is_peer {
                tokio::task::spawn_local(self.clone().serve_peer(stream, place));
            } else {
                log::info!("event=stranger_closed detail=\"no known peer\"");
            }
        }
    }

    async fn serve_peer(self: Rc<Self>, stream: TcpStream, _place: OwnedSemaphorePermit) {
        if let Err(error) = set_tcp_timeouts(&stream, TCP_USER_TIMEOUT) {
            log::debug!("event=socket_option_failed detail=\"{error}\"");
        }
        let service = service_fn(move |request| {
            let listener = self.clone();
            async move { Ok::<_, Infallible>(listener.answer(request).await) }
        });
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        if let Err(error) = served.await {
            log::debug!("event=peer_connection_failed detail=\"{error}\"");
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> HopReply {
        let (mut parts, body) = request.into_parts();
        let head = match HopHead::try_from(&mut parts.headers) {
            Ok(head) => head,
            Err(error) => {
                self.state.metrics.events.with_label_values(&["hop_skipped"]).inc();
                log::warn!("event=hop_skipped detail=\"{error}\"");
                return HopOutcome::Unreached.response(empty_body());
            }
        };
        let outcome = match (self.find_server(&head), head.kind) {
            (None, _) => Err(HopOutcome::Withheld),
            (Some(server), HopKind::Probe) => {
                Err(HopOutcome::Probed(probe_address(server.address).await))
            }
            (Some(server), HopKind::Attempt) => {
                self.forward(&head, &server, Request::from_parts(parts, body)).await
            }
        };
        outcome.unwrap_or_else(|outcome| {
            log::info!(
                "event=hop_ended request={} server={} outcome={outcome:?}",
                head.request_id,
                head.server
            );
            outcome.response(empty_body())
        })
    }

    /// Returns the server that a peer means, if it is still the same process here and not leaving.
    fn find_server(&self, head: &HopHead) -> Option<HopServer> {
        let directory = self.state.directory.borrow();
        let key = directory.find(&head.server)?;
        let entry = &directory.get(key)?.entry;
        let (service, address) = (entry.service.clone(), entry.address);
        let is_same = directory.accepts_work(key, head.started_at_ms, address);
        is_same.then_some(HopServer { key, service, address })
    }

    fn may_send(&self, head: &HopHead, server: &HopServer) -> bool {
        let now = self.state.now();
        let directory = self.state.directory.borrow();
        directory.accepts_work(server.key, head.started_at_ms, server.address)
            && !self.state.placement.borrow().is_paused(now, &head.server)
    }

    async fn forward(
        &self,
        head: &HopHead,
        server: &HopServer,
        request: Request<Incoming>,
    ) -> Result<HopReply> {
        let state = &self.state;
        let path = state.reach.borrow().path(server.key, &server.service);
        let rule = match path {
            ServerPath::Direct => OpenRule::MayOpen,
            ServerPath::OpenOnly => OpenRule::Reuse,
            ServerPath::Forwarded => return Err(HopOutcome::Unreached),
        };
        let age = wall_clock_ms().abs_diff(head.sent_at_ms);
        if state.shutdown.get().is_some() || u128::from(age) > MAX_HOP_AGE.as_millis() {
            return Err(HopOutcome::Unreached);
        }
        let place = self.places.clone().try_acquire_owned();
        let place = place.map_err(|_| HopOutcome::Unreached)?;
        let guard = InFlightGuard::new(state);
        let (parts, body) = request.into_parts();
        let limits = state.config.borrow().current().map(|config| config.limits);
        let lease = state.caller_buffers.lease(limits.map_or(0, |limits| limits.body_bytes));
        let body = tokio::time::timeout(BODY_TIMEOUT, read_body(body, lease, usize::MAX)).await;
        let Ok(Ok(body)) = body else { return Err(HopOutcome::Unreached) };
        let mut message = Request::new(Full::new(body));
        *message.method_mut() = parts.method;
        *message.uri_mut() = parts.uri;
        *message.headers_mut() = end_to_end_headers(&parts.headers);
        let (key, begun_at) = (RequestKey::from(head.request_id.as_str()), state.now());
        let is_first_use = Cell::new(false);
        let is_wanted = |history: ConnectionHistory| {
            is_first_use.set(history.requests == 0);
            self.may_send(head, server)
        };
        let called = state.pool.call_if(server.address, message, key, rule, is_wanted).await;
        let (response, mut connection) = match called {
            Ok(called) => called,
            Err(error) => {
                let failure = match error {
                    CallError::Unopened { failure, .. } if rule == OpenRule::MayOpen => {
                        Some(failure)
                    }
                    CallError::Lost(_) if is_first_use.get() => Some(OpenFailure::Lost),
                    _ => None,
                };
                if let Some(failure) = failure {
                    state.on_server_unopened(server.key, &server.service, begun_at, failure);
                }
                return Err(match error {
                    CallError::Unopened { .. } | CallError::Unsent(_) => HopOutcome::Unreached,
                    CallError::Withheld => HopOutcome::Withheld,
                    CallError::Lost(_) => HopOutcome::Lost,
                });
            }
        };
        let (mut parts, body) = response.into_parts();
        state.reach.borrow_mut().on_heard(state.now(), server.key);
        if connection.is_first_use() {
            state.on_server_opened(server.key, &server.service);
        }
        let source = NoticeSource {
            server: &head.server,
            started_at_ms: head.started_at_ms,
            sent_at: begun_at,
        };
        record_notice(state, source, self.wire.read_notice(&head.request_id, &parts));
        if !self.wire.names_request(&parts) {
            connection.forbid_reuse();
        }
        let outcome = HopOutcome::Answered { is_framed: is_framed(&parts.headers) };
        parts.headers = end_to_end_headers(&parts.headers);
        outcome.write(&mut parts.headers);
        let mut stream =
            ForwardedStream { body, connection: Some(connection), _guard: guard, _place: place };
        stream.release_at_end();
        Ok(Response::from_parts(parts, Either::Right(stream)))
    }
}

/// Result of forwarding an attempt. The error is what the peer is told.
type Result<T> = std::result::Result<T, HopOutcome>;

/// A server as this host lists it.
struct HopServer {
    key: ServerKey,
    service: ServiceName,
    address: SocketAddr,
}

fn empty_body() -> ForwardedBody {
    Either::Left(Full::default())
}
