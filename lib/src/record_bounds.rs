//! Versioned and size-limited encoding of records about requests that hosts exchange.

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::result_code::ResultCode;

/// Why a record cannot be encoded or decoded.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RecordError {
    /// The record has a version that this program does not read.
    #[error("record version {found} is not {expected}")]
    Version {
        /// Version of the record.
        found: u64,
        /// Version that this program reads.
        expected: u16,
    },
    /// The bytes are truncated or malformed.
    #[error("record is malformed: {0}")]
    Malformed(String),
    /// The record or one of its lists is larger than the limit.
    #[error("record is larger than {limit}")]
    TooLarge {
        /// Limit, in bytes or entries.
        limit: usize,
    },
}

impl RecordError {
    /// Returns the result code of the error.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Version { .. } => ResultCode::RecordVersion,
            Self::Malformed(_) => ResultCode::RecordMalformed,
            Self::TooLarge { .. } => ResultCode::RecordTooLarge,
        }
    }
}

/// Result of encoding or decoding a record.
pub type Result<T> = std::result::Result<T, RecordError>;

#[derive(Deserialize)]
struct VersionField {
    version: u64,
}

/// Encodes a record, whose field `version` holds its version, in at most `limit` bytes.
pub fn encode_bounded<T: Serialize>(record: &T, limit: usize) -> Result<Vec<u8>> {
    let bytes = serde_json::to_vec(record).map_err(malformed)?;
    if bytes.len() > limit {
        return Err(RecordError::TooLarge { limit });
    }
    Ok(bytes)
}

/// Decodes a record of the expected version and of at most `limit` bytes.
pub fn decode_bounded<T: DeserializeOwned>(bytes: &[u8], expected: u16, limit: usize) -> Result<T> {
    if bytes.len() > limit {
        return Err(RecordError::TooLarge { limit });
    }
    // The version is checked first, because a newer record may have other fields.
    let VersionField { version: found } = serde_json::from_slice(bytes).map_err(malformed)?;
    if found != u64::from(expected) {
        return Err(RecordError::Version { found, expected });
    }
    serde_json::from_slice(bytes).map_err(malformed)
}

fn malformed(error: serde_json::Error) -> RecordError {
    RecordError::Malformed(error.to_string())
}
