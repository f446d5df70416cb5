//! State of an unfinished request that a draining host hands over to a peer, and of its result.
//!
//! Encoded states and results are bounded by [`MAX_HANDOVER_BYTES`] and checked when decoded.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::app_server::AppResponse;
use crate::engine::FinishReason;
use crate::engine::RequestPriority;
use crate::engine::TokenChunk;
use crate::ids::AttemptNumber;
use crate::ids::FencingToken;
use crate::ids::RequestId;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::record_bounds::RecordError;
use crate::record_bounds::Result;
use crate::record_bounds::decode_bounded;
use crate::record_bounds::encode_bounded;
use crate::request_session::RequestSession;
use crate::resource::ServiceResource;
use crate::result_code::ResultCode;
use crate::session_request::CheckedRequest;
use crate::session_request::RequestWork;
use crate::session_request::SessionEnd;
use crate::session_request::TokenUsage;
use crate::timestamp::Timestamp;

/// Version of the encoding.
pub const HANDOVER_VERSION: u16 = 1;

/// Largest encoded state or result, in bytes.
pub const MAX_HANDOVER_BYTES: usize = 8 * 1024 * 1024;

/// Longest time that a request may have left until its deadline, in milliseconds.
pub const MAX_REMAINING_MS: u64 = 24 * 3_600 * 1_000;

/// How far the work may have got before it was handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoverPhase {
    /// Nothing was sent to any server, and the draining host will send nothing.
    NotDispatched,
    /// It may have run, and may run again.
    Repeatable,
    /// It may have run and must not be sent again. The draining host forwards the result if it gets
    /// one.
    InFlight,
}

/// Work of a request that is handed over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoverWork {
    /// Text from a model.
    Model {
        /// Whole prompt.
        prompt: String,
        /// Maximum length of the answer, in tokens.
        max_tokens: u32,
    },
    /// A call of an application.
    App {
        /// HTTP method.
        method: String,
        /// Path below the service.
        path: String,
        /// Headers in order.
        headers: Vec<(String, String)>,
        /// Body.
        body: Vec<u8>,
    },
}

/// Everything that a peer needs to continue a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnfinishedRequest {
    /// Version of the encoding.
    pub version: u16,
    /// Request.
    pub id: RequestId,
    /// Team that sent it.
    pub team: TeamName,
    /// Requested service.
    pub service: ServiceName,
    /// Work.
    pub work: HandoverWork,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// Whether the work may be repeated.
    pub idempotent: bool,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Priority at the engine.
    pub priority: RequestPriority,
    /// Tokens that the caller may have seen, from offset 0.
    pub tokens: Vec<String>,
    /// Number of the last attempt.
    pub last_attempt: AttemptNumber,
    /// Whether the request's key is claimed for it.
    pub claimed: bool,
    /// Fencing token of the claim.
    pub fence: Option<FencingToken>,
    /// How far the work may have got.
    pub phase: HandoverPhase,
}

impl UnfinishedRequest {
    /// Describes a request whose session is paused and whose answer so far is `chunks`.
    pub fn describe(
        request: &CheckedRequest,
        session: &RequestSession,
        now: Timestamp,
        chunks: &[TokenChunk],
    ) -> Self {
        let left = request.deadline.since(now).as_millis();
        let may_have_run = session.ledger().proof().is_none();
        Self {
            version: HANDOVER_VERSION,
            id: request.id,
            team: request.team.clone(),
            service: request.service.name.clone(),
            work: HandoverWork::from(&request.work),
            idempotency_key: request.idempotency_key.clone(),
            idempotent: request.idempotent,
            left_ms: u64::try_from(left).unwrap_or(u64::MAX).min(MAX_REMAINING_MS),
            priority: request.priority,
            tokens: chunks.iter().map(|chunk| chunk.text.clone()).collect(),
            last_attempt: session.last_attempt(),
            claimed: session.is_claimed(),
            fence: session.fence(),
            phase: match (may_have_run, request.idempotent) {
                (false, _) => HandoverPhase::NotDispatched,
                (true, true) => HandoverPhase::Repeatable,
                (true, false) => HandoverPhase::InFlight,
            },
        }
    }

    /// Returns the tokens of the answer so far with their offsets.
    pub fn chunks(&self) -> impl Iterator<Item = TokenChunk> {
        (0..).zip(&self.tokens).map(|(offset, text)| TokenChunk { offset, text: text.clone() })
    }

    /// Encodes the state.
    pub fn encode(&self) -> Result<Vec<u8>> {
        encode_bounded(self, MAX_HANDOVER_BYTES)
    }

    /// Decodes and checks a state.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let state: Self = decode_bounded(bytes, HANDOVER_VERSION, MAX_HANDOVER_BYTES)?;
        state.check()?;
        Ok(state)
    }

    /// Checks the version and the consistency of the fields.
    pub fn check(&self) -> Result<()> {
        check_version(self.version)?;
        let is_model = matches!(self.work, HandoverWork::Model { .. });
        let fits = match self.phase {
            HandoverPhase::Repeatable => self.idempotent,
            HandoverPhase::InFlight => !self.idempotent,
            HandoverPhase::NotDispatched => true,
        };
        if !fits || (is_model && !self.idempotent) || (!is_model && !self.tokens.is_empty()) {
            return Err(RecordError::Malformed("phase does not match the work".to_owned()));
        }
        if let HandoverWork::Model { max_tokens, .. } = self.work
            && self.tokens.len() > max_tokens as usize
        {
            return Err(RecordError::Malformed("more tokens than max_tokens".to_owned()));
        }
        if self.left_ms > MAX_REMAINING_MS {
            return Err(RecordError::Malformed("deadline is too far in the future".to_owned()));
        }
        Ok(())
    }

    /// Turns the state into a request of this host, with the service's resource as known here.
    pub fn to_request(&self, now: Timestamp, service: Arc<ServiceResource>) -> CheckedRequest {
        CheckedRequest {
            id: self.id,
            team: self.team.clone(),
            service,
            work: RequestWork::from(&self.work),
            idempotency_key: self.idempotency_key.clone(),
            idempotent: self.idempotent,
            deadline: now + Duration::from_millis(self.left_ms),
            accepted_at: now,
            priority: self.priority,
        }
    }
}

/// Checks the version of a state or result that is embedded in another record.
pub fn check_version(found: u16) -> Result<()> {
    if found == HANDOVER_VERSION {
        return Ok(());
    }
    Err(RecordError::Version { found: u64::from(found), expected: HANDOVER_VERSION })
}

impl From<&RequestWork> for HandoverWork {
    fn from(work: &RequestWork) -> Self {
        match work {
            RequestWork::Model { prompt, max_tokens } => {
                Self::Model { prompt: prompt.to_string(), max_tokens: *max_tokens }
            }
            RequestWork::App { method, path, headers, body } => Self::App {
                method: method.clone(),
                path: path.clone(),
                headers: headers.clone(),
                body: body.to_vec(),
            },
        }
    }
}

impl From<&HandoverWork> for RequestWork {
    fn from(work: &HandoverWork) -> Self {
        match work {
            HandoverWork::Model { prompt, max_tokens } => {
                Self::Model { prompt: prompt.as_str().into(), max_tokens: *max_tokens }
            }
            HandoverWork::App { method, path, headers, body } => Self::App {
                method: method.clone(),
                path: path.clone(),
                headers: headers.clone(),
                body: body.as_slice().into(),
            },
        }
    }
}

/// Final answer of a call in flight, forwarded by the draining host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverResult {
    /// Version of the encoding.
    pub version: u16,
    /// Request.
    pub id: RequestId,
    /// Final answer.
    pub end: HandoverEnd,
}

/// Final answer of a request that is handed over. NOT_RUN is missing because its proof never leaves
/// its host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoverEnd {
    /// The whole answer of a model.
    Model {
        /// Why the answer ended.
        finish_reason: FinishReason,
        /// Token counts: prompt, completion, cached and computed.
        usage: [u32; 4],
    },
    /// The whole answer of an application.
    App {
        /// HTTP status.
        status: u16,
        /// Headers in order.
        headers: Vec<(String, String)>,
        /// Body.
        body: Vec<u8>,
    },
    /// The outcome is unknown: the request may have run.
    Unknown {
        /// Number of the result code.
        code: u16,
    },
}

impl HandoverResult {
    /// Encodes the result.
    pub fn encode(&self) -> Result<Vec<u8>> {
        encode_bounded(self, MAX_HANDOVER_BYTES)
    }

    /// Decodes a result and checks its version.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode_bounded(bytes, HANDOVER_VERSION, MAX_HANDOVER_BYTES)
    }
}

impl From<&SessionEnd> for HandoverEnd {
    fn from(end: &SessionEnd) -> Self {
        match end {
            SessionEnd::ModelDone { finish_reason, usage } => Self::Model {
                finish_reason: *finish_reason,
                usage: [
                    usage.prompt_tokens,
                    usage.completion_tokens,
                    usage.cached_tokens,
                    usage.computed_tokens,
                ],
            },
            SessionEnd::AppDone(answer) => Self::App {
                status: answer.status,
                headers: answer.headers.clone(),
                body: answer.body.clone(),
            },
            SessionEnd::NotRun { .. } => Self::Unknown { code: ResultCode::ClaimantGone.number() },
            SessionEnd::Unknown { code, .. } => Self::Unknown { code: code.number() },
        }
    }
}

impl From<HandoverEnd> for SessionEnd {
    fn from(end: HandoverEnd) -> Self {
        match end {
            HandoverEnd::Model { finish_reason, usage } => {
                let [prompt_tokens, completion_tokens, cached_tokens, computed_tokens] = usage;
                let usage =
                    TokenUsage { prompt_tokens, completion_tokens, cached_tokens, computed_tokens };
                Self::ModelDone { finish_reason, usage }
            }
            HandoverEnd::App { status, headers, body } => {
                Self::AppDone(AppResponse { status, headers, body })
            }
            HandoverEnd::Unknown { code } => {
                let unknown = |code: &ResultCode| {
                    code.outcome() == crate::result_code::RequestOutcome::Unknown
                };
                let code = ResultCode::from_number(code).filter(unknown);
                let code = code.unwrap_or(ResultCode::ClaimantGone);
                Self::Unknown { code, retry_after: None }
            }
        }
    }
}
