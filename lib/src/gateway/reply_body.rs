//! Bodies of replies to callers: complete ones, and streams that are relayed chunk by chunk.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use thiserror::Error;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

/// A stream ended before it was complete. This body error closes the caller's connection, so that
/// the reply does not look complete.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the relayed stream ended before it was complete")]
pub struct TruncatedStream;

/// A frame of a relayed stream, or the error that closes the connection.
pub type RelayedChunk = Result<Frame<Bytes>, TruncatedStream>;

/// Body of a reply.
pub type ReplyBody = Either<Full<Bytes>, StreamBody<ReceiverStream<RelayedChunk>>>;

/// A reply to a caller.
pub type GatewayReply = Response<ReplyBody>;

/// Maximum number of chunks queued for the caller's connection: a slow reader causes backpressure
/// on its server instead of filling this host's memory.
const MAX_QUEUED_CHUNKS: usize = 32;

/// Maximum number of bytes queued for the caller's connection. A longer chunk is queued alone.
const MAX_QUEUED_BYTES: u32 = 256 << 10;

/// The caller of a stream is gone.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the caller has disconnected")]
pub struct CallerGone;

/// Sends the chunks of a streaming body. Clones share the queue.
#[derive(Clone, Debug)]
pub struct ChunkSender {
    chunks: mpsc::Sender<RelayedChunk>,
    queue_space: Arc<Semaphore>,
}

/// A chunk that takes up queue space until it was written to the caller's connection.
struct QueuedChunk {
    bytes: Bytes,
    _space: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for QueuedChunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl ChunkSender {
    /// Sends a chunk, once the queue has space for it.
    pub async fn send(&self, bytes: Bytes) -> Result<(), CallerGone> {
        let space = u32::try_from(bytes.len()).unwrap_or(u32::MAX).min(MAX_QUEUED_BYTES);
        let space = self.queue_space.clone().acquire_many_owned(space);
        let space = space.await.map_err(|_| CallerGone)?;
        let chunk = Bytes::from_owner(QueuedChunk { bytes, _space: space });
        self.chunks.send(Ok(Frame::data(chunk))).await.map_err(|_| CallerGone)
    }

    /// Ends the body with an error.
    pub async fn send_truncated(&self) -> Result<(), CallerGone> {
        self.chunks.send(Err(TruncatedStream)).await.map_err(|_| CallerGone)
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }
}

/// Builds a complete body.
pub fn full_body(bytes: Bytes) -> ReplyBody {
    Either::Left(Full::new(bytes))
}

/// Builds a streaming body and the sender of its chunks.
pub fn streaming_body() -> (ChunkSender, ReplyBody) {
    let (chunks, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let queue_space = Arc::new(Semaphore::new(MAX_QUEUED_BYTES as usize));
    let body = Either::Right(StreamBody::new(ReceiverStream::new(receiver)));
    (ChunkSender { chunks, queue_space }, body)
}
