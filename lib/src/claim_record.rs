//! Checked form of the records of the log stream "claims".
//!
//! [`crate::claim_codec`] converts between these types and the bytes on the log.

use std::fmt;

use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::LogOffset;
use crate::ids::RequestId;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::result_code::ResultCode;

/// Longest time for which a key can be remembered, in milliseconds.
///
/// A reader that could not read the oldest records waits this long before it trusts its state,
/// unless a later record tells more.
pub const MAX_KEY_RETENTION_MS: u64 = 60 * 60 * 1_000;

/// Shortest time for which a key is remembered, in milliseconds: the longest wait of a request
/// for its claim plus [`MAX_CLAIM_AGE_MS`].
pub const MIN_KEY_RETENTION_MS: u64 = 2 * MAX_CLAIM_AGE_MS;

/// Longest time between a writer's last complete read and the append of its claim, by the log's
/// clock, in milliseconds; a claim that lands later is dead.
pub const MAX_CLAIM_AGE_MS: u64 = 60 * 1_000;

/// Hash of team, service and idempotency key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey(pub [u8; 16]);

impl ClaimKey {
    /// Hashes the scope and the key that the caller chose.
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

/// Hash of method, path and body, to detect a key that is used again for another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// Hashes what the caller asked for.
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

/// Adds a field with its length, so that fields cannot run into each other.
fn hash_field(hasher: &mut blake3::Hasher, field: &[u8]) {
    hasher.update(&(field.len() as u64).to_le_bytes());
    hasher.update(field);
}

/// Tells the claims of one process apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimNonce(pub u64);

/// The process that made a claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Claimant {
    /// Entry host.
    pub host: HostId,
    /// Life of that host.
    pub incarnation: Incarnation,
}

/// How a claimed request ended, as kept for resends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredAnswer {
    /// The whole answer.
    Whole(WholeAnswer),
    /// The request ended with this code and no usable answer.
    Failed(ResultCode),
    /// The answer is too large for the log; entry hosts may still keep it under this id.
    Reference(RequestId),
}

/// Largest answer that is kept on the log, in bytes of headers and body.
pub const MAX_STORED_ANSWER_BYTES: usize = 4 * 1024;

impl StoredAnswer {
    /// Returns the bytes that the answer takes besides its fixed part.
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

/// Answer of an application as kept on the log.
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
    /// Claim of the record's writer that the statement is about.
    pub nonce: ClaimNonce,
    /// The statement.
    pub statement: ClaimStatement,
}

/// What an entry states.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStatement {
    /// Asks for the right to run the request.
    Claim {
        /// Hash of the request.
        fingerprint: RequestFingerprint,
        /// The writer had read every record below this offset when it accepted the request.
        basis: LogOffset,
    },
    /// The claim was not dispatched and never will be.
    Void,
    /// How the claim ended.
    Completion(StoredAnswer),
}

/// Entries that one entry host committed together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimBatch {
    /// Process that wrote the record.
    pub claimant: Claimant,
    /// Counts the batches of that process.
    pub sequence: u64,
    /// Time for which the keys are remembered, in milliseconds.
    pub retention_ms: u64,
    /// The log's clock at the writer's last complete read, in milliseconds since the Unix epoch.
    pub checked_ms: u64,
    /// Entries in order; empty only if `knowledge` is given.
    pub entries: Vec<ClaimEntry>,
    /// What the writer knew about older records, unless it had missed some.
    pub knowledge: Option<BatchKnowledge>,
}

/// What the writer of a batch knew about older records, for readers that could not read them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchKnowledge {
    /// Every record that matters below this offset was folded.
    pub folded: LogOffset,
    /// No key remembered then is remembered for longer than this after its last record, in
    /// milliseconds.
    pub bound_ms: u64,
    /// Every key remembered then is forgotten by this time of the log's clock unless a later record
    /// extends it, in milliseconds since the Unix epoch.
    pub horizon_ms: u64,
}

/// One part of the fold at an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckpointPart {
    /// Every record below this offset is covered.
    pub covered: LogOffset,
    /// The fold's clock there, in milliseconds since the Unix epoch.
    pub clock_ms: u64,
    /// Place of the part, from 0.
    pub index: u32,
    /// Parts of the whole checkpoint.
    pub count: u32,
    /// Hash over all keys of the checkpoint.
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

/// What the fold knows about one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRecord {
    /// The log's clock at which the key is forgotten, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    /// Offset of the last void; claims whose basis is not above it are dead.
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
    /// How it ended.
    pub answer: Option<Box<StoredAnswer>>,
}
