//! RPC link between entry hosts: results of calls, errors, the handler trait and the shared secret.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use thiserror::Error;
use tonic::metadata::Ascii;
use tonic::metadata::MetadataValue;

use crate::ids::LogOffset;
use crate::ids::RequestId;
use crate::resource::TokenHash;
use crate::result_code::ResultCode;

/// Maximum message size of all calls but membership messages, in bytes.
pub const MAX_CALL_BYTES: usize = 4 * 1024 * 1024;

/// Metadata key that carries the cluster secret.
pub const SECRET_KEY: &str = "pomelostack-cluster-secret";

/// Metadata key that carries the number of the result code of a refusal.
pub const CODE_KEY: &str = "pomelostack-result";

/// Minimum length of a cluster secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// Why a call to a peer failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PeerError {
    /// The connection was not opened, so nothing was sent.
    #[error("peer cannot be reached: {0}")]
    NotConnected(String),
    /// No reply arrived in time; the call may have taken effect.
    #[error("no reply from peer within {0:?}")]
    Timeout(Duration),
    /// The connection failed after the call was sent; the call may have taken effect.
    #[error("connection to peer was lost: {0}")]
    ConnectionLost(String),
    /// The peer refused the call.
    #[error("peer refused the call: {0}")]
    Refused(ResultCode),
    /// The reply cannot be decoded.
    #[error("malformed reply: {0}")]
    Malformed(String),
    /// The peer server cannot listen on its address.
    #[error("peer link cannot listen: {0}")]
    Listen(String),
    /// The cluster secret is too short or contains bytes that metadata cannot carry.
    #[error("cluster secret must be at least {MIN_SECRET_BYTES} visible ASCII characters")]
    BadSecret,
}

/// Result of a call to a peer.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Secret shared by all entry hosts of a cluster.
#[derive(Clone)]
pub struct ClusterSecret {
    value: MetadataValue<Ascii>,
    hash: TokenHash,
}

impl TryFrom<&str> for ClusterSecret {
    type Error = PeerError;

    fn try_from(raw: &str) -> Result<Self> {
        let mut value = MetadataValue::<Ascii>::try_from(raw).map_err(|_| PeerError::BadSecret)?;
        value.set_sensitive(true);
        if raw.len() < MIN_SECRET_BYTES {
            return Err(PeerError::BadSecret);
        }
        Ok(Self { value, hash: TokenHash::of(raw) })
    }
}

impl ClusterSecret {
    /// Returns the value to send.
    pub fn value(&self) -> MetadataValue<Ascii> {
        self.value.clone()
    }

    /// Compares with a received value in constant time.
    pub fn matches(&self, received: &str) -> bool {
        self.hash.matches(received)
    }
}

/// Reply of a peer that was asked to take over an unfinished request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeOverAnswer {
    /// The peer is responsible for the request from now on.
    Accepted,
    /// The peer does not take over the request.
    Refused(ResultCode),
}

/// State of an answer on the queried host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerState {
    /// More parts will follow.
    Running,
    /// The answer has ended with the code.
    Complete(ResultCode),
    /// The host does not know the request.
    Unknown,
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerPart {
    /// Offset of the part in the answer, in the answer store's unit.
    pub offset: u32,
    /// Content.
    pub data: Vec<u8>,
}

/// Stored parts and state of an answer on the queried host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchedAnswer {
    /// State.
    pub state: AnswerState,
    /// Parts from the requested offset on, in order.
    pub parts: Vec<AnswerPart>,
}

/// A peer's checkpoint of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckpointCopy {
    /// Offset that the checkpoint covers.
    pub offset: LogOffset,
    /// Digest of the state, as the configuration fold computes it.
    pub digest: Vec<u8>,
    /// Encoded state.
    pub body: Vec<u8>,
}

/// Handles the calls of peers; each method may block for a short time.
pub trait PeerHandler: Send + Sync {
    /// Takes over an unfinished request whose state is in `payload`.
    fn take_over(&self, request: RequestId, payload: &[u8]) -> TakeOverAnswer;

    /// Returns the parts of an answer from an offset on.
    fn fetch_answer(&self, request: RequestId, from_offset: u32) -> FetchedAnswer;

    /// Returns the newest checkpoint of the configuration, if there is one.
    fn config_checkpoint(&self) -> Option<CheckpointCopy>;

    /// Receives a peer's encoded report on requests that crash backend servers.
    fn on_crash_report(&self, report: &[u8]);

    /// Returns the host's encoded contribution to the burn report.
    fn burn_contribution(&self) -> Vec<u8>;
}

/// Counts of refused messages by result code.
#[derive(Debug, Default)]
pub struct RefusalCounter {
    counts: Mutex<BTreeMap<ResultCode, u64>>,
}

impl RefusalCounter {
    /// Counts one refusal.
    pub fn count(&self, code: ResultCode) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(code).or_default() += 1;
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> BTreeMap<ResultCode, u64> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
