//! Bodies of replies to callers: complete ones, and streams that are relayed chunk by chunk.

use bytes::Bytes;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use thiserror::Error;
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

/// Builds a complete body.
pub fn full_body(bytes: Bytes) -> ReplyBody {
    Either::Left(Full::new(bytes))
}

/// Builds a streaming body and the sender of its chunks.
pub fn streaming_body() -> (mpsc::Sender<RelayedChunk>, ReplyBody) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    (sender, Either::Right(StreamBody::new(ReceiverStream::new(receiver))))
}
