//! Validated records of the log stream "claims".
//!
//! [`crate::claim_codec`] encodes and decodes them.

use std::fmt;

use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::LogOffset;
use crate::ids::RequestId;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::result_code::ResultCode;

/// Longest retention of a key, in milliseconds.
///
/// A reader that missed the oldest records waits this long before it trusts its state, unless a
/// later record allows it earlier.
pub const MAX_KEY_RETENTION_MS: u64 = 60 * 60 * 1_000;

/// Shortest retention of a key, in milliseconds: the longest wait of a request for its claim plus
/// [`MAX_CLAIM_AGE_MS`].
pub const MIN_KEY_RETENTION_MS: u64 = 2 * MAX_CLAIM_AGE_MS;

/// Longest time between a writer's last complete read and the append of its claim, in milliseconds
/// of log time; a claim that is appended later is invalid.
pub const MAX_CLAIM_AGE_MS: u64 = 60 * 1_000;

/// Hash of team, service and idempotency key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey(pub [u8; 16]);

impl ClaimKey {
    /// Hashes team, service and the caller's idempotency key.
    pub fn of(team: &TeamName, service: &ServiceName, idempotency_key: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hash_field(&mut hasher, team.as_str().as_bytes());
        hash_field(&mut hasher, service.as_str().as_bytes());
        hash_field(&mut hasher, idempotency_key.as_bytes());
        let mut key = [0; 16];
        key.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(key)
    }
}

impl fmt::Debug for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ClaimKey({:032x})", u128::from_be_bytes(self.0))
    }
}

/// Hash of method, path and body, to detect reuse of a key for another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// Hashes method, path and body of a request.
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hash_field(&mut hasher, method.as_bytes());
        hash_field(&mut hasher, path.as_bytes());
        hash_field(&mut hasher, body);
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }
}

/// Adds a length-prefixed field, so that different splits into fields have different hashes.
fn hash_field(hasher: &mut blake3::Hasher, field: &[u8]) {
    hasher.update(&(field.len() as u64).to_le_bytes());
    hasher.update(field);
}

/// Identifies a claim among those of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimNonce(pub u64);

/// The process that made a claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Claimant {
    /// Entry host.
    pub host: HostId,
    /// Incarnation of that host.
    pub incarnation: Incarnation,
}

/// Result of a claimed request, as stored for resends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredAnswer {
    /// The complete answer.
    Whole(WholeAnswer),
    /// The request ended with this code and no usable answer.
    Failed(ResultCode),
    /// Id of the request whose answer is too large for the log; entry hosts may still have it.
    Reference(RequestId),
}

/// Largest size of headers and body of an answer that is stored in the log, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 4 * 1024;

impl StoredAnswer {
    /// Returns the size of headers and body in bytes; 0 without a complete answer.
    pub fn size_bytes(&self) -> usize {
        match self {
            Self::Whole(answer) => {
                let header_bytes = |(name, value): &(String, String)| name.len() + value.len();
                answer.headers.iter().map(header_bytes).sum::<usize>() + answer.body.len()
            }
            Self::Failed(_) | Self::Reference(_) => 0,
        }
    }

    /// Returns whether the answer is small enough for the log.
    pub fn fits_log(&self) -> bool {
        self.size_bytes() <= MAX_STORED_ANSWER_BYTES
    }
}

/// Answer of an application as stored in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers in order.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// One statement about one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimEntry {
    /// Key.
    pub key: ClaimKey,
    /// Claim of the record's writer to which the statement applies.
    pub nonce: ClaimNonce,
    /// The statement.
    pub statement: ClaimStatement,
}

/// What an entry states.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStatement {
    /// Requests permission to run the request.
    Claim {
        /// Hash of the request.
        fingerprint: RequestFingerprint,
        /// The writer had read every record below this offset when it accepted the request.
        basis: LogOffset,
    },
    /// The claim was not dispatched and never will be.
    Void,
    /// The result of the claimed request.
    Completion(StoredAnswer),
}

/// Entries that one entry host appended together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimBatch {
    /// Process that wrote the record.
    pub claimant: Claimant,
    /// Sequence number among the batches of that process.
    pub sequence: u64,
    /// Retention of the keys, in milliseconds.
    pub retention_ms: u64,
    /// Log time of the writer's last complete read, in milliseconds since the Unix epoch.
    pub checked_ms: u64,
    /// Entries in order; empty only in heartbeats, which have `knowledge`.
    pub entries: Vec<ClaimEntry>,
    /// What the writer knew about older records; `None` if it had missed some or does not state it.
    pub knowledge: Option<BatchKnowledge>,
}

/// What the writer of a batch knew about older records, for readers that missed them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchKnowledge {
    /// Every unexpired record below this offset was folded.
    pub folded: LogOffset,
    /// Longest retention of the keys that were unexpired then, counted from their last record, in
    /// milliseconds.
    pub bound_ms: u64,
    /// Log time at which the last of the keys that were unexpired then expires, unless a later
    /// record extends it, in milliseconds since the Unix epoch.
    pub horizon_ms: u64,
}

/// One part of the fold at an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckpointPart {
    /// Every record below this offset is covered.
    pub covered: LogOffset,
    /// Log time at that offset, in milliseconds since the Unix epoch.
    pub clock_ms: u64,
    /// Index of the part, from 0.
    pub index: u32,
    /// Number of parts of the checkpoint.
    pub count: u32,
    /// Hash of `covered`, `clock_ms` and all keys of the checkpoint.
    pub digest: [u8; 16],
    /// Encoded keys of this part, see [`crate::claim_codec::decode_key`].
    pub keys: Vec<Vec<u8>>,
}

/// One record of the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimRecord {
    /// Entries of one entry host.
    Batch(ClaimBatch),
    /// One part of a checkpoint.
    Checkpoint(CheckpointPart),
}

/// State of one key in the fold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRecord {
    /// Log time at which the key expires, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    /// Offset of the last void; claims whose basis is not above it are invalid.
    pub last_void: Option<LogOffset>,
    /// Claim in force.
    pub holder: Option<KeyHolder>,
}

/// A claim in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyHolder {
    /// Process that may run the request.
    pub claimant: Claimant,
    /// Its claim.
    pub nonce: ClaimNonce,
    /// Offset of the claim.
    pub offset: LogOffset,
    /// Hash of the request.
    pub fingerprint: RequestFingerprint,
    /// The answer, once the request has ended.
    pub answer: Option<Box<StoredAnswer>>,
}
