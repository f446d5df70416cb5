//! Server of the peer link.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use crate::ids::RequestId;
use crate::peer_link::AnswerState;
use crate::peer_link::CODE_KEY;
use crate::peer_link::ClusterSecret;
use crate::peer_link::MAX_CALL_BYTES;
use crate::peer_link::PeerError;
use crate::peer_link::PeerHandler;
use crate::peer_link::RefusalCounter;
use crate::peer_link::Result;
use crate::peer_link::SECRET_KEY;
use crate::peer_link::TakeOverAnswer;
use crate::peer_message::PeerMessage;
use crate::protos::peer as proto;
use crate::protos::peer::peer_service_server::PeerService;
use crate::protos::peer::peer_service_server::PeerServiceServer;
use crate::result_code::ResultCode;

/// Answers one membership message; must not block.
pub type ExchangeHandler = Arc<dyn Fn(PeerMessage) -> PeerMessage + Send + Sync>;

type RpcResult<T> = std::result::Result<Response<T>, Status>;

/// Server of the peer link; it stops when dropped.
pub struct PeerServer {
    address: SocketAddr,
    refusals: Arc<RefusalCounter>,
    stop: Option<oneshot::Sender<()>>,
}

impl PeerServer {
    /// Listens on the address and serves on the runtime.
    pub fn start(
        runtime: &Handle,
        listen: SocketAddr,
        secret: ClusterSecret,
        exchange: ExchangeHandler,
        handler: Arc<dyn PeerHandler>,
    ) -> Result<Self> {
        let failed = |error: std::io::Error| PeerError::Listen(error.to_string());
        let listener = std::net::TcpListener::bind(listen).map_err(failed)?;
        Self::serve(runtime, listener, secret, exchange, handler).map_err(failed)
    }

    /// Serves on a socket that is already listening.
    pub fn serve(
        runtime: &Handle,
        listener: std::net::TcpListener,
        secret: ClusterSecret,
        exchange: ExchangeHandler,
        handler: Arc<dyn PeerHandler>,
    ) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let _context = runtime.enter();
        let listener = TcpListener::from_std(listener)?;
        let refusals = Arc::new(RefusalCounter::default());
        let service = LinkService { exchange, handler, refusals: refusals.clone() };
        let (stop, stopped) = oneshot::channel::<()>();
        runtime.spawn(run_server(listener, secret, service, stopped));
        Ok(Self { address, refusals, stop: Some(stop) })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counts of refused messages.
    pub fn refusals(&self) -> &RefusalCounter {
        &self.refusals
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // Sending fails only if the server has already ended.
            let _ = stop.send(());
        }
    }
}

async fn run_server(
    listener: TcpListener,
    secret: ClusterSecret,
    service: LinkService,
    stopped: oneshot::Receiver<()>,
) {
    let refusals = service.refusals.clone();
    let server = PeerServiceServer::new(service)
        .max_decoding_message_size(MAX_CALL_BYTES)
        .max_encoding_message_size(MAX_CALL_BYTES);
    let authenticated = InterceptedService::new(server, move |request: Request<()>| {
        check_secret(&secret, &refusals, request)
    });
    let stop = async {
        // A dropped sender stops the server as well.
        let _ = stopped.await;
    };
    // A reply is written in several small segments. Without TCP_NODELAY, each would wait for the
    // acknowledgement of the previous one.
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let served = Server::builder()
        .add_service(authenticated)
        .serve_with_incoming_shutdown(incoming, stop)
        .await;
    if let Err(error) = served {
        log::error!("event=peer_server_failed error={error}");
    }
}

fn check_secret(
    secret: &ClusterSecret,
    refusals: &RefusalCounter,
    request: Request<()>,
) -> std::result::Result<Request<()>, Status> {
    let received = request.metadata().get(SECRET_KEY).and_then(|value| value.to_str().ok());
    if received.is_some_and(|value| secret.matches(value)) {
        return Ok(request);
    }
    refusals.count(ResultCode::Unauthorized);
    Err(refusal(tonic::Code::Unauthenticated, ResultCode::Unauthorized, "wrong cluster secret"))
}

fn refusal(status: tonic::Code, code: ResultCode, reason: &str) -> Status {
    let mut refused = Status::new(status, format!("{code}: {reason}"));
    refused.metadata_mut().insert(CODE_KEY, code.number().into());
    refused
}

struct LinkService {
    exchange: ExchangeHandler,
    handler: Arc<dyn PeerHandler>,
    refusals: Arc<RefusalCounter>,
}

impl LinkService {
    /// Runs a handler's call on a thread that may block.
    async fn run<T: Send + 'static>(
        &self,
        call: impl FnOnce(&dyn PeerHandler) -> T + Send + 'static,
    ) -> std::result::Result<T, Status> {
        let handler = self.handler.clone();
        let done = tokio::task::spawn_blocking(move || call(handler.as_ref())).await;
        done.map_err(|error| {
            log::error!("event=peer_handler_failed error={error}");
            refusal(tonic::Code::Internal, ResultCode::Internal, "handler failed")
        })
    }
}

#[tonic::async_trait]
impl PeerService for LinkService {
    async fn exchange(&self, request: Request<proto::Packet>) -> RpcResult<proto::Packet> {
        let message = match PeerMessage::decode(&request.into_inner().envelope) {
            Ok(message) => message,
            Err(error) => {
                self.refusals.count(error.code());
                log::warn!("event=peer_message_refused code={} error={error}", error.code());
                let reason = error.to_string();
                return Err(refusal(tonic::Code::InvalidArgument, error.code(), &reason));
            }
        };
        let reply = (self.exchange)(message);
        Ok(Response::new(proto::Packet { envelope: reply.encode() }))
    }

    async fn take_over(
        &self,
        request: Request<proto::TakeOverRequest>,
    ) -> RpcResult<proto::TakeOverReply> {
        let offer = request.into_inner();
        let id = RequestId { origin: offer.origin, sequence: offer.sequence };
        let answer = self.run(move |handler| handler.take_over(id, &offer.payload)).await?;
        Ok(Response::new(match answer {
            TakeOverAnswer::Accepted => proto::TakeOverReply { accepted: true, result_code: 0 },
            TakeOverAnswer::Refused(code) => {
                proto::TakeOverReply { accepted: false, result_code: code.number().into() }
            }
        }))
    }

    async fn fetch_answer(
        &self,
        request: Request<proto::FetchAnswerRequest>,
    ) -> RpcResult<proto::FetchAnswerReply> {
        let query = request.into_inner();
        let id = RequestId { origin: query.origin, sequence: query.sequence };
        let from = query.from_offset;
        let answer = self.run(move |handler| handler.fetch_answer(id, from)).await?;
        let (status, result_code) = match answer.state {
            AnswerState::Running => (proto::AnswerStatus::Running, 0),
            AnswerState::Complete(code) => (proto::AnswerStatus::Complete, code.number()),
            AnswerState::Unknown => (proto::AnswerStatus::Unknown, 0),
        };
        let parts = answer
            .parts
            .into_iter()
            .map(|part| proto::AnswerPart { offset: part.offset, data: part.data })
            .collect();
        let result_code = result_code.into();
        Ok(Response::new(proto::FetchAnswerReply { status: status.into(), result_code, parts }))
    }

    async fn fetch_config_checkpoint(
        &self,
        _request: Request<proto::FetchConfigCheckpointRequest>,
    ) -> RpcResult<proto::FetchConfigCheckpointReply> {
        let copy = self.run(|handler| handler.config_checkpoint()).await?;
        Ok(Response::new(match copy {
            Some(copy) => proto::FetchConfigCheckpointReply {
                found: true,
                offset: copy.offset.0,
                digest: copy.digest,
                body: copy.body,
            },
            None => proto::FetchConfigCheckpointReply::default(),
        }))
    }

    async fn share_crash_report(
        &self,
        request: Request<proto::Packet>,
    ) -> RpcResult<proto::ShareCrashReportReply> {
        let report = request.into_inner().envelope;
        self.run(move |handler| handler.on_crash_report(&report)).await?;
        Ok(Response::new(proto::ShareCrashReportReply {}))
    }

    async fn fetch_burn(
        &self,
        _request: Request<proto::FetchBurnRequest>,
    ) -> RpcResult<proto::FetchBurnReply> {
        let contribution = self.run(|handler| handler.burn_contribution()).await?;
        Ok(Response::new(proto::FetchBurnReply { contribution }))
    }
}
