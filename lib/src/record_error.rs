//! Errors of decoding log records, and the checks that all record types share.

use thiserror::Error;

use crate::ids::NameError;
use crate::log_service::MAX_RECORD_BYTES;
use crate::result_code::ResultCode;

/// Why a record cannot be decoded.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RecordError {
    /// The record has a version that this program does not read.
    #[error("record has unknown version {0}")]
    Version(u32),
    /// The record is truncated, or a field is missing or out of range.
    #[error("record is malformed: {0}")]
    Malformed(&'static str),
    /// The record is too large.
    #[error("record has {0} bytes, more than {MAX_RECORD_BYTES}")]
    TooLarge(usize),
    /// The bytes do not match their digest.
    #[error("bytes do not match their digest")]
    DigestMismatch,
}

/// Result of decoding a record.
pub type Result<T> = std::result::Result<T, RecordError>;

impl RecordError {
    /// Returns the result code of the error.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Version(_) => ResultCode::RecordVersion,
            Self::Malformed(_) => ResultCode::RecordMalformed,
            Self::TooLarge(_) => ResultCode::RecordTooLarge,
            Self::DigestMismatch => ResultCode::DigestMismatch,
        }
    }
}

impl From<NameError> for RecordError {
    fn from(_: NameError) -> Self {
        Self::Malformed("name is not allowed")
    }
}

/// Decodes a record as a protobuf message; a record over [`MAX_RECORD_BYTES`] is refused.
pub fn decode_message<M: prost::Message + Default>(data: &[u8]) -> Result<M> {
    if data.len() > MAX_RECORD_BYTES {
        return Err(RecordError::TooLarge(data.len()));
    }
    M::decode(data).map_err(|_| RecordError::Malformed("not protobuf"))
}

/// Refuses every version except `known`.
pub fn check_version(found: u32, known: u32) -> Result<()> {
    if found == known { Ok(()) } else { Err(RecordError::Version(found)) }
}
