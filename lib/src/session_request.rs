//! A checked request and its one final answer, as the front door and sessions exchange them.

use std::sync::Arc;
use std::time::Duration;

use crate::app_server::AppAnswer;
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
    /// Identity.
    pub id: RequestId,
    /// Team that sent it.
    pub team: TeamName,
    /// Service asked for, as configured when the request was accepted.
    pub service: Arc<ServiceResource>,
    /// What is to be done.
    pub work: RequestWork,
    /// Idempotency key, if the caller gave one.
    pub idempotency_key: Option<String>,
    /// Whether the work may be repeated; always true for models.
    pub idempotent: bool,
    /// Time after which an answer is worth nothing to the caller.
    pub deadline: Timestamp,
    /// Time at which the request was accepted.
    pub accepted_at: Timestamp,
    /// Priority at the engine.
    pub priority: RequestPriority,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestWork {
    /// Text from a model.
    Model {
        /// Whole prompt.
        prompt: Arc<str>,
        /// Upper bound of the answer, in tokens.
        max_tokens: u32,
    },
    /// A call of an application.
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

/// Tokens that a model answer took.
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

/// The one final answer of a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionEnd {
    /// The whole answer of a model was relayed.
    ModelDone {
        /// Why the answer ended.
        finish_reason: FinishReason,
        /// Tokens that it took.
        usage: TokenUsage,
    },
    /// The whole answer of an application.
    AppDone(AppAnswer),
    /// Nothing ran and nothing will.
    NotRun {
        /// Code and proof.
        refusal: NotRunRefusal,
        /// Time after which the caller may try again, if that can help.
        retry_after: Option<Duration>,
    },
    /// The request may have run, in part or in whole.
    Unknown {
        /// Code, whose outcome is UNKNOWN.
        code: ResultCode,
        /// Time after which the caller may ask or try again, if that can help.
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

/// Whether a caller still reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SinkState {
    /// It reads.
    Open,
    /// Its connection ended or it reads too slowly.
    Closed,
}

/// Edge to the caller of one request.
pub trait CallerSink: Send {
    /// Tells that the request was accepted under an id.
    fn accepted(&mut self, id: RequestId);

    /// Returns whether the caller still reads, as far as is known without passing anything on.
    fn state(&self) -> SinkState {
        SinkState::Open
    }

    /// Passes on one token of the answer, in order and each offset once.
    fn token(&mut self, chunk: &TokenChunk) -> SinkState;

    /// Passes on the final answer; called exactly once, last.
    fn finish(&mut self, end: &SessionEnd);
}
