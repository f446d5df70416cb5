//! Edge to the platform's append-only log.
//!
//! The log holds named streams of records with dense offsets, takes several hundred appends a
//! second, keeps records for a limited time and has outages. A reply can be lost after the append
//! took effect.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::ids::LogOffset;

/// Largest record that the log takes, in bytes.
pub const MAX_RECORD_BYTES: usize = 256 * 1024;

/// Streams that the system uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogStream {
    /// Operators' changes of configuration, their audit, and its checkpoints.
    Config,
    /// Claims, voids and completions of idempotency keys.
    Claims,
}

impl LogStream {
    /// Returns the name of the stream at the platform.
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Claims => "claims",
        }
    }
}

/// Why a call to the log failed, by what it proves.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum LogError {
    /// The call had no effect and will have none.
    #[error("log refused the call: {0}")]
    Refused(String),
    /// The call may have had its effect, or may still have it.
    #[error("fate of the call is unknown: {0}")]
    OutcomeUnknown(String),
    /// The records asked for are past their retention.
    #[error("records before offset {0:?} are gone")]
    Expired(LogOffset),
    /// The answer cannot be understood.
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

/// A piece of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogSlice {
    /// Oldest offset that is still readable.
    pub first: LogOffset,
    /// Offset that the next append will get, when the slice was read.
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
