//! One attempt of a request at one backend server.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Limited;
use hyper::Response;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::gateway::accepted_request::AcceptedRequest;
use crate::gateway::accepted_request::PlacedServer;
use crate::gateway::accepted_request::end_to_end_headers;
use crate::gateway::accepted_request::record_demand;
use crate::gateway::accepted_request::record_health;
use crate::gateway::accepted_request::record_started;
use crate::gateway::attempt_plan::AttemptFailure;
use crate::gateway::connection_pool::CallError;
use crate::gateway::connection_pool::PooledConnection;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::platform_api::ResponseClass;
use crate::gateway::platform_api::WireProtocol;
use crate::gateway::server_health::HealthEvidence;
use crate::ids::ServerId;
use crate::ids::ServerKey;
use crate::timestamp::Timestamp;

/// Bytes of a whole answer, at most.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Load of one attempt on the board, taken off when the attempt ends in any way.
pub struct ServerAttempt {
    state: Rc<GatewayState>,
    /// Server.
    pub key: ServerKey,
    id: ServerId,
    address: std::net::SocketAddr,
    /// Prompt tokens that still count as unread.
    pending_prefill_tokens: u64,
}

impl ServerAttempt {
    /// Puts the attempt on the board; `None` if the server is no longer listed.
    pub fn start(
        state: &Rc<GatewayState>,
        request: &AcceptedRequest,
        placed: PlacedServer,
    ) -> Option<Self> {
        let PlacedServer { key, running, uncached_tokens } = placed;
        let now = state.now();
        let (id, address, read_age) = {
            let directory = state.directory.borrow();
            let server = directory.get(key)?;
            (server.entry.id.clone(), server.entry.address, directory.read_age(now))
        };
        log::info!(
            "event=attempt_started request={} server={id} running={running} \
             uncached_tokens={uncached_tokens} directory_age_ms={} peers={}",
            request.head.request_id,
            read_age.unwrap_or_default().as_millis(),
            state.peers.borrow().live_peers(now),
        );
        let prompt = request.head.prompt.as_ref();
        state.placement.borrow_mut().on_sent(now, key, prompt, uncached_tokens);
        record_demand(state, request, uncached_tokens);
        Some(Self {
            state: state.clone(),
            key,
            id,
            address,
            pending_prefill_tokens: uncached_tokens,
        })
    }

    /// Returns the server's identity.
    pub fn server(&self) -> &ServerId {
        &self.id
    }

    /// Records that the server has read the prompt.
    pub fn on_prefilled(&mut self) {
        let tokens = std::mem::take(&mut self.pending_prefill_tokens);
        self.state.placement.borrow_mut().on_prefilled(self.key, tokens);
    }
}

impl Drop for ServerAttempt {
    fn drop(&mut self) {
        self.on_prefilled();
        self.state.placement.borrow_mut().on_ended(self.key);
    }
}

/// What an attempt says to its server.
pub struct AttemptRequest<'a> {
    /// Server that must run it.
    pub server: &'a ServerId,
    /// Time that is left.
    pub time_left: Duration,
    /// Event after which a stream goes on.
    pub resume_after: Option<u64>,
}

/// An answer whose head has arrived.
pub struct OpenResponse {
    /// The attempt.
    pub attempt: ServerAttempt,
    /// The answer.
    pub response: Response<Incoming>,
    /// Its connection.
    pub connection: PooledConnection,
}

/// How an attempt went.
pub enum AttemptOutcome {
    /// The whole answer, to be relayed.
    Buffered(Response<Bytes>),
    /// The head of a stream.
    Stream(Box<OpenResponse>),
    /// It failed; a server's own failure comes with its answer.
    Failed(AttemptFailure, Option<Response<Bytes>>),
    /// The request's time was over first.
    TimedOut,
}

/// Sends an attempt and waits for a whole answer or the head of a stream.
///
/// After `attempt_timeout` without an answer the attempt counts as lost.
pub async fn send_attempt<W: WireProtocol>(
    wire: &W,
    attempt: ServerAttempt,
    request: &AcceptedRequest,
    resume_after: Option<u64>,
    deadline: Timestamp,
    attempt_timeout: Option<Duration>,
) -> AttemptOutcome {
    let state = attempt.state.clone();
    let key = attempt.key;
    let time_left = deadline.since(state.now());
    let limit = attempt_timeout.map_or(time_left, |attempt_timeout| attempt_timeout.min(time_left));
    let answer =
        match timeout(limit, exchange(wire, attempt, request, resume_after, time_left)).await {
            Ok(answer) => answer,
            Err(_) if limit < time_left => AttemptOutcome::Failed(AttemptFailure::Lost, None),
            Err(_) => AttemptOutcome::TimedOut,
        };
    let evidence = match &answer {
        AttemptOutcome::Buffered(_) | AttemptOutcome::Stream(_) => HealthEvidence::Answered,
        AttemptOutcome::Failed(AttemptFailure::Unsent | AttemptFailure::Misdirected, _) => {
            HealthEvidence::Unreachable
        }
        AttemptOutcome::Failed(AttemptFailure::Lost | AttemptFailure::Failed, _)
        | AttemptOutcome::TimedOut => HealthEvidence::Failed,
        AttemptOutcome::Failed(AttemptFailure::Refused, _) => HealthEvidence::Answered,
    };
    record_health(&state, key, evidence);
    answer
}

async fn exchange<W: WireProtocol>(
    wire: &W,
    attempt: ServerAttempt,
    request: &AcceptedRequest,
    resume_after: Option<u64>,
    time_left: Duration,
) -> AttemptOutcome {
    let state = attempt.state.clone();
    let message = AttemptRequest { server: attempt.server(), time_left, resume_after };
    let message = request.message(wire, &message);
    let (response, connection) = match state.pool.call(attempt.address, message).await {
        Ok(called) => called,
        Err(error) => {
            let failure = match error {
                CallError::Unsent(_) => AttemptFailure::Unsent,
                CallError::Lost(_) => AttemptFailure::Lost,
            };
            log_failure(&state, request, &attempt, failure, &error.to_string());
            match failure {
                AttemptFailure::Unsent => {
                    state.pool.close_idle(attempt.address);
                    state.on_server_gone(attempt.server());
                }
                _ => record_lost(&state, request, &attempt),
            }
            return AttemptOutcome::Failed(failure, None);
        }
    };
    let (head, body) = response.into_parts();
    let verdict = wire.classify_response(&request.head.request_id, &head);
    if verdict == ResponseClass::Relay && request.route.kind.is_stream() && head.status.is_success()
    {
        let response = Response::from_parts(head, body);
        return AttemptOutcome::Stream(Box::new(OpenResponse { attempt, response, connection }));
    }
    if verdict == ResponseClass::Unusable {
        log_failure(&state, request, &attempt, AttemptFailure::Lost, "unusable answer");
        return AttemptOutcome::Failed(AttemptFailure::Lost, None);
    }
    let response = Response::from_parts(head, body);
    let open = OpenResponse { attempt, response, connection };
    buffer_response(&state, request, verdict, open).await
}

/// Reads an answer that is not relayed event by event.
async fn buffer_response(
    state: &GatewayState,
    request: &AcceptedRequest,
    verdict: ResponseClass,
    open: OpenResponse,
) -> AttemptOutcome {
    let OpenResponse { mut attempt, response, connection } = open;
    let (head, body) = response.into_parts();
    let whole = match Limited::new(body, MAX_RESPONSE_BYTES).collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(error) => {
            let failure = match verdict {
                ResponseClass::Failure(failure) => failure,
                ResponseClass::Relay | ResponseClass::Unusable => AttemptFailure::Lost,
            };
            log_failure(state, request, &attempt, failure, &error.to_string());
            return AttemptOutcome::Failed(failure, None);
        }
    };
    connection.release();
    attempt.on_prefilled();
    let mut answer = Response::new(whole);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = end_to_end_headers(&head.headers);
    match verdict {
        ResponseClass::Failure(failure) => {
            log_failure(state, request, &attempt, failure, head.status.as_str());
            // Only a failure of work that ran may be relayed; the others are the gateway's to tell.
            let ran = failure == AttemptFailure::Failed;
            if ran {
                record_started(state, request);
            }
            AttemptOutcome::Failed(failure, ran.then_some(answer))
        }
        ResponseClass::Relay | ResponseClass::Unusable => {
            record_started(state, request);
            AttemptOutcome::Buffered(answer)
        }
    }
}

/// Remembers a request whose connection broke, in case its server crashed.
pub fn record_lost(state: &GatewayState, request: &AcceptedRequest, attempt: &ServerAttempt) {
    state.crashes.borrow_mut().on_connection_lost(
        state.now(),
        attempt.server(),
        request.fingerprint,
    );
}

fn log_failure(
    state: &GatewayState,
    request: &AcceptedRequest,
    attempt: &ServerAttempt,
    failure: AttemptFailure,
    detail: &str,
) {
    state.metrics.attempts.with_label_values(&[&format!("{failure:?}")]).inc();
    log::info!(
        "event=attempt_failed request={} server={} failure={failure:?} detail=\"{detail}\"",
        request.head.request_id,
        attempt.server(),
    );
}
