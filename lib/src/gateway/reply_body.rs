//! Bodies of answers to callers: whole ones, and streams that are relayed.

use bytes::Bytes;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

/// A stream that cannot be finished; the caller's connection is closed, so that the answer does not
/// look complete.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the answer broke off")]
pub struct TruncatedStream;

/// What is sent into a relayed answer.
pub type RelayedChunk = Result<Frame<Bytes>, TruncatedStream>;

/// Body of an answer.
pub type ReplyBody = Either<Full<Bytes>, StreamBody<ReceiverStream<RelayedChunk>>>;

/// An answer to a caller.
pub type GatewayReply = Response<ReplyBody>;

/// Pieces that wait for the caller's connection, at most: a caller that reads slowly holds up its
/// server instead of filling this host's memory.
const MAX_QUEUED_CHUNKS: usize = 32;

/// Builds a whole body.
pub fn full_body(bytes: Bytes) -> ReplyBody {
    Either::Left(Full::new(bytes))
}

/// Builds a body that is relayed, and the sender of its pieces.
pub fn streaming_body() -> (mpsc::Sender<RelayedChunk>, ReplyBody) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    (sender, Either::Right(StreamBody::new(ReceiverStream::new(receiver))))
}
