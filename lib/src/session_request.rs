//! A checked request and its final answer, as exchanged between the front door and sessions.

use std::sync::Arc;
use std::time::Duration;

use crate::app_server::AppResponse;
use crate::engine::FinishReason;
use crate::engine::RequestPriority;
use crate::engine::TokenChunk;
use crate::ids::RequestId;
use crate::ids::TeamName;
use crate::not_run::NotRunRefusal;
use crate::resource::ServiceResource;
use crate::result_code::ResultCode;
use crate::timestamp::Timestamp;

/// A request that passed every check of the front door.
#[derive(Clone, Debug)]
pub struct CheckedRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Team that sent it.
    pub team: TeamName,
    /// Requested service, as configured when the request was accepted.
    pub service: Arc<ServiceResource>,
    /// The work to do.
    pub work: RequestWork,
    /// Idempotency key, if the caller gave one.
    pub idempotency_key: Option<String>,
    /// Whether the work may be repeated; always true for models.
    pub idempotent: bool,
    /// Time after which the answer is of no use to the caller.
    pub deadline: Timestamp,
    /// Time at which the request was accepted.
    pub accepted_at: Timestamp,
    /// Priority at the engine.
    pub priority: RequestPriority,
}

/// The work of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestWork {
    /// Text generation by a model.
    Model {
        /// Whole prompt.
        prompt: Arc<str>,
        /// Upper bound of the answer, in tokens.
        max_tokens: u32,
    },
    /// An HTTP call to an application.
    App {
        /// HTTP method.
        method: String,
        /// Path below the service, with its leading slash and query.
        path: String,
        /// Headers in order, without hop-by-hop ones.
        headers: Vec<(String, String)>,
        /// Body.
        body: Arc<[u8]>,
    },
}

/// Token counts of a model's answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
    /// Tokens of prompt and earlier output that the last attempt found in the prefix cache.
    pub cached_tokens: u32,
    /// Tokens of prompt and earlier output that the last attempt computed.
    pub computed_tokens: u32,
}

/// The final answer of a session; each session has exactly one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionEnd {
    /// The whole answer of a model was relayed.
    ModelDone {
        /// Why the answer ended.
        finish_reason: FinishReason,
        /// Token counts.
        usage: TokenUsage,
    },
    /// The whole answer of an application.
    AppDone(AppResponse),
    /// Nothing ran, and nothing will.
    NotRun {
        /// Result code with the proof that nothing ran.
        refusal: NotRunRefusal,
        /// Time after which the caller may retry, if a retry can help.
        retry_after: Option<Duration>,
    },
    /// The request may have run, partly or completely.
    Unknown {
        /// Result code; its outcome is UNKNOWN.
        code: ResultCode,
        /// Time after which the caller may poll or retry, if that can help.
        retry_after: Option<Duration>,
    },
}

impl SessionEnd {
    /// Returns the result code.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::ModelDone { .. } | Self::AppDone(_) => ResultCode::Complete,
            Self::NotRun { refusal, .. } => refusal.code(),
            Self::Unknown { code, .. } => *code,
        }
    }
}

/// Whether a caller is still connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SinkState {
    /// It is connected.
    Open,
    /// Its connection is closed, or it reads too slowly.
    Closed,
}

/// Output to the caller of one request.
pub trait CallerSink: Send {
    /// Reports that the request was accepted under an id.
    fn accepted(&mut self, id: RequestId);

    /// Returns whether the caller is connected, as far as is known without sending anything.
    fn state(&self) -> SinkState {
        SinkState::Open
    }

    /// Sends one token of the answer; called in order, once for each offset.
    fn token(&mut self, chunk: &TokenChunk) -> SinkState;

    /// Sends the final answer; called exactly once, last.
    fn finish(&mut self, end: &SessionEnd);
}
