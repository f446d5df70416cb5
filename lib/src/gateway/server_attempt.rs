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
use crate::gateway::accepted_request::on_begun;
use crate::gateway::accepted_request::on_demand;
use crate::gateway::accepted_request::on_evidence;
use crate::gateway::accepted_request::passed_headers;
use crate::gateway::attempt_plan::AttemptFailure;
use crate::gateway::call_pool::CallError;
use crate::gateway::call_pool::PooledConnection;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::platform_api::ResponseClass;
use crate::gateway::platform_api::WireProtocol;
use crate::gateway::server_health::HealthEvidence;
use crate::ids::ServerId;
use crate::ids::ServerKey;
use crate::timestamp::Timestamp;

/// Bytes of a whole answer, at most.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Load of one attempt on the board, taken off when the attempt ends in any way.
pub struct ServerAttempt {
    state: Rc<GatewayState>,
    /// Server.
    pub key: ServerKey,
    id: ServerId,
    address: std::net::SocketAddr,
    /// Prompt tokens that still count as unread.
    unread_tokens: u64,
}

impl ServerAttempt {
    /// Puts the attempt on the board; `None` if the server is no longer listed.
    pub fn begin(
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
            state.peers.borrow().heard(now),
        );
        let prompt = request.head.prompt.as_ref();
        state.board.borrow_mut().on_sent(now, key, prompt, uncached_tokens);
        on_demand(state, request, uncached_tokens);
        Some(Self { state: state.clone(), key, id, address, unread_tokens: uncached_tokens })
    }

    /// Returns the server's identity.
    pub fn server(&self) -> &ServerId {
        &self.id
    }

    /// Records that the server has read the prompt.
    pub fn on_prefilled(&mut self) {
        let tokens = std::mem::take(&mut self.unread_tokens);
        self.state.board.borrow_mut().on_prefilled(self.key, tokens);
    }
}

impl Drop for ServerAttempt {
    fn drop(&mut self) {
        self.on_prefilled();
        self.state.board.borrow_mut().on_ended(self.key);
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
pub struct OpenAnswer {
    /// The attempt.
    pub attempt: ServerAttempt,
    /// The answer.
    pub response: Response<Incoming>,
    /// Its connection.
    pub connection: PooledConnection,
}

/// How an attempt went.
pub enum AttemptAnswer {
    /// The whole answer, to be relayed.
    Whole(Response<Bytes>),
    /// The head of a stream.
    Stream(Box<OpenAnswer>),
    /// It failed; a server's own failure comes with its answer.
    Failed(AttemptFailure, Option<Response<Bytes>>),
    /// The request's time was over first.
    TimedOut,
}

/// Sends an attempt and waits for a whole answer or the head of a stream.
///
/// After `silence` without an answer the attempt counts as lost.
pub async fn send_attempt<W: WireProtocol>(
    wire: &W,
    attempt: ServerAttempt,
    request: &AcceptedRequest,
    resume_after: Option<u64>,
    ends_at: Timestamp,
    silence: Option<Duration>,
) -> AttemptAnswer {
    let state = attempt.state.clone();
    let key = attempt.key;
    let time_left = ends_at.since(state.now());
    let limit = silence.map_or(time_left, |silence| silence.min(time_left));
    let answer =
        match timeout(limit, exchange(wire, attempt, request, resume_after, time_left)).await {
            Ok(answer) => answer,
            Err(_) if limit < time_left => AttemptAnswer::Failed(AttemptFailure::Lost, None),
            Err(_) => AttemptAnswer::TimedOut,
        };
    let evidence = match &answer {
        AttemptAnswer::Whole(_) | AttemptAnswer::Stream(_) => HealthEvidence::Answered,
        AttemptAnswer::Failed(AttemptFailure::Unsent | AttemptFailure::Misdirected, _) => {
            HealthEvidence::Unreachable
        }
        AttemptAnswer::Failed(AttemptFailure::Lost | AttemptFailure::Failed, _)
        | AttemptAnswer::TimedOut => HealthEvidence::Failed,
        AttemptAnswer::Failed(AttemptFailure::Refused, _) => HealthEvidence::Answered,
    };
    on_evidence(&state, key, evidence);
    answer
}

async fn exchange<W: WireProtocol>(
    wire: &W,
    attempt: ServerAttempt,
    request: &AcceptedRequest,
    resume_after: Option<u64>,
    time_left: Duration,
) -> AttemptAnswer {
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
                    state.pool.forget(attempt.address);
                    state.on_server_gone(attempt.server());
                }
                _ => on_lost(&state, request, &attempt),
            }
            return AttemptAnswer::Failed(failure, None);
        }
    };
    let (head, body) = response.into_parts();
    let verdict = wire.classify_response(&request.head.request_id, &head);
    if verdict == ResponseClass::Relay && request.route.kind.is_stream() && head.status.is_success()
    {
        let response = Response::from_parts(head, body);
        return AttemptAnswer::Stream(Box::new(OpenAnswer { attempt, response, connection }));
    }
    if verdict == ResponseClass::Unusable {
        log_failure(&state, request, &attempt, AttemptFailure::Lost, "unusable answer");
        return AttemptAnswer::Failed(AttemptFailure::Lost, None);
    }
    let response = Response::from_parts(head, body);
    let open = OpenAnswer { attempt, response, connection };
    read_whole(&state, request, verdict, open).await
}

/// Reads an answer that is not relayed event by event.
async fn read_whole(
    state: &GatewayState,
    request: &AcceptedRequest,
    verdict: ResponseClass,
    open: OpenAnswer,
) -> AttemptAnswer {
    let OpenAnswer { mut attempt, response, connection } = open;
    let (head, body) = response.into_parts();
    let whole = match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(error) => {
            let failure = match verdict {
                ResponseClass::Failure(failure) => failure,
                ResponseClass::Relay | ResponseClass::Unusable => AttemptFailure::Lost,
            };
            log_failure(state, request, &attempt, failure, &error.to_string());
            return AttemptAnswer::Failed(failure, None);
        }
    };
    connection.release();
    attempt.on_prefilled();
    let mut answer = Response::new(whole);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = passed_headers(&head.headers);
    match verdict {
        ResponseClass::Failure(failure) => {
            log_failure(state, request, &attempt, failure, head.status.as_str());
            // Only a failure of work that ran may be relayed; the others are the gateway's to tell.
            let ran = failure == AttemptFailure::Failed;
            if ran {
                on_begun(state, request);
            }
            AttemptAnswer::Failed(failure, ran.then_some(answer))
        }
        ResponseClass::Relay | ResponseClass::Unusable => {
            on_begun(state, request);
            AttemptAnswer::Whole(answer)
        }
    }
}

/// Remembers a request whose connection broke, in case its server crashed.
pub fn on_lost(state: &GatewayState, request: &AcceptedRequest, attempt: &ServerAttempt) {
    state.crashes.borrow_mut().on_lost(state.now(), attempt.server(), request.print);
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
