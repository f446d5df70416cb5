//! Events, actions and limits of [`crate::request_session::RequestSession`].

use std::time::Duration;

use crate::app_server::AppResponse;
use crate::engine::GenerateEnd;
use crate::engine::ServerError;
use crate::engine::TokenChunk;
use crate::ids::AttemptNumber;
use crate::ids::FencingToken;
use crate::ids::ServerKey;
use crate::resource::LatencyTarget;
use crate::result_code::ResultCode;
use crate::session_claim::ClaimDecision;
use crate::session_request::CheckedRequest;
use crate::session_request::RequestWork;
use crate::session_request::SessionEnd;

/// Multiple of the token-gap target after which a connection without a new token is silent.
pub const TOKEN_GAP_FACTOR: u32 = 20;

/// Multiple of the first-token target after which a connection without any token is silent.
pub const FIRST_TOKEN_FACTOR: u32 = 5;

/// Lower bound of both silence timeouts.
pub const MIN_TOKEN_GAP: Duration = Duration::from_millis(500);

/// How long an idempotent request continues after its caller disconnects, so that the caller can
/// reconnect.
pub const CALLER_GRACE: Duration = Duration::from_secs(5);

/// Maximum attempts of one request; attempts lost to announced reclaims do not count.
pub const MAX_ATTEMPTS: u32 = 6;

/// Interval between router queries while no server can take the request.
pub const SERVER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time that a request whose attempt was lost waits for the retry budget.
pub const MAX_BUDGET_WAIT: Duration = Duration::from_secs(5);

/// Retry delay suggested to callers.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Kind of work: whether tokens are streamed, and whether the work may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionKind {
    /// A model's answer; always idempotent.
    Model {
        /// Upper bound of the answer, in tokens.
        max_tokens: u32,
    },
    /// A call that may be repeated.
    IdempotentCall,
    /// A call that runs at most once.
    NonIdempotentCall,
}

impl From<&CheckedRequest> for SessionKind {
    fn from(request: &CheckedRequest) -> Self {
        match request.work {
            RequestWork::Model { max_tokens, .. } => Self::Model { max_tokens },
            RequestWork::App { .. } if request.idempotent => Self::IdempotentCall,
            RequestWork::App { .. } => Self::NonIdempotentCall,
        }
    }
}

/// Input of the session state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionEvent {
    /// The request was accepted.
    Start,
    /// The claim of its key was decided.
    ClaimDecided(ClaimDecision),
    /// The router chose a server for the next attempt.
    ServerChosen(ServerKey),
    /// No server runs the service, apart from the excluded ones.
    NoServer,
    /// All servers are full, or none may run a request that is suspected of crashing servers.
    ServersFull,
    /// The request must not be sent to any server again.
    Refused(ResultCode),
    /// The server accepted the attempt.
    AttemptAccepted(AttemptNumber),
    /// One token arrived.
    Chunk {
        /// Attempt that produced it.
        attempt: AttemptNumber,
        /// Token.
        chunk: TokenChunk,
    },
    /// The attempt completed.
    AttemptEnded {
        /// Attempt.
        attempt: AttemptNumber,
        /// How it ended.
        end: AttemptEnd,
    },
    /// The attempt failed.
    AttemptFailed {
        /// Attempt.
        attempt: AttemptNumber,
        /// Why.
        error: ServerError,
    },
    /// The time of [`crate::request_session::RequestSession::next_timer`] has come.
    Timer,
    /// The caller's connection closed.
    CallerDisconnected,
    /// A caller is reading the answer again.
    CallerReconnected,
    /// A server is about to be reclaimed.
    EvacuationOrdered {
        /// Server that will be reclaimed.
        server: ServerKey,
        /// What to do with an attempt on it.
        order: EvacuationOrder,
    },
    /// A peer accepted the handover of the request and will answer it.
    HandoverTaken,
}

/// Final result of a completed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// End of a model's answer.
    Model(GenerateEnd),
    /// Answer of an application server.
    App(AppResponse),
}

/// What to do with an attempt whose server will be reclaimed. Repeating an order has no further
/// effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationOrder {
    /// It continues; if the server ends first, the rest runs on another server.
    FinishInPlace,
    /// It is cancelled, and the rest runs on a server that the router chooses.
    ResumeElsewhere,
    /// It is cancelled, and the rest runs on the given server.
    ResumeAt(ServerKey),
}

/// Parameters of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptPlan {
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Server to send it to.
    pub server: ServerKey,
    /// Offset of the first token to produce.
    pub resume_from: u32,
    /// Whether it must open a new connection.
    pub fresh_connection: bool,
    /// Fencing number of the claim.
    pub fence: Option<FencingToken>,
}

/// Output of the session state machine; the driver carries actions out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionAction {
    /// Claim the request's key and report [`SessionEvent::ClaimDecided`].
    RequestClaim,
    /// Ask the router for a server that is not excluded.
    ChooseServer {
        /// Servers that must not be chosen.
        excluded: Vec<ServerKey>,
    },
    /// Start an attempt.
    StartAttempt(AttemptPlan),
    /// Stop reading an attempt and cancel it on its server.
    CancelAttempt {
        /// Attempt.
        attempt: AttemptNumber,
        /// Server that runs it.
        server: ServerKey,
    },
    /// Pass a token to the caller.
    Relay(TokenChunk),
    /// Close the old connections to a server: they are silent while new ones work.
    RetireConnections(ServerKey),
    /// Mark a server as suspected: new connections to it are silent, too.
    SuspectServer(ServerKey),
    /// End the session with its final answer.
    Finish(SessionEnd),
}

/// Timeouts and attempt limit of one session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionLimits {
    /// Time without a first token after which a connection is silent; restarts when the server
    /// accepts the attempt.
    pub first_token: Duration,
    /// Time between tokens after which a connection is silent.
    pub token_gap: Duration,
    /// How long a request continues after its caller disconnects.
    pub caller_grace: Duration,
    /// Maximum number of attempts.
    pub max_attempts: u32,
}

impl From<&LatencyTarget> for SessionLimits {
    fn from(target: &LatencyTarget) -> Self {
        Self {
            first_token: target.first_token.saturating_mul(FIRST_TOKEN_FACTOR).max(MIN_TOKEN_GAP),
            token_gap: target.token_gap.saturating_mul(TOKEN_GAP_FACTOR).max(MIN_TOKEN_GAP),
            caller_grace: CALLER_GRACE,
            max_attempts: MAX_ATTEMPTS,
        }
    }
}
