//! Interface of the platform's append-only log.
//!
//! The log holds named streams of records with contiguous offsets, accepts several hundred appends
//! per second, retains records for a limited time and has outages. A reply can be lost after the
//! append took effect.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::ids::LogOffset;

/// Maximum size of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = 256 * 1024;

/// Streams that the system uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogStream {
    /// Operators' configuration changes, their audit trail, and configuration checkpoints.
    Config,
    /// Claims, voids and completions of idempotency keys.
    Claims,
}

impl LogStream {
    /// Returns the platform's name of the stream.
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Claims => "claims",
        }
    }
}

/// Why a call to the log failed, by what is known about its effect.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum LogError {
    /// The call had no effect and will have none.
    #[error("log refused the call: {0}")]
    Refused(String),
    /// The call may have taken effect, or may still take effect.
    #[error("outcome of the call is unknown: {0}")]
    OutcomeUnknown(String),
    /// The requested records are past their retention.
    #[error("records before offset {0:?} are gone")]
    Expired(LogOffset),
    /// The reply cannot be decoded.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// Result of a call to the log.
pub type Result<T> = std::result::Result<T, LogError>;

/// One record as read back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Position in the stream.
    pub offset: LogOffset,
    /// Time of the append by the log's clock, in milliseconds since the Unix epoch.
    pub appended_ms: u64,
    /// Bytes as appended.
    pub data: Vec<u8>,
}

/// A range of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogSlice {
    /// Oldest offset that is still readable.
    pub first: LogOffset,
    /// Offset of the next append when the slice was read.
    pub end: LogOffset,
    /// The log's clock when the slice was read, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Records in offset order.
    pub records: Vec<LogRecord>,
}

/// The platform's log.
pub trait LogService: Send + Sync {
    /// Appends one record and returns its offset.
    fn append(&self, stream: LogStream, data: &[u8]) -> Result<LogOffset>;

    /// Reads up to `max` records from the given offset on.
    ///
    /// Returns [`LogError::Expired`] with the oldest readable offset if `from` is past retention.
    fn read(&self, stream: LogStream, from: LogOffset, max: usize) -> Result<LogSlice>;
}
