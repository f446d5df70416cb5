//! Events, actions and limits of [`crate::request_session::RequestSession`].

use std::time::Duration;

use crate::app_server::AppAnswer;
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

/// Time without a token after which a connection counts as silent, in token-gap targets.
pub const TOKEN_GAP_FACTOR: u32 = 20;

/// Time to the first token after which a connection counts as silent, in first-token targets.
pub const FIRST_TOKEN_FACTOR: u32 = 5;

/// Shortest time without a token after which a connection counts as silent.
pub const MIN_TOKEN_GAP: Duration = Duration::from_millis(500);

/// Time for which a model answer goes on after its caller went away, so that it can come back.
pub const CALLER_GRACE: Duration = Duration::from_secs(5);

/// Attempts that one request gets at most, those after announced reclaims not counted.
pub const MAX_ATTEMPTS: u32 = 6;

/// Wait before the router is asked again while no server can take the request.
pub const SERVER_WAIT: Duration = Duration::from_millis(20);

/// Time for which a request whose server was lost waits for a retry at most.
pub const BUDGET_WAIT: Duration = Duration::from_secs(5);

/// Time after which a refused caller may try again.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What the session runs: how answers are made up and whether the work may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionKind {
    /// A model's answer of at most the given tokens; always idempotent.
    Model {
        /// Upper bound of the answer, in tokens.
        max_tokens: u32,
    },
    /// A call that may be repeated.
    IdempotentCall,
    /// A call that runs at most once.
    SingleCall,
}

impl From<&CheckedRequest> for SessionKind {
    fn from(request: &CheckedRequest) -> Self {
        match request.work {
            RequestWork::Model { max_tokens, .. } => Self::Model { max_tokens },
            RequestWork::App { .. } if request.idempotent => Self::IdempotentCall,
            RequestWork::App { .. } => Self::SingleCall,
        }
    }
}

/// What happened to a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionEvent {
    /// The request was accepted.
    Start,
    /// The claim of its key was decided.
    ClaimDecided(ClaimDecision),
    /// The router chose a server for the next attempt.
    ServerChosen(ServerKey),
    /// No server runs the service, the excluded ones aside.
    NoServer,
    /// All servers are full, or none may run a suspect now.
    ServersFull,
    /// The request may not be sent to any server any more.
    Refused(ResultCode),
    /// The server took the attempt.
    AttemptAccepted(AttemptNumber),
    /// One token arrived.
    Chunk {
        /// Attempt that it belongs to.
        attempt: AttemptNumber,
        /// Token.
        chunk: TokenChunk,
    },
    /// The server ended the attempt.
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
    /// [`crate::request_session::RequestSession::next_timer`] has passed.
    Timer,
    /// The caller's connection ended.
    CallerGone,
    /// A caller reads the answer again.
    CallerBack,
    /// A server is about to be reclaimed.
    EvacuationOrdered {
        /// Server that will be gone.
        server: ServerKey,
        /// What becomes of an attempt there.
        order: MoveOrder,
    },
    /// A peer has taken the request over and will answer it.
    HandoverTaken,
}

/// End of a completed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// End of a model's answer.
    Model(GenerateEnd),
    /// Answer of an application.
    App(AppAnswer),
}

/// What becomes of an attempt whose server will be reclaimed; the same order twice has the effect
/// of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveOrder {
    /// It goes on; if the server dies first, the rest runs elsewhere.
    FinishInPlace,
    /// It stops, and the rest runs at a server that the router chooses.
    ResumeElsewhere,
    /// It stops, and the rest runs at the given server.
    ResumeAt(ServerKey),
}

/// One attempt to be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptPlan {
    /// Number.
    pub attempt: AttemptNumber,
    /// Server to send it to.
    pub server: ServerKey,
    /// Offset of the first token to produce.
    pub resume_from: u32,
    /// Whether it must use a connection that is opened for it.
    pub fresh_connection: bool,
    /// Fencing number of the claim.
    pub fence: Option<FencingToken>,
}

/// What a session asks its driver to do, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionAction {
    /// Claim the request's key and answer with [`SessionEvent::ClaimDecided`].
    RequestClaim,
    /// Ask the router for a server that is not excluded.
    ChooseServer {
        /// Servers that must not be chosen.
        excluded: Vec<ServerKey>,
    },
    /// Start an attempt.
    StartAttempt(AttemptPlan),
    /// Stop reading an attempt and tell its server.
    CancelAttempt {
        /// Attempt.
        attempt: AttemptNumber,
        /// Server that runs it.
        server: ServerKey,
    },
    /// Pass a token to the caller.
    Relay(TokenChunk),
    /// Close the connections to a server: they are silent while new ones work.
    RetireConnections(ServerKey),
    /// Treat a server as suspected: new connections to it are silent, too.
    SuspectServer(ServerKey),
    /// End the session.
    Finish(SessionEnd),
}

/// Time limits of one session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionLimits {
    /// Time to the first sign of an attempt after which its connection counts as silent.
    pub first_token: Duration,
    /// Time between tokens after which a connection counts as silent.
    pub token_gap: Duration,
    /// Time for which an answer goes on without its caller.
    pub caller_grace: Duration,
    /// Attempts at most.
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
