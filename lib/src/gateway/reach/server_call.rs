//! Sends attempts to servers over this host's connections, or over a peer where these fail.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::gateway::attempt_progress::AttemptProgress;
use crate::gateway::connection_pool::CallError;
use crate::gateway::connection_pool::ConnectionHistory;
use crate::gateway::connection_pool::OpenRule;
use crate::gateway::connection_pool::PooledConnection;
use crate::gateway::connection_pool::RequestKey;
use crate::gateway::connection_pool::Result;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::process_probe::ProbeOutcome;
use crate::gateway::process_probe::probe_address;
use crate::gateway::reach::forwarder_choice::ForwarderPeer;
use crate::gateway::reach::hop_message::HopHead;
use crate::gateway::reach::hop_message::HopKind;
use crate::gateway::reach::hop_message::HopOutcome;
use crate::gateway::reach::reach_table::OpenFailure;
use crate::gateway::reach::reach_table::ServerPath;
use crate::ids::HostId;
use crate::ids::ServerId;
use crate::ids::ServerKey;
use crate::ids::ServiceName;
use crate::timestamp::wall_clock_ms;

/// Maximum number of peers that are asked to forward one attempt.
const MAX_FORWARDERS: usize = 3;

/// Time for a peer to probe a server.
const PROBE_TIMEOUT: Duration = Duration::from_millis(450);

/// Minimum time without a response after which it is checked whether the server can be reached.
const MIN_SILENCE: Duration = Duration::from_millis(400);

/// The same as a multiple of the expected time to the first event.
const SILENCE_PER_EXPECTED: u32 = 2;

/// A server that an attempt is sent to.
#[derive(Clone, Copy, Debug)]
pub struct ServerTarget<'a> {
    /// Key of the server.
    pub key: ServerKey,
    /// Its name.
    pub id: &'a ServerId,
    /// Its service.
    pub service: &'a ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// Start time of its process in milliseconds since 1970, if it is known.
    pub started_at_ms: Option<u64>,
}

/// An attempt to send.
pub struct ServerCall<'a> {
    /// Where it goes.
    pub target: ServerTarget<'a>,
    /// Identifier of the request.
    pub request_id: &'a str,
    /// Expected time to the first event.
    pub expected: Duration,
    /// How far the attempt has come.
    pub progress: &'a AttemptProgress,
}

impl ServerCall<'_> {
    /// Sends the attempt and waits for the head of the response. `message` builds its request, which states the
    /// time left; `is_wanted` is asked when there is a connection.
    pub async fn send(
        &self,
        state: &Rc<GatewayState>,
        message: impl Fn() -> Request<Full<Bytes>>,
        is_wanted: impl Fn(ConnectionHistory) -> bool,
    ) -> Result<(Response<Incoming>, PooledConnection)> {
        let ServerTarget { key, service, .. } = self.target;
        let path = state.reach.borrow().path(key, service);
        let has_forwarder =
            path != ServerPath::Direct && state.choose_forwarder(service, &[]).is_some();
        // Without a peer that reaches the service, this host tries by itself.
        let rule = match path {
            ServerPath::OpenOnly | ServerPath::Forwarded if has_forwarder => OpenRule::Reuse,
            ServerPath::Direct | ServerPath::OpenOnly | ServerPath::Forwarded => OpenRule::MayOpen,
        };
        let error = match path {
            ServerPath::Forwarded if has_forwarder => unopened("not reached by this host"),
            ServerPath::Forwarded if self.is_silent(state) => {
                return Err(unopened("reached by no host"));
            }
            _ => match self.send_direct(state, message(), rule, &is_wanted).await {
                Err(error @ CallError::Unopened { .. }) => error,
                outcome => return outcome,
            },
        };
        let is_own = |failure| {
            failure == OpenFailure::TimedOut || state.reach.borrow().is_service_unreached(service)
        };
        match &error {
            CallError::Unopened { failure, .. } if rule == OpenRule::Reuse || is_own(*failure) => {
                self.send_over_peers(state, message, is_wanted, error).await
            }
            _ => Err(error),
        }
    }

    fn is_silent(&self, state: &GatewayState) -> bool {
        let ServerTarget { key, service, .. } = self.target;
        state.reach.borrow().is_silent(state.now(), key, service)
    }

    async fn send_direct(
        &self,
        state: &Rc<GatewayState>,
        message: Request<Full<Bytes>>,
        rule: OpenRule,
        is_wanted: impl Fn(ConnectionHistory) -> bool,
    ) -> Result<(Response<Incoming>, PooledConnection)> {
        let ServerTarget { key, service, address, .. } = self.target;
        let begun_at = state.now();
        self.progress.on_tried();
        let request = RequestKey::from(self.request_id);
        let is_first_use = Cell::new(false);
        let is_wanted = |history: ConnectionHistory| {
            is_first_use.set(history.requests == 0);
            is_wanted(history)
        };
        let call = state.pool.call_if(address, message, request, rule, is_wanted);
        tokio::pin!(call);
        let silence = MIN_SILENCE.max(self.expected * SILENCE_PER_EXPECTED);
        let outcome = match timeout(silence, &mut call).await {
            Ok(outcome) => outcome,
            Err(_) => {
                if !state.reach.borrow().is_heard_since(key, begun_at) {
                    state.check_reach(key);
                }
                call.await
            }
        };
        match &outcome {
            Ok((_, connection)) if connection.is_first_use() => {
                state.on_server_opened(key, service);
            }
            Err(CallError::Unopened { failure, .. }) if rule == OpenRule::MayOpen => {
                state.on_server_unopened(key, service, begun_at, *failure);
            }
            Err(CallError::Lost(_)) if is_first_use.get() => {
                state.on_server_unopened(key, service, begun_at, OpenFailure::Lost);
            }
            Ok(_) | Err(_) => {}
        }
        outcome
    }

    /// Sends the attempt over peers until one of them reaches the server. `unsent` is returned if none does.
    async fn send_over_peers(
        &self,
        state: &Rc<GatewayState>,
        message: impl Fn() -> Request<Full<Bytes>>,
        is_wanted: impl Fn(ConnectionHistory) -> bool,
        unsent: CallError,
    ) -> Result<(Response<Incoming>, PooledConnection)> {
        let ServerTarget { key, id, service, .. } = self.target;
        let mut tried: Vec<HostId> = Vec::new();
        let mut error = unsent;
        while tried.len() < MAX_FORWARDERS
            && let Some(peer) = state.choose_forwarder(service, &tried)
        {
            log::info!(
                "event=attempt_forwarded request={} server={id} peer={}",
                self.request_id,
                peer.host
            );
            state.metrics.attempts.with_label_values(&["Forwarded"]).inc();
            self.progress.on_forwarded();
            match self.send_over(state, &peer, message(), &is_wanted).await {
                Err(unsent @ (CallError::Unopened { .. } | CallError::Unsent(_))) => {
                    let mut forwarders = state.forwarders.borrow_mut();
                    forwarders.on_failed(state.now(), &peer.host, service);
                    error = unsent;
                }
                outcome => {
                    if outcome.is_ok() {
                        state.on_peer_answered(key, service);
                    }
                    return outcome;
                }
            }
            tried.push(peer.host);
        }
        Err(error)
    }

    async fn send_over(
        &self,
        state: &Rc<GatewayState>,
        peer: &ForwarderPeer,
        mut message: Request<Full<Bytes>>,
        is_wanted: impl Fn(ConnectionHistory) -> bool,
    ) -> Result<(Response<Incoming>, PooledConnection)> {
        let head = self.target.hop_head(HopKind::Attempt, self.request_id);
        head.write(message.headers_mut()).map_err(|error| CallError::Unsent(error.to_string()))?;
        let request = RequestKey::from(self.request_id);
        let rule = OpenRule::MayOpen;
        let called = state.pool.call_if(peer.address, message, request, rule, is_wanted).await;
        let (mut response, connection) = called?;
        let outcome = HopOutcome::try_from(response.headers_mut())
            .map_err(|error| CallError::Lost(error.to_string()))?;
        let error = match outcome {
            HopOutcome::Answered { .. } => return Ok((response, connection)),
            HopOutcome::Unreached => CallError::Unsent(format!("{} does not reach it", peer.host)),
            HopOutcome::Withheld => CallError::Withheld,
            HopOutcome::Lost | HopOutcome::Probed(_) => {
                CallError::Lost(format!("connection error at {}", peer.host))
            }
        };
        connection.release();
        Err(error)
    }
}

impl ServerTarget<'_> {
    /// Finds out whether the server accepts connections. Where this host's fail, a peer is asked, since they
    /// say nothing about the server while the host is partitioned from it.
    pub async fn probe(&self, state: &GatewayState) -> ProbeOutcome {
        let begun_at = state.now();
        let failure = match probe_address(self.address).await {
            ProbeOutcome::Serves => return ProbeOutcome::Serves,
            ProbeOutcome::Refused => OpenFailure::Refused,
            ProbeOutcome::Unknown => OpenFailure::TimedOut,
        };
        state.on_server_unopened(self.key, self.service, begun_at, failure);
        let witness = match state.choose_forwarder(self.service, &[]) {
            Some(peer) => {
                timeout(PROBE_TIMEOUT, self.probe_over(state, &peer)).await.ok().flatten()
            }
            None => None,
        };
        match (witness, failure) {
            (Some(ProbeOutcome::Serves), _) => {
                state.on_peer_answered(self.key, self.service);
                ProbeOutcome::Serves
            }
            (Some(outcome), OpenFailure::TimedOut) => outcome,
            (_, OpenFailure::Refused | OpenFailure::Lost) => ProbeOutcome::Refused,
            (None, OpenFailure::TimedOut) => ProbeOutcome::Unknown,
        }
    }

    async fn probe_over(&self, state: &GatewayState, peer: &ForwarderPeer) -> Option<ProbeOutcome> {
        let mut message = Request::new(Full::new(Bytes::new()));
        self.hop_head(HopKind::Probe, "").write(message.headers_mut()).ok()?;
        // Without an answer of the peer this host's own failure stands.
        let (mut response, connection) = state.pool.call(peer.address, message).await.ok()?;
        let outcome = HopOutcome::try_from(response.headers_mut()).ok()?;
        connection.release();
        match outcome {
            HopOutcome::Probed(outcome) => Some(outcome),
            _ => None,
        }
    }

    fn hop_head(&self, kind: HopKind, request_id: &str) -> HopHead {
        HopHead {
            kind,
            server: self.id.clone(),
            started_at_ms: self.started_at_ms,
            request_id: request_id.to_owned(),
            sent_at_ms: wall_clock_ms(),
        }
    }
}

fn unopened(detail: &str) -> CallError {
    CallError::Unopened { failure: OpenFailure::TimedOut, detail: detail.to_owned() }
}
