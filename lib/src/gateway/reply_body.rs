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
pub struct BrokenAnswer;

/// What is sent into a relayed answer.
pub type RelayedPiece = Result<Frame<Bytes>, BrokenAnswer>;

/// Body of an answer.
pub type ReplyBody = Either<Full<Bytes>, StreamBody<ReceiverStream<RelayedPiece>>>;

/// An answer to a caller.
pub type GatewayReply = Response<ReplyBody>;

/// Pieces that wait for the caller's connection, at most: a caller that reads slowly holds up its
/// server instead of filling this host's memory.
const MAX_WAITING_PIECES: usize = 32;

/// Builds a whole body.
pub fn whole_body(bytes: Bytes) -> ReplyBody {
    Either::Left(Full::new(bytes))
}

/// Builds a body that is relayed, and the sender of its pieces.
pub fn relayed_body() -> (mpsc::Sender<RelayedPiece>, ReplyBody) {
    let (sender, receiver) = mpsc::channel(MAX_WAITING_PIECES);
    (sender, Either::Right(StreamBody::new(ReceiverStream::new(receiver))))
}
