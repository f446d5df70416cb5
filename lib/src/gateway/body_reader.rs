//! Reads a whole body into a leased buffer.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use hyper::body::Incoming;
use thiserror::Error;

use crate::gateway::buffer_budget::BufferError;
use crate::gateway::buffer_budget::BufferLease;
use crate::gateway::leased_buffer::LeasedBuffer;

/// Maximum number of frames of a server's body: tiny chunks cost processor time rather than memory.
pub const MAX_SERVER_FRAMES: usize = 65_536;

/// A body that could not be read to its end.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body does not fit into its buffer.
    #[error("body {0}")]
    Buffer(#[from] BufferError),
    /// The body comes in too many pieces.
    #[error("body exceeds {0} frames")]
    TooManyFrames(usize),
    /// The connection broke, or carried an invalid body.
    #[error("{0}")]
    Connection(#[from] hyper::Error),
}

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, BodyError>;

/// Reads a body of at most `max_frames` frames to its end. Its trailers are dropped.
///
/// Fails at once if the body states a length beyond the lease's limit.
pub async fn read_body(mut body: Incoming, lease: BufferLease, max_frames: usize) -> Result<Bytes> {
    let limit = lease.limit();
    let stated = body.size_hint().lower();
    if usize::try_from(stated).map_or(true, |stated| stated > limit) {
        return Err(BufferError::TooLong { limit }.into());
    }
    let mut buffer = LeasedBuffer::new(lease);
    for _ in 0..max_frames {
        let Some(frame) = body.frame().await else { return Ok(buffer.freeze()) };
        if let Ok(bytes) = frame?.into_data() {
            buffer.extend(&bytes)?;
        }
    }
    Err(BodyError::TooManyFrames(max_frames))
}
