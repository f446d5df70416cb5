//! Interface to a model engine of the platform.
//!
//! An engine uses continuous batching and a prefix cache keyed by block hash. It streams tokens
//! numbered by offset, resumes at an offset, cancels attempts, and exports and imports KV cache.
//! Its load reports are stale by some lag, and its cache events arrive late and with gaps. Orders
//! to an engine may carry a fencing token.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::attempt_stop::AttemptStop;
use crate::ids::AttemptNumber;
use crate::ids::FencingToken;
use crate::ids::RequestId;
use crate::prompt::BlockHash;

/// Why a call to an engine or application server failed, by what it proves about whether the work
/// ran.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ServerError {
    /// The connection was never opened, so nothing was sent and nothing ran.
    #[error("connection was not opened: {0}")]
    NotConnected(String),
    /// The server stated that it did not run the work and never will.
    #[error("server refused the work before running it: {0}")]
    Refused(String),
    /// The server refused a stale fencing token; holds the largest token it has seen.
    #[error("fencing token is older than {0:?}")]
    Fenced(FencingToken),
    /// The connection ended or failed after the request was sent.
    #[error("connection was lost: {0}")]
    Lost(String),
    /// No data arrived within this time.
    #[error("no data within {0:?}")]
    TimedOut(Duration),
    /// The server's response cannot be parsed, or it does not say whether the work ran.
    #[error("malformed response: {0}")]
    Malformed(String),
}

/// Result of a call to an engine or application server.
pub type Result<T> = std::result::Result<T, ServerError>;

/// Priority of a request at the engine; higher values run first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestPriority(pub u8);

/// One attempt at generating the answer to a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Attempt number.
    pub attempt: AttemptNumber,
    /// Model to run, optionally followed by a colon and an adapter.
    pub model: String,
    /// Complete prompt.
    pub prompt: String,
    /// Concatenated tokens of the answer that earlier attempts generated; the first token of this
    /// attempt has offset `resume_from`.
    pub generated: String,
    /// Offset of the first token to generate; 0 starts from the beginning.
    pub resume_from: u32,
    /// Maximum length of the complete answer in tokens, counted from offset 0.
    pub max_tokens: u32,
    /// Priority within the engine's batch.
    pub priority: RequestPriority,
    /// Fencing token, for engines that check it.
    pub fence: Option<FencingToken>,
}

/// One generated token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenChunk {
    /// Offset of the token in the complete answer.
    pub offset: u32,
    /// Text of the token.
    pub text: String,
}

/// Why an engine ended an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the answer.
    Stop,
    /// The answer reached `max_tokens`.
    Length,
}

/// End of a completed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateEnd {
    /// Why the answer ended.
    pub finish_reason: FinishReason,
    /// Offset after the last token of the complete answer.
    pub end_offset: u32,
    /// Tokens of the prompt and of the output of earlier attempts.
    pub prompt_tokens: u32,
    /// Part of `prompt_tokens` that was found in the prefix cache.
    pub cached_tokens: u32,
    /// Part of `prompt_tokens` that was computed.
    pub computed_tokens: u32,
}

/// Whether to continue reading a token stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFlow {
    /// Read the next token.
    Continue,
    /// Close the connection, which makes the engine cancel the attempt.
    Stop,
}

/// Event of one attempt, passed on in the order received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GenerateEvent {
    /// The engine accepted the request, so it may run from now on.
    Accepted,
    /// One token.
    Token(TokenChunk),
}

/// Load of an engine when the report was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that wait for a slot in the batch.
    pub queued: u32,
    /// Prompt tokens that wait for prefill.
    pub queued_prompt_tokens: u32,
    /// Requests that run in the batch.
    pub running: u32,
    /// Slots of the batch.
    pub batch_limit: u32,
    /// Free space of the prefix cache, in blocks.
    pub free_blocks: u32,
    /// Age of the report when it was sent, in milliseconds.
    pub age_ms: u32,
}

/// Change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a missing number means that an event was lost.
    pub sequence: u64,
    /// Kind of change.
    pub change: CacheChange,
    /// Block that was stored or evicted.
    pub block: BlockHash,
}

/// Kind of cache change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block was added to the cache.
    Stored,
    /// The block was evicted from the cache.
    Evicted,
}

/// KV cache of one running attempt, opaque to the serving system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Number of tokens that the export covers.
    pub tokens: u32,
    /// Opaque data, base64-encoded.
    pub data: String,
}

/// Role of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill and decode.
    Mixed,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// Desired state of an engine; applying it is idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineOrder {
    /// The model version is loaded.
    LoadModel(String),
    /// The adapter is loaded.
    LoadAdapter(String),
    /// The adapter is not loaded.
    UnloadAdapter(String),
    /// The engine runs in the role.
    SetRole(EngineRole),
}

/// A model engine.
pub trait ModelEngine: Send + Sync {
    /// Runs one attempt and passes its events to `on_event` until the attempt ends or `on_event`
    /// returns [`StreamFlow::Stop`].
    ///
    /// Blocks the calling thread. `gap_limit` is the longest time to wait for the next data. `stop` closes the
    /// connection, which ends the attempt at the engine.
    fn generate(
        &self,
        request: &GenerateRequest,
        gap_limit: Duration,
        stop: &AttemptStop,
        on_event: &mut dyn FnMut(GenerateEvent) -> StreamFlow,
    ) -> Result<GenerateEnd>;

    /// Cancels an attempt; an unknown attempt is not an error.
    fn cancel(&self, request: RequestId, attempt: AttemptNumber) -> Result<()>;

    /// Returns the latest load report.
    fn load_report(&self) -> Result<LoadReport>;

    /// Returns the published cache events from the given sequence number on.
    fn cache_events(&self, from: u64) -> Result<Vec<CacheEvent>>;

    /// Exports the KV cache of a running attempt.
    fn export_kv(&self, request: RequestId, attempt: AttemptNumber) -> Result<KvExport>;

    /// Imports KV cache for an attempt that will start on this engine.
    fn import_kv(&self, request: RequestId, attempt: AttemptNumber, kv: &KvExport) -> Result<()>;

    /// Brings the engine into the desired state; engines that check `fence` refuse a stale token.
    fn order(&self, order: &EngineOrder, fence: Option<FencingToken>) -> Result<()>;
}
