//! Client of the peer link.
//!
//! Calls block, because the rest of the process runs on plain threads. Only membership messages,
//! whose replies go to a callback, and crash reports do not block.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::runtime::Handle;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use crate::ids::LogOffset;
use crate::ids::RequestId;
use crate::member_event::PeerConnection;
use crate::peer_link::AnswerPart;
use crate::peer_link::AnswerState;
use crate::peer_link::CODE_KEY;
use crate::peer_link::CheckpointCopy;
use crate::peer_link::ClusterSecret;
use crate::peer_link::FetchedAnswer;
use crate::peer_link::MAX_CALL_BYTES;
use crate::peer_link::PeerError;
use crate::peer_link::Result;
use crate::peer_link::SECRET_KEY;
use crate::peer_link::TakeOverAnswer;
use crate::peer_message::PeerMessage;
use crate::protos::peer as proto;
use crate::protos::peer::peer_service_client::PeerServiceClient;
use crate::result_code::ResultCode;

type LinkClient = PeerServiceClient<Channel>;
type RpcResult<T> = std::result::Result<Response<T>, Status>;

/// Timeouts of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerTimeouts {
    /// Timeout for opening a connection.
    pub connect: Duration,
    /// Timeout for the reply to a membership message.
    pub exchange: Duration,
    /// Timeout for the reply to any other call.
    pub call: Duration,
}

impl Default for PeerTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            exchange: Duration::from_secs(1),
            call: Duration::from_secs(2),
        }
    }
}

struct ClientState {
    runtime: Handle,
    secret: ClusterSecret,
    timeouts: PeerTimeouts,
    exchanges: Mutex<BTreeMap<PeerConnection, LinkClient>>,
    calls: Mutex<BTreeMap<SocketAddr, LinkClient>>,
}

/// Client of the peer link; clones share their connections.
#[derive(Clone)]
pub struct PeerClient {
    state: Arc<ClientState>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PeerClient {
    /// Builds a client that runs its calls on the runtime.
    pub fn new(runtime: Handle, secret: ClusterSecret, timeouts: PeerTimeouts) -> Self {
        let state = ClientState {
            runtime,
            secret,
            timeouts,
            exchanges: Mutex::default(),
            calls: Mutex::default(),
        };
        Self { state: Arc::new(state) }
    }

    /// Sends a membership message without blocking; `on_reply` is called with the reply or the
    /// error on a thread of the runtime.
    pub fn exchange(
        &self,
        connection: PeerConnection,
        message: &PeerMessage,
        on_reply: impl FnOnce(Result<PeerMessage>) + Send + 'static,
    ) {
        let client = self.pooled_client(&self.state.exchanges, connection, connection.address);
        let timeout = self.state.timeouts.exchange;
        let request = self.authorize(proto::Packet { envelope: message.encode() });
        self.state.runtime.spawn(async move {
            let reply = match client {
                Ok(mut client) => with_timeout(timeout, client.exchange(request)).await,
                Err(error) => Err(error),
            };
            on_reply(reply.and_then(|packet| decode_reply(&packet.envelope)));
        });
    }

    /// Closes a connection for membership messages.
    pub fn close_connection(&self, connection: PeerConnection) {
        lock(&self.state.exchanges).remove(&connection);
    }

    /// Returns the number of pooled connections for membership messages.
    pub fn connection_count(&self) -> usize {
        lock(&self.state.exchanges).len()
    }

    /// Asks a peer to take over an unfinished request.
    ///
    /// After [`PeerError::Timeout`] and [`PeerError::ConnectionLost`] the peer may have taken it.
    pub fn take_over(
        &self,
        peer: SocketAddr,
        request: RequestId,
        payload: Vec<u8>,
    ) -> Result<TakeOverAnswer> {
        let offer =
            proto::TakeOverRequest { origin: request.origin, sequence: request.sequence, payload };
        let request = self.authorize(offer);
        let reply = self.call(peer, async |client| client.take_over(request).await)?;
        if reply.accepted {
            return Ok(TakeOverAnswer::Accepted);
        }
        Ok(TakeOverAnswer::Refused(decode_code(reply.result_code)?))
    }

    /// Fetches the parts of an answer from an offset on.
    pub fn fetch_answer(
        &self,
        peer: SocketAddr,
        request: RequestId,
        from_offset: u32,
    ) -> Result<FetchedAnswer> {
        let query = proto::FetchAnswerRequest {
            origin: request.origin,
            sequence: request.sequence,
            from_offset,
        };
        let request = self.authorize(query);
        let reply = self.call(peer, async |client| client.fetch_answer(request).await)?;
        decode_answer(reply)
    }

    /// Fetches a peer's newest checkpoint of the configuration, if it has one.
    pub fn fetch_config_checkpoint(&self, peer: SocketAddr) -> Result<Option<CheckpointCopy>> {
        let request = self.authorize(proto::FetchConfigCheckpointRequest {});
        let reply =
            self.call(peer, async |client| client.fetch_config_checkpoint(request).await)?;
        Ok(reply.found.then_some(CheckpointCopy {
            offset: LogOffset(reply.offset),
            digest: reply.digest,
            body: reply.body,
        }))
    }

    /// Sends a crash report without blocking; a lost report is superseded by the next one.
    pub fn share_crash_report(&self, peer: SocketAddr, report: Vec<u8>) {
        let client = self.pooled_client(&self.state.calls, peer, peer);
        let timeout = self.state.timeouts.call;
        let request = self.authorize(proto::Packet { envelope: report });
        let state = self.state.clone();
        self.state.runtime.spawn(async move {
            let Ok(mut client) = client else { return };
            let reply = with_timeout(timeout, client.share_crash_report(request)).await;
            if matches!(reply, Err(PeerError::Timeout(_) | PeerError::ConnectionLost(_))) {
                lock(&state.calls).remove(&peer);
            }
        });
    }

    /// Fetches a peer's encoded contribution to the burn report.
    pub fn fetch_burn(&self, peer: SocketAddr) -> Result<Vec<u8>> {
        let request = self.authorize(proto::FetchBurnRequest {});
        let reply = self.call(peer, async |client| client.fetch_burn(request).await)?;
        Ok(reply.contribution)
    }

    /// Makes one call and waits for its reply. A connection that times out or fails is dropped, so
    /// that the next call opens a new one.
    fn call<T>(
        &self,
        peer: SocketAddr,
        start: impl AsyncFnOnce(&mut LinkClient) -> RpcResult<T>,
    ) -> Result<T> {
        let mut client = self.pooled_client(&self.state.calls, peer, peer)?;
        let timeout = self.state.timeouts.call;
        let reply = self.state.runtime.block_on(with_timeout(timeout, start(&mut client)));
        if matches!(reply, Err(PeerError::Timeout(_) | PeerError::ConnectionLost(_))) {
            lock(&self.state.calls).remove(&peer);
        }
        reply
    }

    /// Returns the client of a connection, and creates it on first use.
    fn pooled_client<K: Ord>(
        &self,
        pool: &Mutex<BTreeMap<K, LinkClient>>,
        key: K,
        peer: SocketAddr,
    ) -> Result<LinkClient> {
        let mut pool = lock(pool);
        if let Some(client) = pool.get(&key) {
            return Ok(client.clone());
        }
        let client = self.connect(peer)?;
        pool.insert(key, client.clone());
        Ok(client)
    }

    fn connect(&self, peer: SocketAddr) -> Result<LinkClient> {
        let _context = self.state.runtime.enter();
        let endpoint = Endpoint::try_from(format!("http://{peer}"))
            .map_err(|error| PeerError::NotConnected(error.to_string()))?
            .connect_timeout(self.state.timeouts.connect);
        Ok(PeerServiceClient::new(endpoint.connect_lazy())
            .max_decoding_message_size(MAX_CALL_BYTES)
            .max_encoding_message_size(MAX_CALL_BYTES))
    }

    fn authorize<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        request.metadata_mut().insert(SECRET_KEY, self.state.secret.value());
        request
    }
}

async fn with_timeout<T>(timeout: Duration, call: impl Future<Output = RpcResult<T>>) -> Result<T> {
    match tokio::time::timeout(timeout, call).await {
        Ok(Ok(reply)) => Ok(reply.into_inner()),
        Ok(Err(status)) => Err(decode_status(&status)),
        Err(_) => Err(PeerError::Timeout(timeout)),
    }
}

fn decode_status(status: &Status) -> PeerError {
    let number = status.metadata().get(CODE_KEY).and_then(|value| value.to_str().ok());
    let code = number.and_then(|text| text.parse().ok()).and_then(ResultCode::from_number);
    if let Some(code) = code {
        return PeerError::Refused(code);
    }
    match status.code() {
        tonic::Code::Unavailable if is_connect_failure(status) => {
            PeerError::NotConnected(status.message().to_owned())
        }
        _ => PeerError::ConnectionLost(status.to_string()),
    }
}

/// Returns whether the peer refused the connection, so that it was never opened.
fn is_connect_failure(status: &Status) -> bool {
    let mut cause = std::error::Error::source(status);
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<std::io::Error>() {
            return error.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        cause = error.source();
    }
    false
}

fn decode_reply(bytes: &[u8]) -> Result<PeerMessage> {
    PeerMessage::decode(bytes).map_err(|error| PeerError::Malformed(error.to_string()))
}

fn decode_code(number: u32) -> Result<ResultCode> {
    u16::try_from(number)
        .ok()
        .and_then(ResultCode::from_number)
        .ok_or_else(|| PeerError::Malformed(format!("result code {number}")))
}

fn decode_answer(reply: proto::FetchAnswerReply) -> Result<FetchedAnswer> {
    let state = match reply.status() {
        proto::AnswerStatus::Running => AnswerState::Running,
        proto::AnswerStatus::Complete => AnswerState::Complete(decode_code(reply.result_code)?),
        proto::AnswerStatus::Unknown => AnswerState::Unknown,
        proto::AnswerStatus::Unspecified => {
            return Err(PeerError::Malformed("answer status".to_owned()));
        }
    };
    let parts = reply
        .parts
        .into_iter()
        .map(|part| AnswerPart { offset: part.offset, data: part.data })
        .collect();
    Ok(FetchedAnswer { state, parts })
}
